package registry

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"heatherford/core/route"
)

// Part is one of the two parts of the platform's records.
type Part int

// The parts.
const (
	// OperatorRecords are the records that operators set: the declaration and the drained
	// zones.
	OperatorRecords Part = iota
	// Endpoints are the records that endpoints report about themselves.
	Endpoints
	// NumParts is the number of parts.
	NumParts
)

// Endpoint is an endpoint's report about itself.
type Endpoint struct {
	ID       string `json:"id"`
	Upstream string `json:"upstream"`
	// Software is the version of the endpoint's software, or empty if it is not known.
	Software string         `json:"software,omitempty"`
	Address  netip.AddrPort `json:"address"`
	Zone     string         `json:"zone"`
	// Slots is the number of requests that it runs at a time, at least 1.
	Slots int `json:"slots"`
	// Leaving is true if the endpoint gets no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// StartedAt is when the endpoint's incarnation started, by the endpoint's wall clock. It
	// distinguishes incarnations and is never compared to this host's clock.
	StartedAt time.Time `json:"born"`
	// Sequence grows with each report of an incarnation.
	Sequence uint64 `json:"sequence,omitempty"`
	// ColdLeft is how much longer the endpoint stays cold, by its own report. The receiver
	// converts it to ColdUntil.
	ColdLeft time.Duration `json:"cold_left,omitempty"`
	// ColdUntil is when the endpoint is warm, by this host's clock.
	ColdUntil time.Time `json:"-"`
}

// MaxSlots is the most slots of an endpoint: one with more would draw the traffic of all others.
// MaxColdLeft is the longest time that an endpoint is taken to stay cold by its own report.
const (
	MaxSlots    = 1000
	MaxColdLeft = 10 * time.Minute
)

// Check returns why the report cannot be that of an endpoint to which requests can be sent, or
// nil.
func (e *Endpoint) Check() error {
	a := e.Address.Addr().Unmap()
	switch {
	case e.ID == "" || e.Upstream == "" || e.Zone == "":
		return errors.New("it names no endpoint, upstream or zone")
	case e.Slots < 1 || e.Slots > MaxSlots:
		return fmt.Errorf("its slots, %d, are not from 1 to %d", e.Slots, MaxSlots)
	case !a.IsValid() || e.Address.Port() == 0 || a.Zone() != "" || a.IsUnspecified() || a.IsMulticast() || a == broadcast:
		return fmt.Errorf("nothing can be sent to its address %s", e.Address)
	}
	return nil
}

// broadcast is the address of all hosts of a network.
var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// Record is a change of one of the platform's records. Exactly one of Declaration,
// DrainedZone and Endpoint is set.
type Record struct {
	// Version is the platform's version at the change.
	Version Version `json:"version"`
	// Listed is true if the record was read with the whole part. It may have been written
	// in an earlier era than that of Version.
	Listed bool `json:"listed,omitempty"`
	// Contradicted is true if the platform's copy holds the opposite, which holds unless the
	// writer of the record writes again.
	Contradicted bool `json:"contradicted,omitempty"`
	// Removed is true if the record was deleted. Then only its name is known.
	Removed bool `json:"removed,omitempty"`
	// ExpiresIn is how long an endpoint that is missing from the platform's records still
	// counts as present, or zero if it is not missing.
	ExpiresIn time.Duration `json:"gone_in,omitempty"`

	Declaration *route.Declaration `json:"declaration,omitempty"`
	// DrainedZone is a drained availability zone: its endpoints get no requests.
	DrainedZone string    `json:"emptied_zone,omitempty"`
	Endpoint    *Endpoint `json:"endpoint,omitempty"`
}

// Update is the result of reading one part.
type Update struct {
	Part Part `json:"part"`
	// Full is true if Records hold the whole part. What they lack was removed, unless the
	// platform lost it.
	Full bool `json:"whole,omitempty"`
	// More is true if the platform has later changes than those up to Version, so that
	// the part is not current.
	More bool `json:"-"`
	// Since is the version after which Records hold all changes. A receiver whose version
	// is older must not apply them, since it would miss the changes in between.
	Since Version `json:"since,omitzero"`
	// Version is the platform's version up to which the part is complete.
	Version Version  `json:"version"`
	Records []Record `json:"records,omitempty"`
}

// Adds reports whether the update adds to what a host of its version knows, and says nothing
// of changes since another version.
func (u *Update) Adds() bool {
	return !u.Full && u.Since == u.Version && len(u.Records) > 0
}

// position returns the record's place among other versions of it.
func (c *Record) position() position {
	return position{
		Version: c.Version,
		listed:  c.Listed,
	}
}

// equivalent reports whether two reports of an endpoint differ in nothing that other hosts
// have to know.
func (e *Endpoint) equivalent(o *Endpoint) bool {
	return e.Upstream == o.Upstream && e.Address == o.Address && e.Zone == o.Zone &&
		e.Slots == o.Slots && e.Leaving == o.Leaving && e.StartedAt.Equal(o.StartedAt)
}
