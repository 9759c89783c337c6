package grant

import "time"

// Timing holds the lengths of time that the hosts agree on.
type Timing struct {
	// Term is the length of a lease.
	Term time.Duration
	// Renew is the time between renewals.
	Renew time.Duration
	// Watch is the time between reads of the rows that this host is standby for,
	// Survey that between reads of all rows while some are on the move, and
	// Resurvey that while none is.
	Watch    time.Duration
	Survey   time.Duration
	Resurvey time.Duration
	// List is the time between reads of the platform's list while it matters.
	List time.Duration
	// Ask is the time between calls to hosts that still have a part reserved.
	Ask time.Duration
	// Skew bounds how much two clocks drift apart over Term, and how much an
	// endpoint's clock differs from a host's.
	Skew time.Duration
	// Extension is how long an owner lets more requests outlast the lease after
	// it last needed that.
	Extension time.Duration
	// Unclaimed is how long the first choice for an endpoint without an owner
	// has before the second, and each further one, claims it.
	Unclaimed time.Duration
	// Move is the time between planned hand-overs by one host.
	Move time.Duration
	// Silence is how long a host that did not answer gets no offer.
	Silence time.Duration
}

// Standard is the timing of all daemons.
var Standard = Timing{
	Term:      2400 * time.Millisecond,
	Renew:     250 * time.Millisecond,
	Watch:     100 * time.Millisecond,
	Survey:    500 * time.Millisecond,
	Resurvey:  5 * time.Second,
	List:      2 * time.Second,
	Ask:       500 * time.Millisecond,
	Skew:      100 * time.Millisecond,
	Extension: 5 * time.Second,
	Unclaimed: time.Second,
	Move:      250 * time.Millisecond,
	Silence:   5 * time.Second,
}
