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
	// reportAge is how long an endpoint's own word on its load is used.
	reportAge = 500 * time.Millisecond
	// hintAge is how long an owner's word on an endpoint is used.
	hintAge = 500 * time.Millisecond
	// warmAge is how long an endpoint is taken to serve an object faster after
	// it served it.
	warmAge = 10 * time.Second
	// maxWarm bounds the objects that are remembered for an endpoint.
	maxWarm = 512
	// restFirst and restMost bound how long an endpoint gets nothing after
	// failures in a row.
	restFirst = 200 * time.Millisecond
	restMost  = 2 * time.Second
	// restFailures is the number of failures in a row that make it rest.
	restFailures = 3
	// rejectPause is how long an endpoint that rejected a request gets nothing.
	rejectPause = 40 * time.Millisecond
	// strictAfter is how long a queue may be longer than objectives allow: new
	// objects and short floods pass in this time.
	strictAfter = time.Second
	// shrinking is the part of its longest wait below which a queue shrinks.
	shrinking = 0.6
	// relaxRun is the number of requests in a row that find a free slot, after
	// which a strict queue may be longer again. In a flood hardly one does.
	relaxRun = 6
	// lastRank is behind all ranks.
	lastRank = 1 << 30
	// missFactor is how many times the shortest usual time an answer takes whose
	// object the endpoint did not have ready.
	missFactor = 2.2
	// missWeight is the weight of the newest answer in the rate of those.
	missWeight = 0.05
	// silentFactor is how many usual times without any answer make an endpoint
	// that has requests suspect, and silentLeast the least such time.
	silentFactor = 4
	silentLeast  = 600 * time.Millisecond
)

// seat is what a host knows of an endpoint. Some fields are used by the owner
// only, others by the hosts that pass requests on to it.
type seat struct {
	registry.Endpoint
	region string
	level  Level
	// owner is the host that sends to the endpoint.
	owner string
	// unowned is true if all hosts send to the endpoint, each for itself.
	unowned bool
	// connections is the most connections that the endpoint accepts from all
	// hosts.
	connections int
	// coldRate is the number of requests a second that this host may pass on
	// while the endpoint is cold, and coldOwn what an owner may send.
	coldRate bucket
	coldOwn  bucket

	// passing is the number of requests that this host has chosen the endpoint
	// for and that have not ended.
	passing int
	// hint is what the owner told, at a time at which this host was passing so
	// many.
	hint        State
	hintAt      time.Time
	hintPassing int

	// busyUntil is when the owner expects room for requests of a rank from
	// busyRank on, after it refused one.
	busyUntil time.Time
	busyRank  int

	// flights are the requests that this host has sent to the endpoint.
	flights map[*Permit]bool
	// queue holds the requests that wait for a slot, in order.
	queue []*waiter
	// promised is when the client who was refused last should come back.
	promised time.Time
	// overtaken is the number of urgent requests in a row that went before
	// another rank.
	overtaken int
	// others is the number of other hosts' requests at the endpoint, as its own
	// word on its load showed at the time reportedAt.
	others     int
	reportedAt time.Time

	// pace is how slow the endpoint is beside its siblings, 0 if not known.
	pace float64
	// overSince is since when the queue is longer than objectives allow and does
	// not shrink, or zero, and overMost the longest wait since then.
	overSince time.Time
	overMost  time.Duration
	// strict is true if that has lasted. Then every answer would be late but for
	// refusals.
	strict bool
	// freeRun is the number of requests in a row that found a free slot.
	freeRun int
	// failing and rejecting are rates between 0 and 1.
	failing   float64
	rejecting float64
	// failures is the number of failures in a row.
	failures int
	// restUntil is when the endpoint may get work again.
	restUntil time.Time
	// fullUntil is when a slot may be free again after a rejection by an
	// endpoint that said that it is full.
	fullUntil time.Time
	// heard is when it answered last.
	heard time.Time
	// warm holds when each object was served last.
	warm map[uint64]time.Time
	// missing is the rate at which objects that were served here lately took
	// as long as new ones, since the endpoint keeps too few.
	missing float64
	// busy is the decayed mean of the load.
	busy float64
}

