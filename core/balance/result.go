package balance

import "time"

// Outcome says how a request ended at an endpoint.
type Outcome int

// The outcomes.
const (
	// Answered means a whole answer to a request that counts as run.
	Answered Outcome = iota
	// Erred means an answer by which the endpoint reports a failure of its own.
	Erred
	// Rejected means an answer that says that the request was not run.
	Rejected
	// WrongEndpoint means a rejection by another endpoint, which now has the address.
	WrongEndpoint
	// Unreachable means that no connection could be opened, so that nothing was
	// sent.
	Unreachable
	// Broken means that the connection failed after the request was sent, or that
	// no whole answer came.
	Broken
	// Withdrawn means that the request ended for a reason that says nothing about
	// the endpoint.
	Withdrawn
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"answered", "erred", "rejected", "misplaced", "unreached", "broken", "withdrawn"}[o]
}

// Result is what one request shows about its endpoint.
type Result struct {
	Outcome Outcome
	// Load is the number of running and waiting requests that the endpoint
	// reported, or negative if it reported none.
	Load int
	// ColdUntil is when the endpoint expects to be warm, or zero if it did not
	// say.
	ColdUntil time.Time
	// Limit is the limit that the endpoint stated, or nil if it did not say.
	Limit *StatedLimit
	// Leaving is true if the endpoint said that it leaves.
	Leaving bool
	// BackoffUntil is until when the endpoint wants no further requests from this host, or
	// zero if it did not say.
	BackoffUntil time.Time
}

// Release ends a permit and returns the endpoint's new state, for the host that
// forwarded the request. It must be called once for each permit.
func (b *Balancer) Release(p *Permit, r Result, now time.Time) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := p.endpoint
	if r.Load >= 0 {
		// The reported load includes the request that has just ended.
		s.otherRequests = max(0, r.Load-len(s.inFlight))
		s.reportedAt = now
	}
	delete(s.inFlight, p)
	if r.ColdUntil.After(s.ColdUntil) {
		s.ColdUntil = r.ColdUntil
	}
	b.record(p, r.Outcome, now)
	if r.Limit != nil {
		b.observeLimit(s, *r.Limit, p.sentAt, now)
	}
	if !r.BackoffUntil.IsZero() && r.Outcome != WrongEndpoint {
		b.observeBackoff(s, r.BackoffUntil, now)
	}
	if r.Leaving {
		b.observeLeaving(s, r.Outcome, now)
	}
	b.admitWaiting(s, now)
	return b.pools[s.Upstream].state(s, now)
}

func (b *Balancer) record(p *Permit, o Outcome, now time.Time) {
	s := p.endpoint
	if (o == Unreachable || o == Broken) && (b.isolated || p.sentAt.Before(s.discardedAt)) {
		return
	}
	switch o {
	case Answered:
		b.recordAnswer(p, now)
		b.growWindow(s, p.sentAt)
	case Erred:
		s.recordAnswer(now)
		b.growWindow(s, p.sentAt)
		s.failureRate += rateWeight * (1 - s.failureRate)
	case Rejected:
		s.recordAnswer(now)
		s.rejectionRate += rateWeight * (1 - s.rejectionRate)
		if s.running(now) >= s.Slots {
			s.fullUntil = now.Add(rejectionPause)
		}
	case WrongEndpoint:
		s.lastAnswer = now
		s.consecutiveFailures = max(s.consecutiveFailures, suspendAfter)
		s.recordFailure(now)
	case Unreachable:
		s.consecutiveFailures = max(s.consecutiveFailures, suspendAfter-1)
		s.recordFailure(now)
	case Broken:
		s.recordFailure(now)
	case Withdrawn:
	}
}

func (b *Balancer) recordAnswer(x *Permit, now time.Time) {
	s := x.endpoint
	s.recordAnswer(now)
	s.failureRate -= rateWeight * s.failureRate
	s.rejectionRate -= rateWeight * s.rejectionRate
	d := now.Sub(x.sentAt)
	cached := s.likelyCached(x.key, now)
	t := b.pools[s.Upstream].serviceTimesOf(x.class)
	if cached {
		s.updateMissRate(d, t.mean(true))
	}
	s.updateSlowdown(d, t.mean(cached))
	t.record(cached, time.Duration(float64(d)/s.slowdownFactor()))
	t.own = true
	s.recordServed(x.key, now)
}
