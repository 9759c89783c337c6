package admission

import (
	"time"

	"heatherford/core/snapshot"
)

const (
	// failuresToRest is the number of failures in a row after which an endpoint
	// rests: fewer may be the fault of one connection.
	failuresToRest = 3
	// firstPause is how long an endpoint rests the first time; each further
	// failure in a row doubles it up to longestPause.
	firstPause   = 50 * time.Millisecond
	longestPause = 2 * time.Second
)

// seat is the state of one endpoint at a gate.
type seat struct {
	name string
	// inFlight is the number of requests that hold a slot. It exceeds the
	// endpoint's limit only after the limit was lowered.
	inFlight int
	// held are the times until which ended requests still count as in flight.
	held []time.Time
	// failures is the number of failed requests since the last success.
	failures int
	// restUntil is when the endpoint may be tried again after a failure.
	restUntil time.Time
}

// used returns the number of slots that are in use at the time now.
func (s *seat) used(now time.Time) int {
	for i := len(s.held) - 1; i >= 0; i-- {
		if !now.Before(s.held[i]) {
			s.held = append(s.held[:i], s.held[i+1:]...)
		}
	}
	return s.inFlight + len(s.held)
}

// limit returns the most requests in flight at the time now. An endpoint that
// failed rests, then gets one request at a time until one succeeds.
func (s *seat) limit(o *snapshot.Own, now time.Time) int {
	switch {
	case o.Endpoint.Leaving:
		return 0
	case s.failures < failuresToRest:
		return o.Limit(now)
	case now.Before(s.restUntil):
		return 0
	default:
		return min(1, o.Limit(now))
	}
}

func (s *seat) fail(now time.Time) {
	s.failures++
	if s.failures < failuresToRest {
		return
	}
	d := longestPause
	const doublings = 5
	if n := s.failures - failuresToRest; n < doublings {
		d = firstPause << n
	}
	s.restUntil = now.Add(d)
}
