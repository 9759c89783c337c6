package admission

import (
	"time"

	"heatherford/core/snapshot"
)

const (
	// failuresToSuspend is the number of consecutive failures after which an endpoint is
	// suspended: fewer may be the fault of one connection.
	failuresToSuspend = 3
	// firstSuspension is the length of the first suspension. Each further consecutive
	// failure doubles it up to maxSuspension.
	firstSuspension = 50 * time.Millisecond
	maxSuspension   = 2 * time.Second
)

// endpoint is the state of one endpoint at a controller.
type endpoint struct {
	name string
	// inFlight is the number of requests that hold a slot. It exceeds the endpoint's limit
	// only after the limit was lowered.
	inFlight int
	// heldUntil has, for each ended request that still counts as in flight, the time until
	// which it does.
	heldUntil []time.Time
	// failures is the number of failed requests since the last success.
	failures int
	// suspendedUntil is when the endpoint may get requests again after failures.
	suspendedUntil time.Time
}

// used returns the number of slots that are in use at the time now. It drops held slots
// whose time has passed.
func (s *endpoint) used(now time.Time) int {
	for i := len(s.heldUntil) - 1; i >= 0; i-- {
		if !now.Before(s.heldUntil[i]) {
			s.heldUntil = append(s.heldUntil[:i], s.heldUntil[i+1:]...)
		}
	}
	return s.inFlight + len(s.heldUntil)
}

// limit returns the largest number of requests in flight at the time now. After a suspension
// an endpoint gets one request at a time until one succeeds.
func (s *endpoint) limit(o *snapshot.Own, now time.Time) int {
	switch {
	case o.Endpoint.Leaving:
		return 0
	case s.failures < failuresToSuspend:
		return o.Limit(now)
	case now.Before(s.suspendedUntil):
		return 0
	default:
		return min(1, o.Limit(now))
	}
}

func (s *endpoint) recordFailure(now time.Time) {
	s.failures++
	if s.failures < failuresToSuspend {
		return
	}
	d := maxSuspension
	const doublings = 5
	if n := s.failures - failuresToSuspend; n < doublings {
		d = firstSuspension << n
	}
	s.suspendedUntil = now.Add(d)
}
