package balance

import (
	"math"
	"time"

	"heatherford/core/registry"
)

const (
	// rateWeight is the weight of the newest result in the rates of failures and
	// rejections.
	rateWeight = 0.15
	// maxReportAge is how long the load that an endpoint reported is used.
	maxReportAge = 500 * time.Millisecond
	// maxStateAge is how long the state that an owner reported is used.
	maxStateAge = 500 * time.Millisecond
	// cacheAge is how long an endpoint is assumed to have an object cached after
	// it served it.
	cacheAge = 10 * time.Second
	// maxCachedKeys bounds the number of objects remembered for an endpoint.
	maxCachedKeys = 512
	// minSuspension and maxSuspension bound how long an endpoint is suspended
	// after consecutive failures.
	minSuspension = 200 * time.Millisecond
	maxSuspension = 2 * time.Second
	// suspendAfter is the number of consecutive failures after which an endpoint
	// is suspended.
	suspendAfter = 3
	// rejectionPause is how long a full endpoint gets nothing after it rejected a
	// request.
	rejectionPause = 40 * time.Millisecond
	// strictAfter is how long a queue may make requests late before it becomes
	// strict. Bursts and requests for new objects pass within this time.
	strictAfter = time.Second
	// shrinkFactor is the part of the longest wait below which a queue counts as
	// shrinking.
	shrinkFactor = 0.6
	// relaxAfter is the number of consecutive requests that must find a free slot
	// before a queue is no longer strict. Under overload that is rare.
	relaxAfter = 6
	// lastRank is less urgent than all ranks.
	lastRank = 1 << 30
	// missFactor is the multiple of the expected service time of a cached object
	// above which an answer counts as a cache miss.
	missFactor = 2.2
	// missWeight is the weight of the newest answer in the miss rate.
	missWeight = 0.05
	// silenceFactor is the multiple of its expected service time after which a
	// request without an answer makes the endpoint count as silent, and
	// minSilence the shortest such time.
	silenceFactor = 4
	minSilence    = 600 * time.Millisecond
)

// endpoint is what a host knows of an endpoint. Some fields are used by the owner
// only, others by the hosts that forward requests to it. Balancer.mu guards it.
type endpoint struct {
	registry.Endpoint
	region string
	level  Level
	// owner is the host that sends to the endpoint, and ownerRegion its region.
	owner       string
	ownerRegion string
	// unowned is true if every host sends its own requests to the endpoint.
	unowned bool
	// connections is the most connections that the endpoint accepts from all
	// hosts together.
	connections int
	// coldRate bounds the requests per second for which this host may choose the
	// endpoint while it is cold, and coldOwn those that it may send as the owner.
	coldRate bucket
	coldOwn  bucket
	// limit is what is known of the endpoint's limit, or nil, and limitShare the share
	// of it that this host may send as the owner.
	limit      *endpointLimit
	limitShare float64
	// backoff is what is known of the time for which the endpoint wants no requests from
	// this host, or nil.
	backoff *backoff

	// outstanding is the number of this host's requests that have chosen the
	// endpoint and have not ended, whether forwarded or sent by this host.
	outstanding int
	// ownerState is what the owner reported last, ownerStateAt is when it did,
	// and outstandingThen the value of outstanding when the report was taken in.
	ownerState      State
	ownerStateAt    time.Time
	outstandingThen int
	// ownerBackoffUntil is until when the endpoint wants no requests from its owner, by the
	// owner's word, or zero.
	ownerBackoffUntil time.Time

	// refusedUntil is until when requests of the rank refusedRank and of less
	// urgent ones count as refused, after the owner refused one.
	refusedUntil time.Time
	refusedRank  int

	// inFlight holds the requests that this host has sent to the endpoint and
	// that have not ended.
	inFlight map[*Permit]bool
	// queue holds the requests that wait for a slot, the most urgent rank first.
	queue []*waiter
	// lastRetryAt is when the client that was refused last may come back.
	lastRetryAt time.Time
	// overtakes is the number of requests in a row that went before waiting ones
	// of a less urgent rank.
	overtakes int
	// otherRequests is the number of other hosts' requests at the endpoint, by
	// the load that it reported at reportedAt.
	otherRequests int
	reportedAt    time.Time

	// slowdown is the service time relative to that of the upstream's endpoints,
	// above 1 if slower, or 0 if not known.
	slowdown float64
	// lateSince is since when new requests would miss their objectives while the
	// queue does not shrink, or zero. longestWait is the longest wait since then.
	lateSince   time.Time
	longestWait time.Duration
	// strict is true if the queue admits only what will meet its objective.
	// Without such refusals all answers would be late.
	strict bool
	// freeSlotRun is the number of consecutive requests that found a free slot.
	freeSlotRun int
	// failureRate and rejectionRate are weighted moving averages between 0 and 1.
	failureRate   float64
	rejectionRate float64
	// consecutiveFailures is the number of failures since the last answer.
	consecutiveFailures int
	// suspendedUntil is when the endpoint may get requests again.
	suspendedUntil time.Time
	// discardedAt is when failures were discarded that showed only that this host was
	// isolated, or zero. Requests that were sent before count neither.
	discardedAt time.Time
	// fullUntil is when a slot may be free again, after the endpoint rejected a
	// request because it was full.
	fullUntil time.Time
	// lastAnswer is when the endpoint last answered a request.
	lastAnswer time.Time
	// servedAt holds by key when each object was last served.
	servedAt map[uint64]time.Time
	// missRate is the weighted moving average of cache misses: requests for an
	// object that was served here recently and that took as long as for a new
	// one, since the endpoint caches too few objects.
	missRate float64
	// meanLoad is the weighted moving average of the load.
	meanLoad float64
}

