package balance

import (
	"context"
	"sort"
	"time"

	"heatherford/core/code"
)

const (
	// retrySpacing is the distance between the retry times of two refused
	// clients, as a multiple of the expected interval between two slots that come
	// free. It is above 1 since new requests take slots as well.
	retrySpacing = 2.0
	// maxOvertakes is the number of requests in a row that may overtake those of
	// a lower rank. After them a request of a lower rank gets its turn.
	maxOvertakes = 4
)

// Permit is the right to send one request to an endpoint. Its holder must pass it
// to Balancer.Release once.
type Permit struct {
	Target Target
	// NewConn demands a new connection, since the endpoint may be unreachable.
	NewConn bool
	// Waited is the time in the queue.
	Waited time.Duration

	endpoint *endpoint
	key      uint64
	class    string
	sentAt   time.Time
	// expected is the expected service time.
	expected time.Duration
}

// waiter is a request in an endpoint's queue.
type waiter struct {
	endpointID string
	request    Request
	arrived    time.Time
	// expected is the expected service time.
	expected time.Duration
	// sendBy is the latest time at which the request may be sent.
	sendBy time.Time
	// decided receives the decision. Its buffer of one keeps the sender from
	// blocking.
	decided chan decision
}

type decision struct {
	permit  *Permit
	refusal *Refusal
}

// Acquire admits a request to an endpoint that this host owns, at once or after a
// wait in the queue. It refuses at once what would be answered too late. A
// request in the queue is refused when ctx ends or when its deadline is too close
// for an answer. Exactly one of the results is nil.
func (b *Balancer) Acquire(ctx context.Context, id string, a Request) (*Permit, *Refusal) {
	now := time.Now()
	w, d := b.acquireOrQueue(id, a, now)
	if w == nil {
		return d.permit, d.refusal
	}
	t := time.NewTimer(w.sendBy.Sub(now))
	defer t.Stop()
	select {
	case d := <-w.decided:
		return d.permit, d.refusal
	case <-ctx.Done():
	case <-t.C:
	}
	if b.cancel(w) {
		return nil, refuse(code.DeadlinePassed, time.Now().Add(minRetryDelay), "no slot of %s came free in time", id)
	}
	x := <-w.decided
	return x.permit, x.refusal
}

// acquireOrQueue returns the decision, or a waiter if the request was queued.
func (b *Balancer) acquireOrQueue(id string, a Request, now time.Time) (*waiter, decision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.endpoints[id]
	if s == nil {
		return nil, decision{
			refusal: refuse(code.NoEndpoint, now.Add(minRetryDelay), "endpoint %s is not listed on this host", id),
		}
	}
	if b.isolated {
		return nil, decision{
			refusal: b.isolatedRefusal(now),
		}
	}
	if r := b.unavailable(s, &a, now); r != nil {
		return nil, decision{
			refusal: r,
		}
	}
	if s.canSend(now) && len(s.queue) == 0 {
		s.recordFreeSlot()
		return nil, decision{
			permit: b.admit(s, &a, now),
		}
	}
	if r := b.refuseIfLate(s, &a, now); r != nil {
		return nil, decision{
			refusal: r,
		}
	}
	w := &waiter{
		endpointID: id,
		request:    a,
		arrived:    now,
		expected:   b.pools[s.Upstream].expectedTime(s, a.Class, s.likelyCached(a.Key, now)),
		sendBy:     a.Deadline.Add(-deadlineMargin),
		decided:    make(chan decision, 1),
	}
	s.enqueue(w)
	b.refuseHopeless(s, now)
	return w, decision{}
}

