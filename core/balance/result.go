package balance

import "time"

// Outcome says how a request ended at an endpoint.
type Outcome int

// The outcomes.
const (
	// Answered is a whole answer that counts as run.
	Answered Outcome = iota
	// Erred is an answer by which the endpoint itself reports a failure.
	Erred
	// Rejected is an answer that says that the request was not run.
	Rejected
	// Misplaced is a rejection by another endpoint at the same address.
	Misplaced
	// Unreached means that no connection could be opened.
	Unreached
	// Broken means that the connection failed, or that what came was no whole
	// answer.
	Broken
	// Withdrawn means that the request ended for a reason that says nothing of
	// the endpoint.
	Withdrawn
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"answered", "erred", "rejected", "misplaced", "unreached", "broken", "withdrawn"}[o]
}

// Result is what is learned from one request at an endpoint.
type Result struct {
	Outcome Outcome
	// Load is the endpoint's word on its running and waiting requests, negative
	// if it said nothing.
	Load int
	// ColdUntil is when the endpoint said that it will be warm, or zero.
	ColdUntil time.Time
}

// Done ends a choice. It is called once for each.
func (b *Balancer) Done(c *Choice, r Result, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := c.seat
	delete(s.flights, c.flight)
	if r.Load >= 0 {
		s.reported = r.Load
		s.reportedAt = now
		s.reportedFlights = len(s.flights)
	}
	if r.ColdUntil.After(s.ColdUntil) {
		s.ColdUntil = r.ColdUntil
	}
	switch r.Outcome {
	case Answered:
		b.answered(c, now)
	case Erred:
		s.answered(now)
		s.failing += rateWeight * (1 - s.failing)
	case Rejected:
		s.answered(now)
		s.rejecting += rateWeight * (1 - s.rejecting)
		s.fullUntil = now.Add(rejectPause)
	case Misplaced:
		s.heard = now
		s.failures = max(s.failures, restFailures)
		s.fail(now)
	case Unreached:
		s.failures = max(s.failures, restFailures-1)
		s.fail(now)
	case Broken:
		s.fail(now)
	case Withdrawn:
	}
}

func (b *Balancer) answered(c *Choice, now time.Time) {
	s := c.seat
	s.answered(now)
	s.failing -= rateWeight * s.failing
	s.rejecting -= rateWeight * s.rejecting
	d := now.Sub(c.flight.sentAt)
	p := b.pools[s.Upstream]
	if p != nil && c.queued == 0 {
		s.judgeKey(c.key, d, p.fast(c.class, d), now)
	}
	s.learn(d, c.queued)
	s.remember(c.key, now)
	if p != nil {
		const weight = 0.02
		if p.service == 0 {
			p.service = s.service
		}
		p.service += time.Duration(weight * float64(s.service-p.service))
	}
}
