package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// runSettle is how long an endpoint has to live on after a completed run: one that crashes
	// before may have crashed by it. A run that is to end a block is held to trialSettle, and ends
	// it after unblockDelay, when all hosts know of such a crash.
	runSettle    = 100 * time.Millisecond
	trialSettle  = 700 * time.Millisecond
	unblockDelay = time.Second
	// strictAfter is how long after its first crash a request is expected to have a run that its
	// endpoint has survived, and survivalMemory how long such a run speaks for it.
	strictAfter    = time.Second
	survivalMemory = 3 * time.Second
	// probePause is how long an endpoint that may be at work on an abandoned request is not heard
	// of until it is probed, and the pause between probes.
	probePause = time.Second
	// abandonedMemory is how long an endpoint may be at work on a request that the host has
	// stopped waiting for.
	abandonedMemory = 10 * time.Second
	// maxAbandoned and maxCompleted bound the requests of an incarnation of an endpoint that are
	// kept although the host does not wait for them.
	maxAbandoned = 128
	maxCompleted = 256
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
	// abandoned and completed are ordered by the ends of the visits. Completed holds those within
	// runSettle of the endpoint's last answer.
	abandoned []*Visit
	completed []*Visit
	// heardAt is when the endpoint last showed that it lives, and probedAt when it was last to
	// be probed.
	heardAt  time.Time
	probedAt time.Time
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

// End records that the endpoint did not run the request.
func (s *Visits) End(v *Visit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.incarnations[v.incarnation].waiting, v)
}

// Complete records that the endpoint has answered.
func (s *Visits) Complete(v *Visit, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.incarnations[v.incarnation]
	delete(p.waiting, v)
	v.endedAt = now
	p.completed = append(p.completed, v)
	p.heardAt = later(p.heardAt, now)
	p.expire(now)
}

// Hear records that the incarnation took a connection.
func (s *Visits) Hear(incarnation string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.incarnations[incarnation]; p != nil {
		p.heardAt = later(p.heardAt, now)
	}
}

// LastHeard returns when the incarnation last showed that it lives, or zero if that is long ago.
func (s *Visits) LastHeard(incarnation string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.incarnations[incarnation]; p != nil {
		return p.heardAt
	}
	return time.Time{}
}

// AnySilent reports whether BeginProbe may have to be asked: some incarnation was not heard of for a
// while.
func (s *Visits) AnySilent(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.incarnations {
		if now.Sub(p.heardAt) >= trialSettle {
			return true
		}
	}
	return false
}

// BeginProbe reports whether the incarnation is to be probed now. It is not heard of otherwise, and
// may be at work on a request that was abandoned, or have crashed by it; or it may have crashed
// right behind its last answer: then it has closed a connection, which lost reports.
func (s *Visits) BeginProbe(incarnation string, lost func() bool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.incarnations[incarnation]
	if p == nil {
		return false
	}
	p.expire(now)
	silence := now.Sub(p.heardAt)
	switch {
	case len(p.abandoned) > 0 && silence >= probePause && now.Sub(p.probedAt) >= probePause:
		p.probedAt = now
		return true
	case len(p.completed) > 0 && silence >= trialSettle && !p.probedAt.After(p.heardAt):
		p.probedAt = now
		return lost()
	default:
		return false
	}
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
	oldest := now.Add(-abandonedMemory)
	p.abandoned = since(p.abandoned, oldest, maxAbandoned)
	if n := len(p.completed); n > 0 {
		oldest = later(oldest, p.completed[n-1].endedAt.Add(-runSettle))
		p.completed = since(p.completed, oldest, maxCompleted)
	}
}

// since returns the visits that ended at a time or later, the last ones if there are too many.
func since(s []*Visit, t time.Time, most int) []*Visit {
	first := slices.IndexFunc(s, func(v *Visit) bool {
		return !v.endedAt.Before(t)
	})
	if first < 0 {
		return nil
	}
	return s[max(first, len(s)-most):]
}

// Present returns the requests that the incarnation may be at work on, or was right before its
// last answer, each once.
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
	for _, v := range p.completed {
		seen[v.request] = true
	}
	fs := make([]Fingerprint, 0, len(seen))
	for f := range seen {
		fs = append(fs, f)
	}
	return fs
}

// Forget drops the requests at an incarnation that has crashed but for those that are awaited, whose
// connections are about to break.
func (s *Visits) Forget(incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.incarnations[incarnation]; p != nil {
		p.abandoned, p.completed = nil, nil
	}
}

// Expire drops the incarnations without requests.
func (s *Visits) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, p := range s.incarnations {
		p.expire(now)
		if len(p.waiting)+len(p.abandoned)+len(p.completed) == 0 {
			delete(s.incarnations, n)
		}
	}
}