// unavailable returns a refusal if the endpoint gets no request for now, else nil.
func (b *Balancer) unavailable(s *endpoint, a *Request, now time.Time) *Refusal {
	switch {
	case s.backsOff(now):
		return b.backoffRefusal(s, a, now)
	case s.limited() && s.owner != b.options.Self:
		return refuse(code.NoEndpoint, now.Add(minRetryDelay), "endpoint %s states a limit, which only its owner %s counts", s.ID, s.owner)
	case s.suspended(now):
		return b.refuseUntil(s, s.suspendedUntil, now, "endpoint %s is suspended", s.ID)
	case s.silent(now):
		return b.refuseUntil(s, now.Add(minSilence), now, "endpoint %s has stopped answering", s.ID)
	case s.probing() && len(s.inFlight) > 0:
		return b.refuseUntil(s, now.Add(minSuspension), now, "endpoint %s is being probed with one request", s.ID)
	case s.cold(now) && !s.coldOwn.allows(now):
		return refuse(code.EndpointFull, now.Add(minRetryDelay), "endpoint %s is cold and at its request rate", s.ID)
	default:
		return nil
	}
}

// refuseUntil refuses a request to an endpoint that gets none until a time. The refusal holds
// the endpoint's state, so that another host sends its further requests elsewhere at once.
func (b *Balancer) refuseUntil(s *endpoint, until, now time.Time, format string, args ...any) *Refusal {
	r := refuse(code.NoEndpoint, until, format, args...)
	t := b.pools[s.Upstream].state(s, now)
	t.SuspendedFor = until.Sub(now).Round(time.Millisecond)
	r.State = &t
	return r
}

// canSend reports whether a slot is free and the endpoint's limit allows a request.
func (s *endpoint) canSend(now time.Time) bool {
	return s.running(now) < s.openSlots() && !now.Before(s.fullUntil) && s.limitAllows(now)
}

// refuseIfLate returns a refusal if the request would get its slot too late, else
// nil.
func (b *Balancer) refuseIfLate(s *endpoint, a *Request, now time.Time) *Refusal {
	p := b.pools[s.Upstream]
	wait := p.backlog(s, a.Rank, now)
	done := now.Add(wait + p.expectedTime(s, a.Class, true))
	s.freeSlotRun = 0
	s.updateStrict(a.Rank, wait, done.After(a.Objective), now)
	if mayWait(a, wait, done, s.strict, s.queuedAhead(a.Rank) == len(s.queue), now) {
		return nil
	}
	return b.rankFull(s, a, wait, now)
}

// rankFull returns the refusal of a request that would wait too long.
func (b *Balancer) rankFull(s *endpoint, a *Request, wait time.Duration, now time.Time) *Refusal {
	limit := ""
	if s.limited() {
		limit = ", its limit is " + s.limit.String() + " a second"
	}
	return refuse(code.RankFull, s.nextRetryAt(wait, b.pools[s.Upstream].expectedTime(s, a.Class, true), now),
		"endpoint %s has %d of %d slots in use and %d requests queued, a slot is expected in %s%s", s.ID,
		s.running(now), s.Slots, len(s.queue), wait.Round(time.Millisecond), limit)
}

// nextRetryAt returns when a refused request may come back: after the queued
// requests, and after the clients who were refused before it.
func (s *endpoint) nextRetryAt(wait, service time.Duration, now time.Time) time.Time {
	if t := now.Add(max(minRetryDelay, wait)); s.lastRetryAt.Before(t) {
		s.lastRetryAt = t
	}
	s.lastRetryAt = s.lastRetryAt.Add(time.Duration(retrySpacing * float64(service) / float64(s.Slots)))
	return s.lastRetryAt
}

// updateStrict takes in whether a request that arrives now would be answered
// after its objective. Only a request that goes to the end of the queue counts,
// since its wait shows the length of the whole queue. The queue becomes strict if
// requests are late for longer than strictAfter while the wait does not shrink.
func (s *endpoint) updateStrict(rank int, wait time.Duration, late bool, now time.Time) {
	switch {
	case s.queuedAhead(rank) < len(s.queue):
	case !late && s.strict:
	case !late:
		s.lateSince = time.Time{}
	case s.lateSince.IsZero() || float64(wait) < shrinkFactor*float64(s.longestWait):
		s.lateSince = now
		s.longestWait = wait
	default:
		s.longestWait = max(s.longestWait, wait)
		s.strict = s.strict || now.Sub(s.lateSince) > strictAfter
	}
}

