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
	// Repeatable requests may run more than once.
	Repeatable bool
	// Retry is true if an endpoint had the request before. A retry does not
	// wait in an endpoint's queue.
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

// Choice is the right to send one request to an endpoint. Its user ends it with
// Balancer.Done.
type Choice struct {
	Seat  Target
	Level Level
	// Place is the endpoint's place in the order of the object's endpoints.
	Place int
	// Fresh demands a new connection: the endpoint may be unreachable.
	Fresh bool
	// Usual is the time that the endpoint usually takes, with its queue.
	Usual time.Duration
	// Load and LoadAge say what the choice was based on: requests at the
	// endpoint, and how old the newest report of it was.
	Load    int
	LoadAge time.Duration

	seat   *seat
	flight *flight
	key    uint64
	class  string
	// queued is the number of requests beyond the slots when it was chosen.
	queued int
}

// Target is the endpoint of a choice.
type Target struct {
	ID          string
	Zone        string
	Address     string
	Connections int
}
