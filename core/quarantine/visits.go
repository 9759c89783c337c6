package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// abandonedMemory is how long an endpoint may be at work on a request that the host has
	// stopped waiting for.
	abandonedMemory = 10 * time.Second
	// maxAbandoned bounds the requests of an incarnation of an endpoint that are kept although
	// the host does not wait for them.
	maxAbandoned = 128
)

// Visits holds the requests that a host has sent to incarnations of endpoints and that these may
// still be at work on. The zero value is ready. It is safe for concurrent use.
type Visits struct {
	mu           sync.Mutex
	incarnations map[string]*presence
}

// presence is the requests at an incarnation.
type presence struct {
	// waiting holds the requests whose answer is awaited.
	waiting map[*Visit]struct{}
	// abandoned is ordered by the ends of the visits.
	abandoned []*Visit
}

// Visit is a request at an incarnation of an endpoint.
type Visit struct {
	incarnation string
	request     Fingerprint
	endedAt     time.Time
}

// Begin records that a request is being sent to an incarnation.
func (s *Visits) Begin(incarnation string, f Fingerprint) *Visit {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnations == nil {
		s.incarnations = map[string]*presence{}
	}
	p := s.incarnations[incarnation]
	if p == nil {
		p = &presence{
			waiting: map[*Visit]struct{}{},
		}
		s.incarnations[incarnation] = p
	}
	v := &Visit{
		incarnation: incarnation,
		request:     f,
	}
	p.waiting[v] = struct{}{}
	return v
}

// End records that the request is no longer at the endpoint.
func (s *Visits) End(v *Visit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.incarnations[v.incarnation].waiting, v)
}

// Abandon records that the host no longer waits for the answer, while the endpoint may be at work
// on the request.
func (s *Visits) Abandon(v *Visit, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.incarnations[v.incarnation]
	delete(p.waiting, v)
	v.endedAt = now
	p.abandoned = append(p.abandoned, v)
	p.expire(now)
}

// expire drops the visits that are too old, or too many.
func (p *presence) expire(now time.Time) {
	p.abandoned = slices.DeleteFunc(p.abandoned, func(v *Visit) bool {
		return now.Sub(v.endedAt) > abandonedMemory
	})
	p.abandoned = slices.Delete(p.abandoned, 0, max(0, len(p.abandoned)-maxAbandoned))
}

// Present returns the requests that the incarnation may be at work on, each once.
func (s *Visits) Present(incarnation string, now time.Time) []Fingerprint {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.incarnations[incarnation]
	if p == nil {
		return nil
	}
	p.expire(now)
	seen := map[Fingerprint]bool{}
	for v := range p.waiting {
		seen[v.request] = true
	}
	for _, v := range p.abandoned {
		seen[v.request] = true
	}
	fs := make([]Fingerprint, 0, len(seen))
	for f := range seen {
		fs = append(fs, f)
	}
	return fs
}

// Expire drops the incarnations without requests.
func (s *Visits) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, p := range s.incarnations {
		p.expire(now)
		if len(p.waiting) == 0 && len(p.abandoned) == 0 {
			delete(s.incarnations, n)
		}
	}
}