// recordFreeSlot notes that a request found a free slot. After relaxAfter of them
// in a row the queue is no longer strict.
func (s *endpoint) recordFreeSlot() {
	s.freeSlotRun++
	if !s.strict || s.freeSlotRun >= relaxAfter {
		s.strict = false
		s.lateSince = time.Time{}
	}
}

// queuedAhead returns the number of queued requests that go before a new one of
// the rank.
func (s *endpoint) queuedAhead(rank int) int {
	n := 0
	for _, w := range s.queue {
		if w.request.Rank <= rank {
			n++
		}
	}
	return n
}

// enqueue puts a waiter behind those of the same or a more urgent rank.
func (s *endpoint) enqueue(w *waiter) {
	i := sort.Search(len(s.queue), func(i int) bool {
		return s.queue[i].request.Rank > w.request.Rank
	})
	s.queue = append(s.queue, nil)
	copy(s.queue[i+1:], s.queue[i:])
	s.queue[i] = w
}

// cancel removes a waiter from its queue. It returns false if the decision on the
// waiter was made before.
func (b *Balancer) cancel(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.endpoints[w.endpointID]
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

func (b *Balancer) admit(s *endpoint, a *Request, now time.Time) *Permit {
	if s.cold(now) {
		s.coldOwn.take(now)
	}
	if s.limited() {
		s.limit.bucket.take(now)
	}
	p := &Permit{
		Target:   s.target(),
		NewConn:  s.probing(),
		endpoint: s,
		key:      a.Key,
		class:    a.Class,
		sentAt:   now,

		expected: b.pools[s.Upstream].expectedTime(s, a.Class, s.likelyCached(a.Key, now)),
	}
	s.inFlight[p] = true
	return p
}

// admitWaiting gives free slots to queued requests.
func (b *Balancer) admitWaiting(s *endpoint, now time.Time) {
	for len(s.queue) > 0 {
		if r := b.unavailable(s, &s.queue[0].request, now); r != nil && r.Code != code.EndpointFull {
			s.queue[0].decided <- decision{
				refusal: r,
			}
			s.queue = s.queue[1:]
			continue
		}
		if !s.canSend(now) || (s.cold(now) && !s.coldOwn.allows(now)) {
			return
		}
		w := s.dequeue()
		p := b.admit(s, &w.request, now)
		p.Waited = now.Sub(w.arrived)
		w.decided <- decision{
			permit: p,
		}
	}
}

// dequeue removes and returns the next request of the queue: the most urgent one,
// except that another rank gets its turn after maxOvertakes.
func (s *endpoint) dequeue() *waiter {
	i := 0
	first := s.queue[0].request.Rank
	if last := s.queue[len(s.queue)-1].request.Rank; last > first {
		s.overtakes++
		if s.overtakes > maxOvertakes {
			i = sort.Search(len(s.queue), func(i int) bool {
				return s.queue[i].request.Rank > first
			})
			s.overtakes = 0
		}
	}
	w := s.queue[i]
	s.queue = append(s.queue[:i], s.queue[i+1:]...)
	return w
}

func (s *endpoint) refuseAll(r *Refusal) {
	for _, w := range s.queue {
		w.decided <- decision{
			refusal: r,
		}
	}
	s.queue = nil
}

// closeQueue refuses the requests that are queued for an endpoint that is no
// longer listed.
func (s *endpoint) closeQueue(now time.Time) {
	s.refuseAll(refuse(code.NoEndpoint, now.Add(minRetryDelay), "endpoint %s is no longer listed", s.ID))
}

// AdmitWaiting admits queued requests for which there is capacity although no
// request has ended, such as those to a cold endpoint. It must be called at a
// regular interval.
func (b *Balancer) AdmitWaiting(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.endpoints {
		b.admitWaiting(s, now)
	}
}
