package grant

import "time"

// Timing holds the durations that all hosts must agree on.
type Timing struct {
	// Term is the length of a lease.
	Term time.Duration
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
	// KeyReadInterval is the time between reads of the rows that this host is the
	// standby for. FullReadInterval is the time between reads of all rows while some
	// are not settled, and IdleFullReadInterval that while all are.
	KeyReadInterval      time.Duration
	FullReadInterval     time.Duration
	IdleFullReadInterval time.Duration
	// ListInterval is the time between reads of the platform's list while a host that
	// has left it would free limits or an endpoint.
	ListInterval time.Duration
	// RevokeInterval is the time between calls to hosts that still have limits
	// reserved, and between offers of ceded limits to a standby.
	RevokeInterval time.Duration
	// MaxSkew bounds how much two clocks drift apart over Term, and how much an
	// endpoint's clock differs from a host's.
	MaxSkew time.Duration
	// BeyondLeasePeriod is how long an owner lets more requests outlast the lease
	// after it last needed that.
	BeyondLeasePeriod time.Duration
	// ClaimDelay staggers the claims of hosts other than the first choice for an
	// endpoint: the host at index i of the order of preference waits i+2 times as long.
	ClaimDelay time.Duration
	// HandoverInterval is the time between planned handovers by one host.
	HandoverInterval time.Duration
	// OfferBackoff is how long a host that did not accept an offer is suspended.
	OfferBackoff time.Duration
}

// StandardTiming is the timing of all daemons.
var StandardTiming = Timing{
	Term:                 2400 * time.Millisecond,
	RenewInterval:        250 * time.Millisecond,
	KeyReadInterval:      100 * time.Millisecond,
	FullReadInterval:     500 * time.Millisecond,
	IdleFullReadInterval: 5 * time.Second,
	ListInterval:         2 * time.Second,
	RevokeInterval:       500 * time.Millisecond,
	MaxSkew:              100 * time.Millisecond,
	BeyondLeasePeriod:    5 * time.Second,
	ClaimDelay:           time.Second,
	HandoverInterval:     250 * time.Millisecond,
	OfferBackoff:         5 * time.Second,
}