func newSeat(e registry.Endpoint) *seat {
	return &seat{
		Endpoint: e,
		flights:  map[*Permit]bool{},
		warm:     map[uint64]time.Time{},
	}
}

func (s *seat) target() Target {
	return Target{
		ID:          s.ID,
		Upstream:    s.Upstream,
		Zone:        s.Zone,
		Address:     s.Address.String(),
		Connections: s.connections,
		Owner:       s.owner,
	}
}

// load returns the number of requests that are thought to be at the endpoint and
// before it, and the age of that figure, negative if it is but this host's own.
func (s *seat) load(self string, now time.Time) (n int, age time.Duration) {
	if s.owner == self {
		return s.running(now) + len(s.queue), 0
	}
	n = s.passing
	if age = now.Sub(s.hintAt); s.hintAt.IsZero() || age > hintAge {
		return n, -1
	}
	return max(n, s.hint.Load+s.passing-s.hintPassing), age
}

// running returns the number of requests that are thought to be at the endpoint:
// those of this host, or what the endpoint itself reported if that is more.
func (s *seat) running(now time.Time) int {
	if !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < reportAge {
		return len(s.flights) + s.others
	}
	return len(s.flights)
}

// suspect reports whether the endpoint has had requests for long without any
// answer.
func (s *seat) suspect(now time.Time) bool {
	for f := range s.flights {
		if now.Sub(f.sentAt) > max(silentLeast, silentFactor*f.expected) && s.heard.Before(f.sentAt) {
			return true
		}
	}
	return false
}

// resting reports whether the endpoint gets nothing for now.
func (s *seat) resting(now time.Time) bool {
	return now.Before(s.restUntil)
}

// trying reports whether the endpoint has to show first that it is back. It gets
// one request at a time, on a new connection.
func (s *seat) trying() bool {
	return s.failures >= restFailures
}

func (s *seat) cold(now time.Time) bool {
	return now.Before(s.ColdUntil)
}

// state returns what an owner tells of the endpoint.
func (p *pool) state(s *seat, now time.Time) State {
	return State{
		Load:    s.running(now) + len(s.queue),
		Backlog: p.backlog(s, lastRank, now).Round(time.Millisecond),
		Pace:    hundredths(s.paceOf()),
		Strict:  s.strict,
		Failing: hundredths(s.failing),
		Missing: hundredths(s.missing),
		Rest:    max(0, s.restUntil.Sub(now)).Round(time.Millisecond),
	}
}

func hundredths(x float64) float64 {
	const n = 100
	return math.Round(n*x) / n
}

// fail counts a failure after which the endpoint rests.
func (s *seat) fail(now time.Time) {
	s.failures++
	s.failing += rateWeight * (1 - s.failing)
	if s.failures >= restFailures {
		d := restFirst << min(s.failures-restFailures, 8)
		s.restUntil = now.Add(min(d, restMost))
	}
}

func (s *seat) answered(now time.Time) {
	s.failures = 0
	s.restUntil = time.Time{}
	s.heard = now
}

// judgeKey learns from the time that an answer took, beside the usual one,
// whether the endpoint still had an object that it served before.
func (s *seat) judgeKey(d, usual time.Duration) {
	x := 0.0
	if float64(d) > missFactor*float64(usual)*s.paceOf() {
		x = 1
	}
	s.missing += missWeight * (x - s.missing)
}

func (s *seat) remember(key uint64, now time.Time) {
	if len(s.warm) >= maxWarm {
		for k, t := range s.warm {
			if now.Sub(t) > warmAge {
				delete(s.warm, k)
			}
		}
		if len(s.warm) >= maxWarm {
			clear(s.warm)
		}
	}
	s.warm[key] = now
}

func (s *seat) isWarm(key uint64, now time.Time) bool {
	t, ok := s.warm[key]
	return ok && now.Sub(t) < warmAge
}
