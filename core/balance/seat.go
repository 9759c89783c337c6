package balance

import (
	"time"

	"heatherford/core/registry"
)

const (
	// firstService is the time that an endpoint is taken to need for a request
	// before it or its siblings have answered one.
	firstService = 250 * time.Millisecond
	// serviceWeight is the weight of the newest answer in the usual time.
	serviceWeight = 0.15
	// rateWeight is the same for the rates of failures and rejections.
	rateWeight = 0.15
	// reportAge is how long an endpoint's own word on its load is used.
	reportAge = time.Second
	// peerAge is how long another host's word on its requests is used.
	peerAge = time.Second
	// warmAge is how long an endpoint is taken to serve an object faster after
	// it served it.
	warmAge = 15 * time.Second
	// maxWarm bounds the objects that are remembered for an endpoint.
	maxWarm = 512
	// restFirst and restMost bound how long an endpoint gets nothing after
	// failures in a row.
	restFirst = 200 * time.Millisecond
	restMost  = 2 * time.Second
	// restFailures is the number of failures in a row that make it rest.
	restFailures = 2
	// rejectPause is how long an endpoint that rejected a request gets nothing
	// beyond what it reported.
	rejectPause = 60 * time.Millisecond
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

// seat is what a host knows of an endpoint.
type seat struct {
	registry.Endpoint
	region string
	level  Level
	// connections is the most connections that the endpoint accepts from all
	// hosts.
	connections int
	// coldRate is the number of requests a second that this host may send while
	// the endpoint is cold.
	coldRate float64
	// tokens and tokensAt are the allowance for a cold endpoint.
	tokens   float64
	tokensAt time.Time

	// flights are this host's requests at the endpoint.
	flights map[*flight]bool
	// peers are other hosts' requests at it.
	peers map[string]peerLoad
	// reported is the endpoint's own word on its running and waiting requests.
	reported int
	// reportedAt is when that came, and reportedFlights what this host had at
	// the endpoint then.
	reportedAt      time.Time
	reportedFlights int

	// busy is the decayed mean of the load.
	busy float64
	// service is the usual time in a slot, 0 if not known.
	service time.Duration
	// failing and rejecting are rates between 0 and 1.
	failing   float64
	rejecting float64
	// failures is the number of failures in a row.
	failures int
	// restUntil is when the endpoint may get work again.
	restUntil time.Time
	// fullUntil is when the endpoint may get work again after a rejection.
	fullUntil time.Time
	// heard is when it answered last.
	heard time.Time
	// warm holds when each object was served last.
	warm map[uint64]time.Time
	// missing is the rate at which objects that were served here lately took
	// as long as new ones, since the endpoint keeps too few.
	missing float64
}

type flight struct {
	sentAt time.Time
}

type peerLoad struct {
	count int
	at    time.Time
}

func newSeat(e registry.Endpoint) *seat {
	return &seat{
		Endpoint: e,
		flights:  map[*flight]bool{},
		peers:    map[string]peerLoad{},
		warm:     map[uint64]time.Time{},
	}
}

// load returns the number of requests that are thought to be at the endpoint.
func (s *seat) load(now time.Time) int {
	n := len(s.flights)
	for _, p := range s.peers {
		if now.Sub(p.at) < peerAge {
			n += p.count
		}
	}
	if !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < reportAge {
		n = max(n, s.reported+len(s.flights)-s.reportedFlights)
	}
	return max(0, n)
}

// loadAge returns the age of the endpoint's own word.
func (s *seat) loadAge(now time.Time) time.Duration {
	if s.reportedAt.IsZero() {
		return -1
	}
	return now.Sub(s.reportedAt)
}

// suspect reports whether the endpoint has had requests for long without any
// answer.
func (s *seat) suspect(now time.Time) bool {
	limit := max(silentLeast, silentFactor*s.service)
	for f := range s.flights {
		if now.Sub(f.sentAt) > limit && s.heard.Before(f.sentAt) {
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

// takeCold takes one request of a cold endpoint's allowance.
func (s *seat) takeCold(now time.Time) bool {
	s.refill(now)
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

func (s *seat) refill(now time.Time) {
	switch {
	case s.coldRate <= 0:
		s.tokens = 0
	case s.tokensAt.IsZero():
		s.tokens = 1
	default:
		s.tokens = min(1, s.tokens+s.coldRate*now.Sub(s.tokensAt).Seconds())
	}
	s.tokensAt = now
}

func (s *seat) mayCold(now time.Time) bool {
	s.refill(now)
	return s.tokens >= 1
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

func (s *seat) learn(d time.Duration, queued int) {
	if queued > 0 {
		// What was measured holds the wait for a slot.
		d = time.Duration(float64(d) * float64(s.Slots) / float64(s.Slots+queued))
	}
	if s.service == 0 {
		s.service = d
		return
	}
	s.service += time.Duration(serviceWeight * float64(d-s.service))
}

// judgeKey learns from the time that an answer took, beside the shortest usual
// one, whether the endpoint still had an object that it served before.
func (s *seat) judgeKey(key uint64, d, fast time.Duration, now time.Time) {
	if !s.isWarm(key, now) {
		return
	}
	x := 0.0
	if float64(d) > missFactor*float64(fast) {
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
