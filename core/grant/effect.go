package grant

import (
	"heatherford/core/code"
	"heatherford/core/quota"
	"heatherford/core/store"
)

// Effect is something for the machine's user to do. Exactly one field is set.
type Effect struct {
	Commit *Commit
	Read   *Read
	Ask    *Ask
	Cede   *Cede
	Offer  *Offer
	Tell   *Tell
	Learn  *Learn
	Note   *Note
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
	// All is true of a read of every row.
	All   bool
	Query store.Query
}

// Ask asks a host to give up its rights to an endpoint under older epochs. A
// positive answer goes to Machine.Acknowledged.
type Ask struct {
	Host     string
	Endpoint string
	// Epoch is the present one.
	Epoch uint64
	// Incarnation is the one that had the rights, or empty.
	Incarnation string
	// Serial is that of the newest cession that the host is asked to give up.
	Serial uint64
}

// Acknowledgement answers an Ask.
type Acknowledgement struct {
	Incarnation string
	// Done is true if the host has no rights left under the older epochs, and
	// no request in flight.
	Done bool
}

// Cede gives a host a part of an endpoint while the platform is down. Its result
// goes to Machine.CedeEnded.
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

// Offer asks a host whether it takes an endpoint over. Its result goes to
// Machine.Offered.
type Offer struct {
	Host     string
	Endpoint string
}

// Tell tells a host that an endpoint's owner has changed, or that another host has
// been ceded a part. It may get lost.
type Tell struct {
	Host string
	// Ownership is what has changed.
	Ownership Ownership
}

// Ownership is what one host tells another of an endpoint's owner. It gives no
// right; look-ups follow it while the platform does not answer.
type Ownership struct {
	Endpoint string
	Host     string
	Epoch    uint64
	// Version is that of the row, by which the newer of two is known.
	Version uint64
	// Part is true if the host is not the owner but has been ceded a part.
	Part bool
}

// Learn asks a host for what it knows of all owners. Its result goes to
// Machine.Learned.
type Learn struct {
	Host string
}

// Reply answers a Cede or an Offer.
type Reply struct {
	Incarnation string
	// OK is true if the host takes the part or the endpoint.
	OK bool
}

// Note is something that matters to operators.
type Note struct {
	Endpoint string
	Text     string
}

// result is how a commit ended.
type result int

const (
	// failed commits had no effect.
	failed result = iota
	// conflicted commits had no effect since a row has changed.
	conflicted
	// unknown commits may have taken effect, or may yet.
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
