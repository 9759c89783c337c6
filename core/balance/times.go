package balance

import "time"

const (
	// firstWarm and firstCold are the times that endpoints are taken to need
	// for an object that they served lately, and for another one, before any
	// answer has shown it.
	firstWarm = 100 * time.Millisecond
	firstCold = 300 * time.Millisecond
	// timesWeight is the weight of the newest answer in the usual times.
	timesWeight = 0.03
	// paceWeight is the same for the pace of one endpoint.
	paceWeight = 0.1
	// mostPace and leastPace bound what one endpoint's pace is taken to be.
	mostPace  = 20.0
	leastPace = 0.3
)

// times are the usual times of a class of work at the endpoints of an upstream.
type times struct {
	// warm is that of objects that the endpoint served lately, and cold of
	// others.
	warm time.Duration
	cold time.Duration
	// warms and colds are the numbers of answers that they were learned from.
	warms int
	colds int
}

// of returns the usual time for an object.
func (t *times) of(warm bool) time.Duration {
	switch {
	case warm && t.warm > 0:
		return t.warm
	case warm:
		return firstWarm
	case t.cold > 0:
		return t.cold
	default:
		return firstCold
	}
}

// learn takes in the time d of an answer.
func (t *times) learn(warm bool, d time.Duration) {
	x, n := &t.cold, &t.colds
	if warm {
		x, n = &t.warm, &t.warms
	}
	*n++
	// The first answers count as much as a plain mean has them: after a start,
	// endpoints may know objects that this host does not know them to have.
	*x += time.Duration(max(timesWeight, 1/float64(*n)) * float64(d-*x))
}

// timesOf returns the times of a class of work.
func (p *pool) timesOf(class string) *times {
	t := p.times[class]
	if t == nil {
		t = &times{}
		if p.times == nil {
			p.times = map[string]*times{}
		}
		p.times[class] = t
	}
	return t
}

// expect returns how long the endpoint needs for a request.
func (p *pool) expect(s *seat, class string, warm bool) time.Duration {
	return time.Duration(float64(p.timesOf(class).of(warm)) * s.paceOf())
}

// paceOf returns how slow the endpoint is beside its siblings; 1 is as fast.
func (s *seat) paceOf() float64 {
	if s.pace == 0 {
		return 1
	}
	return s.pace
}

// learnPace takes in an answer that took d where its siblings usually need
// another time.
func (s *seat) learnPace(d, usual time.Duration) {
	x := min(mostPace, max(leastPace, float64(d)/float64(max(time.Millisecond, usual))))
	s.pace = s.paceOf() + paceWeight*(x-s.paceOf())
}

// backlog returns how long a request that comes now waits for a slot: the work
// that is left of what runs and waits, over the slots.
func (p *pool) backlog(s *seat, rank int, now time.Time) time.Duration {
	running := s.running(now)
	ahead := s.ahead(rank)
	if running+ahead < s.Slots {
		return 0
	}
	work := time.Duration(0)
	for f := range s.flights {
		work += max(f.expected/8, f.expected-now.Sub(f.sentAt))
	}
	if n := running - len(s.flights); n > 0 {
		// Requests of other hosts.
		work += time.Duration(n) * s.meanExpected()
	}
	for _, w := range s.queue[:ahead] {
		work += w.expected
	}
	return work / time.Duration(s.Slots)
}

// meanExpected returns the mean expected time of this host's requests.
func (s *seat) meanExpected() time.Duration {
	if len(s.flights) == 0 {
		return firstWarm
	}
	d := time.Duration(0)
	for f := range s.flights {
		d += f.expected
	}
	return d / time.Duration(len(s.flights))
}
