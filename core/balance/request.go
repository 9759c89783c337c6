package balance

import (
	"time"

	"heatherford/core/code"
)

// Request describes a request to the balancer.
type Request struct {
	Upstream string
	// Key identifies the request's object, such as a hash of its affinity key.
	// Requests without an object get a random key.
	Key uint64
	// Class groups requests that cost an endpoint about the same, such as those
	// of one route.
	Class string
	// RegionWide requests may go to any endpoint of the region, others prefer
	// those of their zone.
	RegionWide bool
	// Rank is 0 for the most urgent work.
	Rank int
	// Objective is the time until which an answer has its full worth.
	Objective time.Time
	// Deadline is when the client stops waiting for the answer.
	Deadline time.Time
	// Allows reports whether the request may be served in a region. Nil allows
	// all regions.
	Allows func(region string) bool
	// Only holds the IDs of the endpoints that the request may go to. Nil allows all.
	Only map[string]bool
	// Avoid holds the IDs of endpoints that the request must not go to.
	Avoid []string
	// RefusedBy holds the IDs of endpoints whose owner refused the request for
	// lack of capacity. Unlike those in Avoid they keep their position in the rendezvous
	// order of the key.
	RefusedBy []string
	// Retry is true if the request was sent to an endpoint before. A retry does
	// not wait in a queue.
	Retry bool
}

// Refusal says why a request is not admitted, and when to try again.
type Refusal struct {
	Code code.Code
	// Detail is a short reason for logs.
	Detail string
	// RetryAt is when the request is expected to be admitted.
	RetryAt time.Time
	// State is the state of the endpoint if it gets no requests until RetryAt, else nil.
	State *State
}

// Level says how far an endpoint is from the availability zone of this host.
type Level int

// The levels, nearest first.
const (
	SameZone Level = iota
	SameRegion
	OtherRegion
	levelCount
)

// String implements fmt.Stringer.
func (l Level) String() string {
	return [...]string{"zone", "region", "far"}[l]
}

// Choice is the endpoint chosen for one request. Whoever got it from
// Balancer.Pick must pass it to Balancer.Done once.
type Choice struct {
	Target Target
	Level  Level
	// Position is the endpoint's position in the rendezvous order of the request's
	// key, from 0.
	Position int
	// Expected is the expected time until the answer, including the wait in the
	// queue.
	Expected time.Duration
	// Load is the number of requests at the endpoint and in its queue on which
	// the choice was based. LoadAge is the age of that number, or negative if the
	// owner reported none recently.
	Load    int
	LoadAge time.Duration

	endpoint *endpoint
	key      uint64
}

// Target identifies an endpoint and the host that sends to it.
type Target struct {
	ID       string
	Upstream string
	// Software is the version of the endpoint's software, or empty if it is not known.
	Software    string
	Zone        string
	Address     string
	Connections int
	// Owner is the host that sends to the endpoint.
	Owner string
	// StartedAt distinguishes the endpoint's incarnations.
	StartedAt time.Time
}

// State is what the owner of an endpoint reports to other hosts.
type State struct {
	// Load is the number of requests at the endpoint and in its queue.
	Load int `json:"load"`
	// Backlog is how long a new request of the lowest rank would wait for a slot.
	Backlog time.Duration `json:"backlog,omitempty"`
	// Slowdown is the endpoint's service time relative to that of its upstream's
	// endpoints; above 1 is slower.
	Slowdown float64 `json:"pace,omitempty"`
	// Strict is true while the owner admits only requests that will meet their
	// objective, since its queue has been too long for a while.
	Strict bool `json:"strict,omitempty"`
	// FailureRate is the weighted moving average of failures, between 0 and 1.
	FailureRate float64 `json:"failing,omitempty"`
	// MissRate is the rate of cache misses: the share of requests whose object the
	// endpoint served recently but no longer has cached.
	MissRate float64 `json:"missing,omitempty"`
	// SuspendedFor is how much longer the endpoint is suspended, at most maxSuspension.
	SuspendedFor time.Duration `json:"rest,omitempty"`
	// BackoffFor is for how much longer the endpoint wants no requests from its owner.
	BackoffFor time.Duration `json:"backoff,omitempty"`
}
