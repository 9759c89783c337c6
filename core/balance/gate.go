package balance

import (
	"context"
	"sort"
	"time"

	"heatherford/core/code"
)

const (
	// returnFactor is how many times the usual interval between two slots that
	// come free lies between two clients who come back, since others come too.
	returnFactor = 2.0
	// mostOvertaken is the number of urgent requests in a row after which a
	// waiting request of another rank gets its turn.
	mostOvertaken = 4
)

// Permit is the right to send one request to an endpoint. Its user ends it with
// Balancer.Leave.
type Permit struct {
	Target Target
	// Fresh demands a new connection: the endpoint may be unreachable.
	Fresh bool
	// Waited is the time in the queue.
	Waited time.Duration

	seat   *seat
	key    uint64
	class  string
	sentAt time.Time
	// expected is how long the endpoint is expected to need.
	expected time.Duration
}

// waiter is a request in an endpoint's queue.
type waiter struct {
	endpoint string
	ask      Ask
	arrived  time.Time
	// expected is how long the endpoint is expected to need.
	expected time.Duration
	// latest is when the request has to be sent at the latest.
	latest time.Time
	// done gets the decision. It has room for one.
	done chan decision
}

type decision struct {
	permit  *Permit
	refusal *Refusal
}

// Enter admits a request to an endpoint, at once or after a wait that ends with
// ctx. It refuses at once what would be answered too late. This host should own
// the endpoint.
func (b *Balancer) Enter(ctx context.Context, id string, a Ask) (*Permit, *Refusal) {
	now := time.Now()
	w, d := b.enter(id, a, now)
	if w == nil {
		return d.permit, d.refusal
	}
	t := time.NewTimer(w.latest.Sub(now))
	defer t.Stop()
	select {
	case d := <-w.done:
		return d.permit, d.refusal
	case <-ctx.Done():
	case <-t.C:
	}
	if b.withdraw(w) {
		return nil, refuse(code.DeadlinePassed, time.Now().Add(retryLeast), "no slot of %s came free in time", id)
	}
	x := <-w.done
	return x.permit, x.refusal
}

// enter decides at once, or returns a waiter.
func (b *Balancer) enter(id string, a Ask, now time.Time) (*waiter, decision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.seats[id]
	if s == nil {
		return nil, decision{
			refusal: refuse(code.NoEndpoint, now.Add(retryLeast), "endpoint %s may not be sent to", id),
		}
	}
	if r := s.unfit(now); r != nil {
		return nil, decision{
			refusal: r,
		}
	}
	if s.free(now) && len(s.queue) == 0 {
		s.foundFree()
		return nil, decision{
			permit: b.admit(s, &a, now),
		}
	}
	if r := b.late(s, &a, now); r != nil {
		return nil, decision{
			refusal: r,
		}
	}
	w := &waiter{
		endpoint: id,
		ask:      a,
		arrived:  now,
		expected: b.pools[s.Upstream].expect(s, a.Class, s.isWarm(a.Key, now)),
		latest:   a.Deadline.Add(-deadlineMargin),
		done:     make(chan decision, 1),
	}
	s.insert(w)
	return w, decision{}
}

// unfit refuses requests to an endpoint that gets nothing for now.
func (s *seat) unfit(now time.Time) *Refusal {
	switch {
	case s.resting(now):
		return refuse(code.NoEndpoint, s.restUntil, "endpoint %s rests", s.ID)
	case s.suspect(now):
		return refuse(code.NoEndpoint, now.Add(silentLeast), "endpoint %s is silent", s.ID)
	case s.trying() && len(s.flights) > 0:
		return refuse(code.NoEndpoint, now.Add(restFirst), "endpoint %s is being tried", s.ID)
	case s.cold(now) && !s.coldOwn.has(now):
		return refuse(code.EndpointFull, now.Add(retryLeast), "endpoint %s is cold", s.ID)
	default:
		return nil
	}
}

// free reports whether a slot is free.
func (s *seat) free(now time.Time) bool {
	return s.running(now) < s.Slots && !now.Before(s.fullUntil)
}

// late refuses a request whose turn would come too late.
func (b *Balancer) late(s *seat, a *Ask, now time.Time) *Refusal {
	p := b.pools[s.Upstream]
	wait := p.backlog(s, a.Rank, now)
	done := now.Add(wait + p.expect(s, a.Class, true))
	s.freeRun = 0
	s.watchQueue(a.Rank, wait, done.After(a.Objective), now)
	if mayWait(a, wait, done, s.strict, s.ahead(a.Rank) == len(s.queue), now) {
		return nil
	}
	return refuse(code.RankFull, s.promise(wait, p.expect(s, a.Class, true), now), "endpoint %s has %d of %d and %d wait, a slot in %s", s.ID,
		s.running(now), s.Slots, len(s.queue), wait.Round(time.Millisecond))
}

