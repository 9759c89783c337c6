package balance

import (
	"math"
	"strconv"
	"time"

	"heatherford/core/registry"
)

const (
	// minLimitRate is the least number of requests per second that an endpoint with
	// a limit gets. Only an answer shows that a limit has ended.
	minLimitRate = 0.25
	// limitBurst is the time for which the requests that a limit allows may be sent
	// at once, beside a single one: two intervals of AdmitWaiting.
	limitBurst = 100 * time.Millisecond
	// limitMargin is how much newer another host's word of a limit has to be than
	// what is known, since ages are not exact.
	limitMargin = 250 * time.Millisecond
	// endedLimitMemory is how long the end of a limit is remembered and passed on.
	endedLimitMemory = 10 * time.Second
	// unlistedLimitMemory is how long the limit of an endpoint that is not listed is
	// remembered. An endpoint may be listed again, such as after a drain.
	unlistedLimitMemory = time.Minute
	// maxLimitWait is the longest wait for a limit that is told.
	maxLimitWait = time.Minute
)

// StatedLimit is the number of requests that an endpoint takes from all hosts together, by
// its own word.
type StatedLimit struct {
	// Stated is true if the endpoint states a limit.
	Stated bool `json:"stated,omitempty"`
	// Rate is in requests per second. It is 0 or more, and 0 if no limit is stated.
	Rate float64 `json:"rate,omitempty"`
}

// String returns the rate, "none" if no limit is stated, or an empty string for nil.
func (l *StatedLimit) String() string {
	switch {
	case l == nil:
		return ""
	case !l.Stated:
		return "none"
	default:
		return strconv.FormatFloat(l.Rate, 'g', -1, 64)
	}
}

// permits returns the rate, or infinity if no limit is stated.
func (l *StatedLimit) permits() float64 {
	if !l.Stated {
		return math.Inf(1)
	}
	return l.Rate
}

// LimitReport is what a host tells others of an endpoint's limit.
type LimitReport struct {
	StatedLimit
	// StartedAt identifies the incarnation of the endpoint that stated the limit.
	StartedAt time.Time `json:"born"`
	// Age is how long ago an answer of the endpoint said so.
	Age time.Duration `json:"age"`
}

// endpointLimit is what a host knows of the limit of an incarnation of an endpoint.
type endpointLimit struct {
	StatedLimit
	startedAt time.Time
	// since is when an answer first stated the limit, and at when one last did, to
	// this host or to another.
	since time.Time
	at    time.Time
	// bucket holds what this host may send as the owner.
	bucket bucket
}

// set takes in the limit that was stated at a time.
func (x *endpointLimit) set(l StatedLimit, at time.Time) {
	if l != x.StatedLimit || x.since.IsZero() {
		x.StatedLimit = l
		x.since = at
	}
	x.at = at
}

// setShare sets the part of the limit that this host may send as the owner.
func (x *endpointLimit) setShare(share float64) {
	x.bucket.rate = max(x.Rate, minLimitRate) * share
	x.bucket.capacity = 1 + limitBurst.Seconds()*x.bucket.rate
}

// limited reports whether the endpoint states a limit.
func (s *endpoint) limited() bool {
	return s.limit != nil && s.limit.Stated
}

// limitAllows reports whether the endpoint's limit allows a request now.
func (s *endpoint) limitAllows(now time.Time) bool {
	return !s.limited() || s.limit.bucket.allows(now)
}

// limitWait returns how long a request waits for the endpoint's limit when n others go
// before it.
func (s *endpoint) limitWait(n int, now time.Time) time.Duration {
	if !s.limited() {
		return 0
	}
	return min(maxLimitWait, s.limit.bucket.wait(n+1, now))
}

// limitInterval returns the mean time between two requests that the endpoint's limit
// allows over all hosts, or 0 without a limit.
func (s *endpoint) limitInterval() time.Duration {
	if !s.limited() {
		return 0
	}
	return time.Duration(float64(time.Second) / max(s.limit.Rate, minLimitRate))
}

// usableSlots returns the number of slots that the endpoint's limit lets it use.
func (p *pool) usableSlots(s *endpoint) int {
	if !s.limited() {
		return s.Slots
	}
	service := time.Duration(0)
	for class := range p.serviceTimes {
		service = max(service, p.expectedTime(s, class, true))
	}
	if service == 0 {
		service = initialCachedTime
	}
	// The quotient may be infinite, which is no int.
	return int(min(float64(s.Slots), math.Ceil(float64(service)/float64(s.limitInterval()))))
}