func newEndpoint(e registry.Endpoint) *endpoint {
	return &endpoint{
		Endpoint: e,
		inFlight: map[*Permit]bool{},
		servedAt: map[uint64]time.Time{},
	}
}

func (s *endpoint) target() Target {
	return Target{
		ID:          s.ID,
		Upstream:    s.Upstream,
		Software:    s.Software,
		Zone:        s.Zone,
		Address:     s.Address.String(),
		Connections: s.connections,
		Owner:       s.owner,
		StartedAt:   s.StartedAt,
	}
}

// load returns the number of requests believed to be at the endpoint and in its
// queue, and the age of that number. The age is negative if only this host's own
// requests are known.
func (s *endpoint) load(self string, now time.Time) (n int, age time.Duration) {
	if s.owner == self {
		return s.running(now) + len(s.queue), 0
	}
	n = s.outstanding
	if age = now.Sub(s.ownerStateAt); s.ownerStateAt.IsZero() || age > maxStateAge {
		return n, -1
	}
	return max(n, s.ownerState.Load+s.outstanding-s.outstandingThen), age
}

// running returns the number of requests believed to be at the endpoint: those of
// this host, and those of other hosts if the endpoint has reported its load
// recently.
func (s *endpoint) running(now time.Time) int {
	if !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < maxReportAge {
		return len(s.inFlight) + s.otherRequests
	}
	return len(s.inFlight)
}

// silent reports whether a request has been at the endpoint for too long without
// any answer from it.
func (s *endpoint) silent(now time.Time) bool {
	for f := range s.inFlight {
		if f.sentAt.Before(s.discardedAt) {
			continue
		}
		if now.Sub(f.sentAt) > max(minSilence, silenceFactor*f.expected) && s.lastAnswer.Before(f.sentAt) {
			return true
		}
	}
	return false
}

// suspended reports whether the endpoint gets no requests for now.
func (s *endpoint) suspended(now time.Time) bool {
	return now.Before(s.suspendedUntil)
}

// probing reports whether the endpoint has yet to answer a request after a
// suspension. It gets one request at a time, on a new connection.
func (s *endpoint) probing() bool {
	return s.consecutiveFailures >= suspendAfter
}

func (s *endpoint) cold(now time.Time) bool {
	return now.Before(s.ColdUntil)
}

// state returns what the owner reports of the endpoint.
func (p *pool) state(s *endpoint, now time.Time) State {
	return State{
		Load:         s.running(now) + len(s.queue),
		Backlog:      p.backlog(s, lastRank, now).Round(time.Millisecond),
		Slowdown:     hundredths(s.slowdownFactor()),
		Strict:       s.strict,
		FailureRate:  hundredths(s.failureRate),
		MissRate:     hundredths(s.missRate),
		SuspendedFor: max(0, s.suspendedUntil.Sub(now)).Round(time.Millisecond),
		BackoffFor:   s.backoffFor(now),
	}
}

func hundredths(x float64) float64 {
	const n = 100
	return math.Round(n*x) / n
}

// recordFailure counts a failure. From suspendAfter consecutive ones on it
// suspends the endpoint, each time for twice as long.
func (s *endpoint) recordFailure(now time.Time) {
	s.consecutiveFailures++
	s.failureRate += rateWeight * (1 - s.failureRate)
	if s.consecutiveFailures >= suspendAfter {
		d := minSuspension << min(s.consecutiveFailures-suspendAfter, 8)
		s.suspendedUntil = now.Add(min(d, maxSuspension))
	}
}

func (s *endpoint) recordAnswer(now time.Time) {
	s.consecutiveFailures = 0
	s.suspendedUntil = time.Time{}
	s.lastAnswer = now
}

// updateMissRate takes in the time that an answer took. If it is much longer than
// expected for a cached object, the endpoint no longer had an object cached that
// it served before.
func (s *endpoint) updateMissRate(d, expected time.Duration) {
	x := 0.0
	if float64(d) > missFactor*float64(expected)*s.slowdownFactor() {
		x = 1
	}
	s.missRate += missWeight * (x - s.missRate)
}

func (s *endpoint) recordServed(key uint64, now time.Time) {
	if len(s.servedAt) >= maxCachedKeys {
		for k, t := range s.servedAt {
			if now.Sub(t) > cacheAge {
				delete(s.servedAt, k)
			}
		}
		if len(s.servedAt) >= maxCachedKeys {
			clear(s.servedAt)
		}
	}
	s.servedAt[key] = now
}

func (s *endpoint) likelyCached(key uint64, now time.Time) bool {
	t, ok := s.servedAt[key]
	return ok && now.Sub(t) < cacheAge
}
