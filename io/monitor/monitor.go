package monitor

import (
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"goji.io"
	"goji.io/pat"
	"gopkg.in/tomb.v2"

	"heatherford/core/code"
	"heatherford/core/edge"
	"heatherford/core/fleet"
	"heatherford/core/registry"
	"heatherford/core/safely"
	"heatherford/io/internal/listen"
	"heatherford/io/internal/meter"
)

const (
	// path is where the metrics are served.
	path = "/metrics"
	// sampleInterval is how often gauges are set.
	sampleInterval = time.Second
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 5 * time.Second
	// mostRank is the last rank that has a label of its own.
	mostRank = 9
)

// partNames are the labels of the parts of a host's knowledge.
var partNames = [registry.NumParts]string{
	registry.OperatorRecords: "orders",
	registry.Endpoints:       "endpoints",
}

// Monitor counts. It is safe for concurrent use, and its functions do not block.
type Monitor struct {
	meter  *meter.Meter
	delay  tally.Histogram
	delays delays

	mu       sync.Mutex
	requests map[labels]tally.Counter
	ranks    map[int]*rank
	calls    map[string]tally.Counter
	left     map[string]uint64
}

type labels struct {
	rank int
	code code.Code
	late bool
}

// rank holds the histograms of a rank.
type rank struct {
	answer   tally.Histogram
	endpoint tally.Histogram
	queue    tally.Histogram
	attempts tally.Counter
	hedges   tally.Counter
	repeats  tally.Counter
}

// New returns a monitor that has counted nothing.
func New() (*Monitor, error) {
	m, err := meter.New()
	if err != nil {
		return nil, err
	}
	return &Monitor{
		meter:    m,
		delay:    m.Scope.Histogram("step_delay_seconds", meter.LatencyBuckets),
		requests: map[labels]tally.Counter{},
		ranks:    map[int]*rank{},
		calls:    map[string]tally.Counter{},
		left:     map[string]uint64{},
	}, nil
}

// Observe counts the end of a request.
func (m *Monitor) Observe(o *edge.Observation) {
	l := labels{
		rank: -1,
		code: o.Answer.Code,
	}
	if o.Route != nil {
		l.rank = min(mostRank, max(0, o.Route.Rank))
		l.late = o.Answer.Code == code.Answered && o.Ended.After(o.Request.Arrived.Add(o.Route.Objective))
	}
	m.mu.Lock()
	c := m.requests[l]
	if c == nil {
		c = m.meter.Scope.Tagged(map[string]string{
			"rank":    strconv.Itoa(l.rank),
			"code":    strconv.Itoa(int(l.code)),
			"outcome": string(l.code.Outcome()),
			"late":    strconv.FormatBool(l.late),
		}).Counter("requests")
		m.requests[l] = c
	}
	r := m.rank(l.rank)
	m.mu.Unlock()
	c.Inc(1)
	r.attempts.Inc(int64(o.Attempts))
	r.hedges.Inc(int64(o.Hedges))
	r.repeats.Inc(int64(o.Retries))
	r.answer.RecordDuration(o.Ended.Sub(o.Request.Arrived))
	if o.Answer.Endpoint != "" {
		r.endpoint.RecordDuration(o.EndpointTime)
		r.queue.RecordDuration(o.QueueTime)
	}
}

// rank returns the histograms of a rank. The caller holds mu.
func (m *Monitor) rank(n int) *rank {
	r := m.ranks[n]
	if r == nil {
		s := m.meter.Scope.Tagged(map[string]string{
			"rank": strconv.Itoa(n),
		})
		r = &rank{
			answer:   s.Histogram("answer_seconds", meter.LatencyBuckets),
			endpoint: s.Histogram("endpoint_seconds", meter.LatencyBuckets),
			queue:    s.Histogram("queue_seconds", meter.LatencyBuckets),
			attempts: s.Counter("attempts"),
			hedges:   s.Counter("hedges"),
			repeats:  s.Counter("repeats"),
		}
		m.ranks[n] = r
	}
	return r
}

// ObserveDelay counts by how much a step of the host's control goroutine came too late.
func (m *Monitor) ObserveDelay(d time.Duration) {
	m.delay.RecordDuration(d)
	m.delays.add(d, time.Now())
}