// limitOf returns what is known of the limit of a listed endpoint, or nil.
func (b *Balancer) limitOf(e *registry.Endpoint) *endpointLimit {
	x := b.limits[e.ID]
	if x == nil || !x.startedAt.Equal(e.StartedAt) {
		return nil
	}
	return x
}

// observeLimit takes in what the answer to a request says of the endpoint's limit.
// Answers may arrive in another order than they were made, so that a higher limit
// counts only if the request was sent after the known one was first stated.
func (b *Balancer) observeLimit(s *endpoint, l StatedLimit, sentAt, now time.Time) {
	x := b.limits[s.ID]
	switch {
	case x != nil && x.startedAt.After(s.StartedAt):
		// The answer is by an incarnation that has ended.
		return
	case x != nil && x.startedAt.Before(s.StartedAt):
		x = nil
	}
	switch {
	case x == nil && !l.Stated:
		return
	case x == nil:
		x = &endpointLimit{
			startedAt: s.StartedAt,
		}
		b.limits[s.ID] = x
	case l.permits() > x.permits() && sentAt.Before(x.since):
		return
	}
	x.set(l, now)
	b.applyLimit(s.ID, now)
}

// RecordStatedLimits records what another host reported of endpoints' limits at the given
// time. A report that is older than what is known is ignored.
func (b *Balancer) RecordStatedLimits(m map[string]LimitReport, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, r := range m {
		observed := at.Add(-r.Age)
		x := b.limits[id]
		switch {
		case x == nil && !r.Stated:
			continue
		case x == nil || r.StartedAt.After(x.startedAt):
			x = &endpointLimit{
				startedAt: r.StartedAt,
			}
			b.limits[id] = x
		case r.StartedAt.Before(x.startedAt) || observed.Before(x.at.Add(limitMargin)):
			continue
		}
		x.set(r.StatedLimit, observed)
		b.applyLimit(id, at)
	}
}

// applyLimit gives an endpoint, if it is listed, what is now known of its limit, and
// refuses those queued for it that no longer have time to wait.
func (b *Balancer) applyLimit(id string, now time.Time) {
	if s := b.endpoints[id]; s != nil {
		b.setLimit(s)
		b.refuseHopeless(s, now)
	}
}

// setLimit gives an endpoint what is known of its limit.
func (b *Balancer) setLimit(s *endpoint) {
	s.limit = b.limitOf(&s.Endpoint)
	if s.limit == nil {
		return
	}
	if s.unowned && s.limit.bucket.at.IsZero() {
		// All hosts send to the endpoint, so that none begins with a token.
		s.limit.bucket.at = s.limit.at
	}
	s.limit.setShare(s.limitShare)
}

// StatedLimits returns what is known of endpoints' limits, to be sent to other hosts. It
// holds limits that have ended for a while, and none that never were.
func (b *Balancer) StatedLimits(now time.Time) map[string]LimitReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := map[string]LimitReport{}
	for id, x := range b.limits {
		if b.forgetsLimit(id, x, now) {
			delete(b.limits, id)
			b.applyLimit(id, now)
			continue
		}
		m[id] = LimitReport{
			StatedLimit: x.StatedLimit,
			StartedAt:   x.startedAt,
			Age:         max(0, now.Sub(x.at)),
		}
	}
	return m
}

// forgetsLimit reports whether what is known of a limit is of no use any more.
func (b *Balancer) forgetsLimit(id string, x *endpointLimit, now time.Time) bool {
	age := now.Sub(x.at)
	if !x.Stated {
		return age > endedLimitMemory
	}
	s := b.endpoints[id]
	return (s == nil || s.limit != x) && age > unlistedLimitMemory
}

// refuseHopeless refuses queued requests that the endpoint's limit lets be sent only
// when their answers would be too late, the least urgent ones first.
func (b *Balancer) refuseHopeless(s *endpoint, now time.Time) {
	p := b.pools[s.Upstream]
	for s.limited() && len(s.queue) > 0 {
		w := s.queue[len(s.queue)-1]
		wait := p.backlogBehind(s, len(s.queue)-1, now)
		if !now.Add(wait + w.expected).After(w.request.Deadline.Add(-deadlineMargin)) {
			return
		}
		s.queue = s.queue[:len(s.queue)-1]
		w.decided <- decision{
			refusal: b.rankFull(s, &w.request, wait, now),
		}
	}
}
