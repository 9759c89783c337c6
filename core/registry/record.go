package registry

import (
	"net/netip"
	"time"

	"heatherford/core/route"
)

// Part names one of the two parts of a host's knowledge.
type Part int

// The parts.
const (
	// Orders are what operators say: the declaration and emptied zones.
	Orders Part = iota
	// Endpoints are what endpoints say of themselves.
	Endpoints
	// Parts is the number of parts.
	Parts
)

// Endpoint is what an endpoint says of itself.
type Endpoint struct {
	ID       string         `json:"id"`
	Upstream string         `json:"upstream"`
	Address  netip.AddrPort `json:"address"`
	Zone     string         `json:"zone"`
	// Slots is the number of requests that it runs at a time, at least 1.
	Slots int `json:"slots"`
	// Leaving endpoints get no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Born is when the endpoint's incarnation started, in its own time of day.
	// It distinguishes incarnations and is never compared to this host's time.
	Born time.Time `json:"born"`
	// Sequence grows with each report of an incarnation.
	Sequence uint64 `json:"sequence,omitempty"`
	// ColdLeft is how long the endpoint said it would stay cold. It becomes
	// ColdUntil where it is received.
	ColdLeft time.Duration `json:"cold_left,omitempty"`
	// ColdUntil is when the endpoint is warm, by this host's clock.
	ColdUntil time.Time `json:"-"`
}

// Record is a change of one of the platform's records. Exactly one of its
// subjects is set.
type Record struct {
	// Version is the platform's counter at the change.
	Version uint64 `json:"version"`
	// Removed is true if the subject is gone. Then only its name is known.
	Removed bool `json:"removed,omitempty"`
	// GoneIn is how long an endpoint is still believed that is missing from the platform's
	// records, or zero.
	GoneIn time.Duration `json:"gone_in,omitempty"`

	Declaration *route.Declaration `json:"declaration,omitempty"`
	// EmptiedZone is an availability zone whose endpoints get no work.
	EmptiedZone string    `json:"emptied_zone,omitempty"`
	Endpoint    *Endpoint `json:"endpoint,omitempty"`
}

// Update is what was read of one part.
type Update struct {
	Part Part `json:"part"`
	// Whole is true if Records hold all that exists; what is missing is gone.
	Whole bool `json:"whole,omitempty"`
	// Since is the version after which Records hold all changes. What is known up to
	// an older one is not complete with them.
	Since uint64 `json:"since,omitempty"`
	// Version is the platform's counter up to which the part is complete.
	Version uint64   `json:"version"`
	Records []Record `json:"records,omitempty"`
}

// same reports whether two reports of an endpoint differ in nothing that other
// hosts have to know.
func (e *Endpoint) same(o *Endpoint) bool {
	return e.Upstream == o.Upstream && e.Address == o.Address && e.Zone == o.Zone &&
		e.Slots == o.Slots && e.Leaving == o.Leaving && e.Born.Equal(o.Born)
}
