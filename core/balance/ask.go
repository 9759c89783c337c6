package balance

import (
	"time"

	"heatherford/core/code"
)

// Ask is what a request says of itself.
type Ask struct {
	Upstream string
	// Key names the request's object, such as a hash of its affinity key. It
	// is drawn at random for requests without one.
	Key uint64
	// Class names requests that cost endpoints alike, such as those of a route.
	Class string
	// Wide requests meet one endpoint of the whole region, others one of their
	// zone.
	Wide bool
	// Rank is 0 for the most urgent work.
	Rank int
	// Objective is when an answer stops having its full worth.
	Objective time.Time
	// Deadline is when nobody waits for the answer any more.
	Deadline time.Time
	// Allows reports whether the request may be served in a region. Nil stands
	// for all regions.
	Allows func(region string) bool
	// Avoid names endpoints that the request must not go to.
	Avoid []string
	// Full names endpoints whose owner refused the request for want of room.
	// They stay the right ones for its object.
	Full []string
	// Retry is true if an endpoint had the request before. A retry does not
	// wait in a queue.
	Retry bool
}

// Refusal says why a request is not admitted, and when there will be room.
type Refusal struct {
	Code code.Code
	// Detail is a short reason for logs.
	Detail string
	// Again is when the request could be admitted.
	Again time.Time
}

// Level says how far from the caller's availability zone an endpoint is.
type Level int

// The levels.
const (
	SameZone Level = iota
	SameRegion
	OtherRegion
	levels
)

// String implements fmt.Stringer.
func (l Level) String() string {
	return [...]string{"zone", "region", "far"}[l]
}

// Choice is an endpoint for one request. Its user ends it with Balancer.Done.
type Choice struct {
	Target Target
	Level  Level
	// Place is the endpoint's place in the order of the object's endpoints.
	Place int
	// Usual is the time that the endpoint usually takes, with its queue.
	Usual time.Duration
	// Load and LoadAge say what the choice was based on: requests at the
	// endpoint and before it, and how old that figure was, negative if nothing
	// was known.
	Load    int
	LoadAge time.Duration

	seat *seat
	key  uint64
}

// Target is the endpoint of a choice.
type Target struct {
	ID          string
	Upstream    string
	Zone        string
	Address     string
	Connections int
	// Owner is the host that sends to the endpoint.
	Owner string
}

// State is what an owner tells of an endpoint.
type State struct {
	// Load is the number of requests at the endpoint and in its queue.
	Load int `json:"load"`
	// Backlog is how long a request waits for a slot.
	Backlog time.Duration `json:"backlog,omitempty"`
	// Pace is how slow the endpoint is beside its siblings; 1 is as fast.
	Pace float64 `json:"pace,omitempty"`
	// Strict is true while the queue is longer than objectives allow, and has
	// been for a while.
	Strict bool `json:"strict,omitempty"`
	// Failing is the rate of failures.
	Failing float64 `json:"failing,omitempty"`
	// Missing is the rate at which the endpoint no longer has an object ready
	// that it served lately.
	Missing float64 `json:"missing,omitempty"`
	// Rest is how long the endpoint gets nothing.
	Rest time.Duration `json:"rest,omitempty"`
}