// Called counts a call to the platform's table.
func (m *Monitor) Called(call, outcome string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.calls[call+" "+outcome]
	if c == nil {
		c = m.meter.Scope.Tagged(map[string]string{
			"call":    call,
			"outcome": outcome,
		}).Counter("platform_calls")
		m.calls[call+" "+outcome] = c
	}
	c.Inc(1)
}

// Ticked counts ticks to other hosts by their outcome, and their bytes.
func (m *Monitor) Ticked(outcome string, ticks, bytes int) {
	s := m.meter.Scope.Tagged(map[string]string{
		"outcome": outcome,
	})
	s.Counter("ticks").Inc(int64(ticks))
	s.Counter("tick_bytes").Inc(int64(bytes))
}

// Options are what Start needs. All but MemoryBytes are required.
type Options struct {
	// Address is where the metrics are served.
	Address netip.AddrPort
	Edge    *edge.Edge
	// LeftOut returns the number of log lines that were left out, by kind.
	LeftOut func() map[string]uint64
	// MemoryBytes is what the process may use; zero stands for no limit.
	MemoryBytes int64
	// Log writes a log line of a kind with pairs of keys and values. It must not block.
	Log func(kind string, pairs ...any)
}

// Start serves the metrics, and samples gauges, in goroutines of t.
func (m *Monitor) Start(t *tomb.Tomb, o Options) error {
	x := goji.NewMux()
	x.Handle(pat.Get(path), m.meter.Handler)
	s := &http.Server{
		Handler:           x,
		ReadHeaderTimeout: headerTimeout,
	}
	if err := listen.Until(t, o.Address, listen.Options{
		Name:   "metrics",
		Server: s,
		Log:    o.Log,
	}); err != nil {
		return err
	}
	t.Go(func() error {
		k := time.NewTicker(sampleInterval)
		defer k.Stop()
		for {
			select {
			case <-t.Dying():
				return m.meter.Close()
			case <-k.C:
				// What a panic leaves out is set by the next sample.
				_ = safely.Logged(o.Log, "metrics", func() error {
					now := time.Now()
					m.delays.log(o.Log, now)
					logMemory(o.Log, usedMemory(), o.MemoryBytes)
					m.sample(o.Edge, o.LeftOut(), now)
					return nil
				})
			}
		}
	})
	return nil
}

// sample sets the gauges.
func (m *Monitor) sample(e *edge.Edge, leftOut map[string]uint64, now time.Time) {
	v := e.View()
	s := m.meter.Scope
	s.Gauge("hosts_live").Update(float64(len(v.Live)))
	s.Gauge("panics").Update(float64(e.Panics()))
	s.Gauge("hosts_isolated").Update(float64(len(v.Live) - len(fleet.Reaching(v.Live))))
	for p, n := range partNames {
		age := -1.0
		if !v.CurrentAt[p].IsZero() {
			age = now.Sub(v.CurrentAt[p]).Seconds()
		}
		s.Tagged(map[string]string{
			"part": n,
		}).Gauge("news_age_seconds").Update(age)
	}
	if v.Table != nil {
		s.Gauge("declaration_version").Update(float64(v.Table.Declaration.Version))
	}
	for u, x := range e.Upstreams(now) {
		t := s.Tagged(map[string]string{
			"upstream": u,
		})
		t.Gauge("slots").Update(float64(x.Slots))
		t.Gauge("slots_used").Update(x.Used)
		for k, n := range map[string]int{
			"serving": x.Endpoints - x.Suspended - x.Cold,
			"resting": x.Suspended,
			"cold":    x.Cold,
		} {
			t.Tagged(map[string]string{
				"state": k,
			}).Gauge("endpoints").Update(float64(n))
		}
		t.Gauge("endpoints_strict").Update(float64(x.Strict))
		t.Gauge("endpoints_limited").Update(float64(x.Limited))
		t.Gauge("endpoints_backing_off").Update(float64(x.BackingOff))
		t.Gauge("endpoints_leaving").Update(float64(x.Leaving))
		t.Gauge("repeats_left").Update(float64(x.RetriesLeft))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for k, n := range leftOut {
		s.Tagged(map[string]string{
			"kind": k,
		}).Counter("lines_left_out").Inc(int64(n - m.left[k]))
		m.left[k] = n
	}
}
