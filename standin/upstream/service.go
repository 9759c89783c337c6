package upstream

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// service draws how long requests take and keeps the time until which an
// endpoint's processor is taken by connections and probes.
type service struct {
	options Options

	mu sync.Mutex
	// busyUntil is when the processor has done all connections and probes.
	busyUntil time.Time
	// ran is the number of requests since the endpoint was cold.
	ran int
}

// draw returns a request's service time. It depends on the seed and on the
// request's path alone, so that runs of different policies are paired.
func (s *service) draw(path string) time.Duration {
	if s.options.Sigma == 0 {
		return s.options.Service
	}
	h := xxhash.Sum64String(path)
	r := rand.New(rand.NewPCG(s.options.Seed, h))
	// The mean of a log-normal distribution is exp(mu + sigma^2/2).
	mu := -s.options.Sigma * s.options.Sigma / 2
	f := math.Exp(mu + s.options.Sigma*r.NormFloat64())
	return time.Duration(f * float64(s.options.Service))
}

// occupy takes the processor for d after all that took it before.
func (s *service) occupy(now time.Time, d time.Duration) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(d)
	return s.busyUntil
}

// end returns when a request that starts now ends.
func (s *service) end(now time.Time, path string) time.Time {
	d := float64(s.draw(path))
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.options.ColdRequests; s.ran < n {
		left := float64(n-s.ran) / float64(n)
		d *= 1 + left*(s.options.ColdFactor-1)
	}
	s.ran++
	start := now
	if s.busyUntil.After(start) {
		start = s.busyUntil
	}
	return start.Add(time.Duration(d))
}

// cool makes the endpoint cold again.
func (s *service) cool() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran = 0
}
