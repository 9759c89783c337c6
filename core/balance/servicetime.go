package balance

import "time"

const (
	// initialCachedTime and initialUncachedTime are the service times assumed
	// before any answer, for an object that the endpoint served recently and for
	// any other.
	initialCachedTime   = 100 * time.Millisecond
	initialUncachedTime = 300 * time.Millisecond
	// serviceTimeWeight is the weight of the newest answer in the mean service
	// times.
	serviceTimeWeight = 0.03
	// slowdownWeight is the weight of the newest answer in the slowdown of an
	// endpoint.
	slowdownWeight = 0.1
	// maxSlowdown and minSlowdown bound the slowdown that one answer shows.
	maxSlowdown = 20.0
	minSlowdown = 0.3
)

// serviceTimes are the mean service times of a class of requests at the endpoints
// of an upstream, as weighted moving averages.
type serviceTimes struct {
	// cached is the time for an object that the endpoint served recently, and
	// uncached for any other.
	cached   time.Duration
	uncached time.Duration
	// cachedCount and uncachedCount are the numbers of answers in the means.
	cachedCount   int
	uncachedCount int
	// own is true once this host has had an answer as the owner of an endpoint. From then
	// on it goes by these.
	own bool
}

// mean returns the mean service time, or the initial one before any answer.
func (t *serviceTimes) mean(cached bool) time.Duration {
	switch {
	case cached && t.cached > 0:
		return t.cached
	case cached:
		return initialCachedTime
	case t.uncached > 0:
		return t.uncached
	default:
		return initialUncachedTime
	}
}

// record takes in the service time d of an answer.
func (t *serviceTimes) record(cached bool, d time.Duration) {
	x, n := &t.uncached, &t.uncachedCount
	if cached {
		x, n = &t.cached, &t.cachedCount
	}
	*n++
	// The first answers enter with the weight of a plain mean. After this host
	// has started, endpoints may have objects cached without its knowledge, so
	// that single answers mislead.
	*x += time.Duration(max(serviceTimeWeight, 1/float64(*n)) * float64(d-*x))
}

// RecordForwarded records the time that an endpoint of another owner took to answer a request of
// a class. It must be called before Done. A host that owns no endpoint of the upstream knows its
// service times from these only.
func (b *Balancer) RecordForwarded(c *Choice, class string, d time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := c.endpoint
	p := b.pools[s.Upstream]
	if p == nil || d <= 0 || p.owns {
		return
	}
	if t := p.serviceTimesOf(class); !t.own {
		t.record(s.likelyCached(c.key, now), time.Duration(float64(d)/s.slowdownFactor()))
	}
}

// serviceTimesOf returns the service times of a class of requests.
func (p *pool) serviceTimesOf(class string) *serviceTimes {
	t := p.serviceTimes[class]
	if t == nil {
		t = &serviceTimes{}
		if p.serviceTimes == nil {
			p.serviceTimes = map[string]*serviceTimes{}
		}
		p.serviceTimes[class] = t
	}
	return t
}

// expectedTime returns the expected service time of a request at the endpoint.
func (p *pool) expectedTime(s *endpoint, class string, cached bool) time.Duration {
	return time.Duration(float64(p.serviceTimesOf(class).mean(cached)) * s.slowdownFactor())
}

// slowdownFactor returns the endpoint's slowdown, or 1 if it is not known.
func (s *endpoint) slowdownFactor() float64 {
	if s.slowdown == 0 {
		return 1
	}
	return s.slowdown
}

// updateSlowdown takes in the service time d of an answer, where the mean over
// the upstream's endpoints is the expected one.
func (s *endpoint) updateSlowdown(d, expected time.Duration) {
	x := min(maxSlowdown, max(minSlowdown, float64(d)/float64(max(time.Millisecond, expected))))
	s.slowdown = s.slowdownFactor() + slowdownWeight*(x-s.slowdownFactor())
}

// backlog returns how long a new request of the rank would wait until it is sent.
func (p *pool) backlog(s *endpoint, rank int, now time.Time) time.Duration {
	return p.backlogBehind(s, s.queuedAhead(rank), now)
}

// backlogBehind returns how long a request would wait until it is sent when a number
// of queued ones goes before it: the remaining service time of all running requests
// and of these, divided by the number of slots, or until the endpoint's limit allows
// it, if that is longer.
func (p *pool) backlogBehind(s *endpoint, queuedAhead int, now time.Time) time.Duration {
	return max(p.slotWait(s, queuedAhead, now), s.limitWait(queuedAhead, now))
}

// slotWait returns how long a request would wait for a slot when a number of queued
// ones goes before it.
func (p *pool) slotWait(s *endpoint, queuedAhead int, now time.Time) time.Duration {
	running := s.running(now)
	if running+queuedAhead < s.openSlots() {
		return 0
	}
	work := time.Duration(0)
	for f := range s.inFlight {
		work += max(f.expected/8, f.expected-now.Sub(f.sentAt))
	}
	if n := running - len(s.inFlight); n > 0 {
		// Requests of other hosts.
		work += time.Duration(n) * s.meanExpected()
	}
	for _, w := range s.queue[:queuedAhead] {
		work += w.expected
	}
	return work / time.Duration(s.openSlots())
}

// meanExpected returns the mean expected service time of this host's running
// requests.
func (s *endpoint) meanExpected() time.Duration {
	if len(s.inFlight) == 0 {
		return initialCachedTime
	}
	d := time.Duration(0)
	for f := range s.inFlight {
		d += f.expected
	}
	return d / time.Duration(len(s.inFlight))
}
