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

// Leave ends a permit and returns what its endpoint's owner tells of it. It is
// called once for each permit.
func (b *Balancer) Leave(p *Permit, r Result, now time.Time) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := p.seat
	if r.Load >= 0 {
		// The report counts the request that it comes with.
		s.others = max(0, r.Load-len(s.flights))
		s.reportedAt = now
	}
	delete(s.flights, p)
	if r.ColdUntil.After(s.ColdUntil) {
		s.ColdUntil = r.ColdUntil
	}
	b.learn(p, r.Outcome, now)
	b.pump(s, now)
	return b.pools[s.Upstream].state(s, now)
}

func (b *Balancer) learn(p *Permit, o Outcome, now time.Time) {
	s := p.seat
	switch o {
	case Answered:
		b.answered(p, now)
	case Erred:
		s.answered(now)
		s.failing += rateWeight * (1 - s.failing)
	case Rejected:
		s.answered(now)
		s.rejecting += rateWeight * (1 - s.rejecting)
		if s.running(now) >= s.Slots {
			s.fullUntil = now.Add(rejectPause)
		}
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

func (b *Balancer) answered(x *Permit, now time.Time) {
	s := x.seat
	s.answered(now)
	s.failing -= rateWeight * s.failing
	s.rejecting -= rateWeight * s.rejecting
	d := now.Sub(x.sentAt)
	warm := s.isWarm(x.key, now)
	t := b.pools[s.Upstream].timesOf(x.class)
	if warm {
		s.judgeKey(d, t.of(true))
	}
	s.learnPace(d, t.of(warm))
	t.learn(warm, time.Duration(float64(d)/s.paceOf()))
	s.remember(x.key, now)
}
