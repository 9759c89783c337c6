package grant

import (
	"heatherford/core/code"
	"heatherford/core/quota"
	"heatherford/core/store"
)

// Effect is something for the machine's user to do. Exactly one field is set.
type Effect struct {
	Commit      *Commit
	Read        *Read
	Revoke      *Revoke
	Cede        *Cede
	Offer       *Offer
	Announce    *Announce
	FetchOwners *FetchOwners
	Note        *Note
	// List asks for the platform's list of hosts. It goes to Machine.SetHosts.
	List bool
}

// Commit asks for a transaction. Its result goes to Machine.Committed or
// Machine.CommitFailed.
type Commit struct {
	Attempt     uint64
	Transaction store.Transaction
}

// Read asks for rows. Its result goes to Machine.RowsRead or Machine.ReadFailed.
type Read struct {
	// All is true of a full read, that is of every row.
	All   bool
	Query store.Query
}

// Revoke asks a host to give up its allowances of an endpoint under older epochs. A
// positive answer goes to Machine.Acknowledged.
type Revoke struct {
	Host     string
	Endpoint string
	// Epoch is the present one.
	Epoch uint64
	// Incarnation is the one that had the allowance, or empty if it is not known.
	Incarnation string
	// Serial is that of the newest cession that the host has to give up.
	Serial uint64
}

// Acknowledgement answers a Revoke.
type Acknowledgement struct {
	Incarnation string
	// Done is true if the host has no allowance left under the older epochs, and no
	// request in flight.
	Done bool
}

// Cede offers a host some of an endpoint's limits while the platform is down. Its
// result goes to Machine.CedeEnded.
type Cede struct {
	Host     string
	Endpoint string
	Epoch    uint64
	Serial   uint64
	Version  uint64
	Limits   quota.Limits

	// bound is what the receiver's versions since Version allow.
	bound quota.Limits
}

// Offer asks a host whether it takes over an endpoint. Its result goes to
// Machine.Offered.
type Offer struct {
	Host     string
	Endpoint string
}

// Announce tells a host that an endpoint's owner has changed, or that another host has
// been ceded limits. It may get lost.
type Announce struct {
	Host string
	// Ownership is what has changed.
	Ownership Ownership
}

// Ownership is what one host reports to another of an endpoint's owner. It gives
// no allowance; look-ups of the owner follow it while the platform does not
// answer.
type Ownership struct {
	Endpoint string
	Host     string
	Epoch    uint64
	// Version is that of the row; of two reports the one with the higher is newer.
	Version uint64
	// Ceded is true if the host is not the owner but has been ceded limits.
	Ceded bool
}

// FetchOwners asks a host for the owners that it knows. Its result goes to
// Machine.OwnersFetched.
type FetchOwners struct {
	Host string
}

// Reply answers a Cede or an Offer.
type Reply struct {
	Incarnation string
	// OK is true if the host accepts the limits or the endpoint.
	OK bool
}

// Note is an event to log and record for operators.
type Note struct {
	Endpoint string
	Text     string
}

// result is how a commit ended.
type result int

const (
	// failed commits had no effect.
	failed result = iota
	// conflicted commits had no effect since a row had changed.
	conflicted
	// unknown commits may have taken effect, or may still do so.
	unknown
)

func resultOf(err error) result {
	switch code.Of(err) {
	case code.PlatformDown:
		return failed
	case code.PlatformConflict:
		return conflicted
	default:
		return unknown
	}
}
