package balance

import (
	"time"

	"heatherford/core/code"
	"heatherford/core/registry"
)

const (
	// maxToldBackoff is how long an owner's word counts that an endpoint wants no requests
	// from it, unless it is told again: owners may have restarted since.
	maxToldBackoff = 2 * time.Second
	// backoffMemory is how long a backoff of an endpoint that is not listed is remembered
	// after its end.
	backoffMemory = time.Minute
	// incarnationLag is how long after an answer an incarnation may be listed that gave it:
	// a host learns later of a new start than its requests reach the new incarnation.
	incarnationLag = 3 * time.Second
)

// backoff is the wish of an incarnation of an endpoint to get no requests from this host for
// a while. It says nothing of requests from other hosts.
type backoff struct {
	startedAt time.Time
	// saidAt is when the newest answer was read that asked for it.
	saidAt time.Time
	// until is when this host may send again, never earlier than any answer has said.
	until time.Time
	// window is the most requests in flight after that, and answered the number of answers
	// since the window last grew.
	window   int
	answered int
}

// observeBackoff takes in that an endpoint wants no requests from this host until a time.
func (b *Balancer) observeBackoff(s *endpoint, until, now time.Time) {
	x := b.backoffs[s.ID]
	switch {
	case x != nil && x.startedAt.After(s.StartedAt):
		// The answer is by an incarnation that has ended.
		return
	case x == nil || x.startedAt.Before(s.StartedAt):
		x = &backoff{
			startedAt: s.StartedAt,
		}
		b.backoffs[s.ID] = x
	}
	if until.After(x.until) {
		x.until = until
	}
	x.saidAt = now
	x.window = 1
	x.answered = 0
	if l := b.endpoints[s.ID]; l != nil {
		l.backoff = b.backoffOf(&l.Endpoint)
	}
}

// inheritBackoff gives a backoff to an incarnation that is listed for the first time and may
// have asked for it itself, before it was listed.
func (b *Balancer) inheritBackoff(e *registry.Endpoint, now time.Time) {
	x := b.backoffs[e.ID]
	if x != nil && x.startedAt.Before(e.StartedAt) && now.Sub(x.saidAt) < incarnationLag {
		x.startedAt = e.StartedAt
	}
}

// backoffOf returns what is known of the backoff of a listed endpoint, or nil.
func (b *Balancer) backoffOf(e *registry.Endpoint) *backoff {
	x := b.backoffs[e.ID]
	if x == nil || !x.startedAt.Equal(e.StartedAt) {
		return nil
	}
	return x
}

// expireBackoffs forgets the backoffs of endpoints that are not listed.
func (b *Balancer) expireBackoffs(now time.Time) {
	for id, x := range b.backoffs {
		if b.endpoints[id] == nil && now.Sub(x.until) > backoffMemory {
			delete(b.backoffs, id)
		}
	}
}

// growWindow lets one more request be in flight once as many were answered as the window
// holds, for requests that were sent after the backoff. The backoff is over once all slots
// may be used.
func (b *Balancer) growWindow(s *endpoint, sentAt time.Time) {
	x := s.backoff
	if x == nil || sentAt.Before(x.until) {
		return
	}
	x.answered++
	if x.answered < x.window {
		return
	}
	x.answered = 0
	x.window++
	if x.window >= s.Slots && b.backoffs[s.ID] == x {
		s.backoff = nil
		delete(b.backoffs, s.ID)
	}
}

// backsOff reports whether the endpoint wants no requests from this host for now.
func (s *endpoint) backsOff(now time.Time) bool {
	return s.backoff != nil && now.Before(s.backoff.until)
}

// openSlots returns the number of slots that this host may use as the owner: fewer than the
// endpoint has for a while after it wanted no requests.
func (s *endpoint) openSlots() int {
	if s.backoff == nil {
		return s.Slots
	}
	return min(s.Slots, s.backoff.window)
}

// backsOffOwner reports whether the endpoint wants no requests from its owner for now, by
// the owner's word if that is another host.
func (s *endpoint) backsOffOwner(self string, now time.Time) bool {
	if s.owner == self {
		return s.backsOff(now)
	}
	return now.Before(s.ownerBackoffUntil) && now.Sub(s.ownerStateAt) < maxToldBackoff
}

// backoffFor returns for how much longer the endpoint wants no requests from this host.
func (s *endpoint) backoffFor(now time.Time) time.Duration {
	if !s.backsOff(now) {
		return 0
	}
	return s.backoff.until.Sub(now).Round(time.Millisecond)
}

// backoffRefusal returns the refusal of a request to an endpoint that wants none from this
// host. Each client is told another time to come back.
func (b *Balancer) backoffRefusal(s *endpoint, a *Request, now time.Time) *Refusal {
	d := s.backoff.until.Sub(now)
	return refuse(code.NoEndpoint, s.nextRetryAt(d, b.pools[s.Upstream].expectedTime(s, a.Class, true), now),
		"endpoint %s wants no requests from host %s for %s", s.ID, b.options.Self, d.Round(time.Millisecond))
}

// usableAt returns when a listed endpoint may get requests, and whether it wants none from
// its owner until then.
func (b *Balancer) usableAt(s *endpoint, now time.Time) (at time.Time, backsOff bool) {
	at = now
	if s.suspended(now) {
		at = s.suspendedUntil
	}
	until := s.ownerBackoffUntil
	if s.owner == b.options.Self && s.backoff != nil {
		until = s.backoff.until
	}
	if s.backsOffOwner(b.options.Self, now) && until.After(at) {
		return until, true
	}
	return at, false
}

// earliestUsable returns the endpoint that may get the request first, and when, if all that
// may serve it want no requests from their owners or are suspended and that one wants none.
// It returns nil otherwise.
func (b *Balancer) earliestUsable(a *Request, now time.Time) (*endpoint, time.Time) {
	p := b.pools[a.Upstream]
	if p == nil {
		return nil, now
	}
	first, at, backsOff := (*endpoint)(nil), time.Time{}, false
	for _, l := range p.endpoints {
		for _, s := range l {
			if !b.mayPass(s, a) {
				continue
			}
			if t, x := b.usableAt(s, now); first == nil || t.Before(at) {
				first, at, backsOff = s, t, x
			}
		}
	}
	if !backsOff {
		return nil, now
	}
	return first, at
}

// retryAtEarliest returns when a client may come back whose request could go to no endpoint,
// if that follows from the endpoint that first wants requests again, else zero. Each client
// is told another time.
func (b *Balancer) retryAtEarliest(a *Request, now time.Time) (*endpoint, time.Time) {
	s, at := b.earliestUsable(a, now)
	if s == nil {
		return nil, time.Time{}
	}
	return s, s.nextRetryAt(at.Sub(now), b.pools[s.Upstream].expectedTime(s, a.Class, true), now)
}

// RetryAt returns when a client may come back whose request no endpoint has taken, if all of
// them want no requests for now, else zero.
func (b *Balancer) RetryAt(a Request, now time.Time) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, t := b.retryAtEarliest(&a, now)
	return t
}