// promise returns when a refused request will find room: behind what waits and
// behind those that were told to come back before it.
func (s *seat) promise(wait, service time.Duration, now time.Time) time.Time {
	if t := now.Add(max(retryLeast, wait)); s.promised.Before(t) {
		s.promised = t
	}
	s.promised = s.promised.Add(time.Duration(returnFactor * float64(service) / float64(s.Slots)))
	return s.promised
}

// watchQueue notes whether a request that came now would be answered too late.
// Only one that goes last tells of the whole queue. The queue becomes strict if that
// lasts and the queue does not shrink.
func (s *seat) watchQueue(rank int, wait time.Duration, late bool, now time.Time) {
	switch {
	case s.ahead(rank) < len(s.queue):
	case !late && s.strict:
	case !late:
		s.overSince = time.Time{}
	case s.overSince.IsZero() || float64(wait) < shrinking*float64(s.overMost):
		s.overSince = now
		s.overMost = wait
	default:
		s.overMost = max(s.overMost, wait)
		s.strict = s.strict || now.Sub(s.overSince) > strictAfter
	}
}

// foundFree notes that a request found a free slot, which ends the strict state of a
// queue if it happens some times in a row.
func (s *seat) foundFree() {
	s.freeRun++
	if !s.strict || s.freeRun >= relaxRun {
		s.strict = false
		s.overSince = time.Time{}
	}
}

// ahead returns the number of waiting requests that go before one of the rank.
func (s *seat) ahead(rank int) int {
	n := 0
	for _, w := range s.queue {
		if w.ask.Rank <= rank {
			n++
		}
	}
	return n
}

// insert puts a waiter behind those of its rank and of more urgent ones.
func (s *seat) insert(w *waiter) {
	i := sort.Search(len(s.queue), func(i int) bool {
		return s.queue[i].ask.Rank > w.ask.Rank
	})
	s.queue = append(s.queue, nil)
	copy(s.queue[i+1:], s.queue[i:])
	s.queue[i] = w
}

// withdraw takes a waiter out of its queue. It reports false if the waiter was
// decided before.
func (b *Balancer) withdraw(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.seats[w.endpoint]
	if s == nil {
		return false
	}
	for i, x := range s.queue {
		if x == w {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return true
		}
	}
	return false
}

func (b *Balancer) admit(s *seat, a *Ask, now time.Time) *Permit {
	if s.cold(now) {
		s.coldOwn.take(now)
	}
	p := &Permit{
		Target: s.target(),
		Fresh:  s.trying(),
		seat:   s,
		key:    a.Key,
		class:  a.Class,
		sentAt: now,

		expected: b.pools[s.Upstream].expect(s, a.Class, s.isWarm(a.Key, now)),
	}
	s.flights[p] = true
	return p
}

// pump gives free slots to waiting requests.
func (b *Balancer) pump(s *seat, now time.Time) {
	for len(s.queue) > 0 {
		if r := s.unfit(now); r != nil && r.Code != code.EndpointFull {
			s.refuseAll(r)
			return
		}
		if !s.free(now) || (s.cold(now) && !s.coldOwn.has(now)) {
			return
		}
		w := s.next()
		p := b.admit(s, &w.ask, now)
		p.Waited = now.Sub(w.arrived)
		w.done <- decision{
			permit: p,
		}
	}
}

// next takes the next request out of the queue: the most urgent one, but for a
// turn of the other ranks from time to time.
func (s *seat) next() *waiter {
	i := 0
	first := s.queue[0].ask.Rank
	if last := s.queue[len(s.queue)-1].ask.Rank; last > first {
		s.overtaken++
		if s.overtaken > mostOvertaken {
			i = sort.Search(len(s.queue), func(i int) bool {
				return s.queue[i].ask.Rank > first
			})
			s.overtaken = 0
		}
	}
	w := s.queue[i]
	s.queue = append(s.queue[:i], s.queue[i+1:]...)
	return w
}

func (s *seat) refuseAll(r *Refusal) {
	for _, w := range s.queue {
		w.done <- decision{
			refusal: r,
		}
	}
	s.queue = nil
}

// dismiss refuses what waits for an endpoint that is gone.
func (s *seat) dismiss(now time.Time) {
	s.refuseAll(refuse(code.NoEndpoint, now.Add(retryLeast), "endpoint %s may not be sent to", s.ID))
}

// Pump gives slots that came free without an answer to waiting requests, such as
// those that a cold endpoint may take. It is called at an even interval.
func (b *Balancer) Pump(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.seats {
		b.pump(s, now)
	}
}
