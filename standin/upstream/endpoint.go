package upstream

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"goji.io"
	"goji.io/pat"
)

// Headers that an endpoint reads and writes.
const (
	headerDeadline  = "Request-Deadline"
	headerNotRun    = "Upstream-Not-Run"
	headerRequestID = "Request-Id"
)

// Options describe an endpoint.
type Options struct {
	Name string
	// Slots is the most requests in flight before the endpoint sheds.
	Slots int
	// Connections is the most open connections; zero stands for no limit.
	Connections int
	// Service is the mean time of a request when the endpoint is warm.
	Service time.Duration
	// Sigma is the spread of the log-normal service time; zero makes every
	// request take Service.
	Sigma float64
	// Seed makes service times the same in every run.
	Seed uint64
	// LoadLag is how old the answers of /load and /health are.
	LoadLag time.Duration
	// ConnectCost and ProbeCost take the endpoint's processor for each new
	// connection and for each call of /load or /health.
	ConnectCost time.Duration
	ProbeCost   time.Duration
	// ColdFactor multiplies the service time of a cold endpoint, whose first
	// ColdRequests requests warm it.
	ColdFactor   float64
	ColdRequests int
	// Leg is the time that a message takes between the sender and the
	// endpoint; nil stands for none.
	Leg func(r *http.Request) time.Duration
	// Region counts the work of all endpoints in the region; nil stands for no
	// count.
	Region *Meter
}

// Counts are what an endpoint has seen.
type Counts struct {
	Usage
	Ran       int `json:"ran"`
	Shed      int `json:"shed"`
	Cancelled int `json:"cancelled"`
	Late      int `json:"late"`
	// Refused counts requests that a fault refused.
	Refused int `json:"refused"`
	// Opened is the number of connections ever opened.
	Opened int `json:"connections_opened"`
	// Open is the number of open connections, OpenPeak the most at once.
	Open     int `json:"connections_open"`
	OpenPeak int `json:"connections_peak"`
	Probes   int `json:"probes"`
}

// Load is the answer of /load.
type Load struct {
	InFlight int  `json:"in_flight"`
	Slots    int  `json:"slots"`
	Leaving  bool `json:"leaving"`
}

// Faults are the faults that an endpoint shows.
type Faults struct {
	// Frozen makes /load and /health answer what they last did.
	Frozen bool `json:"frozen"`
	// Broken makes every request for work end without an answer.
	Broken bool `json:"broken"`
	// Shedding makes every request for work be refused as not run.
	Shedding bool `json:"shedding"`
	// Gone makes the endpoint refuse new connections and drop open ones.
	Gone bool `json:"gone"`
	// Slow multiplies service times; zero stands for 1.
	Slow float64 `json:"slow"`
}

// Endpoint is a stand-in endpoint. It is safe for concurrent use.
type Endpoint struct {
	options Options
	meter   *Meter
	service *service

	mu      sync.Mutex
	counts  Counts
	faults  Faults
	leaving bool
	conns   map[net.Conn]struct{}
	// reported is the load as /load tells it until reportedUntil.
	reported      Load
	reportedUntil time.Time
}

// New returns an endpoint with the options.
func New(o Options) *Endpoint {
	return &Endpoint{
		options: o,
		meter:   NewMeter(o.Slots),
		service: &service{
			options: o,
		},
		conns: map[net.Conn]struct{}{},
	}
}

// Counts returns what the endpoint has seen.
func (e *Endpoint) Counts() Counts {
	e.mu.Lock()
	c := e.counts
	c.Open = len(e.conns)
	e.mu.Unlock()
	c.Usage = e.meter.Usage(time.Now())
	return c
}

// Reset forgets all counts.
func (e *Endpoint) Reset() {
	e.meter.reset(time.Now())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts = Counts{
		OpenPeak: len(e.conns),
	}
}

// SetFaults replaces the faults.
func (e *Endpoint) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	if f.Gone {
		for c := range e.conns {
			drop(c)
		}
	}
}

// Cool makes the endpoint cold again.
func (e *Endpoint) Cool() {
	e.service.cool()
}

// Handler returns the endpoint's HTTP interface.
func (e *Endpoint) Handler() http.Handler {
	m := goji.NewMux()
	m.HandleFunc(pat.Get("/health"), e.serveHealth)
	m.HandleFunc(pat.Get("/load"), e.serveLoad)
	m.HandleFunc(pat.Get("/counts"), e.serveCounts)
	m.HandleFunc(pat.Put("/leave"), e.serveLeave)
	m.HandleFunc(pat.New("/*"), e.serveWork)
	return m
}

// Connect takes note of a connection's state. A server calls it as its
// ConnState.
func (e *Endpoint) Connect(c net.Conn, s http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch s {
	case http.StateNew:
		if e.faults.Gone || (e.options.Connections > 0 && len(e.conns) >= e.options.Connections) {
			drop(c)
			return
		}
		e.conns[c] = struct{}{}
		e.counts.Opened++
		e.counts.OpenPeak = max(e.counts.OpenPeak, len(e.conns))
		e.service.occupy(time.Now(), e.options.ConnectCost)
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, c)
	default:
	}
}

// drop closes a connection that the endpoint does not want.
func drop(c net.Conn) {
	// The other end sees the connection closed whatever Close returns.
	_ = c.Close()
}

func (e *Endpoint) serveWork(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	leg := e.leg(r)
	if !pause(r, leg) {
		return
	}
	if !e.run(w, r) {
		return
	}
	if !pause(r, leg) {
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "%s %s ran on %s: %s\n", r.Method, r.URL.RequestURI(), e.options.Name, body)
}

// run runs a request and reports whether there is an answer to give.
func (e *Endpoint) run(w http.ResponseWriter, r *http.Request) bool {
	f := e.currentFaults()
	switch {
	case f.Gone || f.Broken:
		e.count(func(c *Counts) { c.Refused++ })
		panic(http.ErrAbortHandler)
	case f.Shedding:
		e.count(func(c *Counts) { c.Refused++ })
		notRun(w, http.StatusServiceUnavailable, "shedding")
		return false
	case deadline(r).Before(time.Now()):
		e.count(func(c *Counts) { c.Late++ })
		notRun(w, http.StatusGatewayTimeout, "too late")
		return false
	}
	now := time.Now()
	if !e.meter.enter(now) {
		e.count(func(c *Counts) { c.Shed++ })
		notRun(w, http.StatusServiceUnavailable, "no slot")
		return false
	}
	if g := e.options.Region; g != nil {
		g.add(now)
	}
	defer e.exit()
	d := e.service.end(now, r.URL.Path).Sub(now)
	if f.Slow > 0 {
		d = time.Duration(float64(d) * f.Slow)
	}
	left := time.Until(deadline(r))
	if !pause(r, min(d, left)) {
		e.count(func(c *Counts) { c.Cancelled++ })
		return false
	}
	if left < d {
		e.count(func(c *Counts) { c.Late++ })
		panic(http.ErrAbortHandler)
	}
	e.count(func(c *Counts) { c.Ran++ })
	return true
}

func (e *Endpoint) exit() {
	now := time.Now()
	e.meter.exit(now)
	if g := e.options.Region; g != nil {
		g.exit(now)
	}
}

func notRun(w http.ResponseWriter, status int, text string) {
	w.Header().Set(headerNotRun, "1")
	http.Error(w, text, status)
}

// pause waits and reports whether the request is still wanted after it.
func pause(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (e *Endpoint) leg(r *http.Request) time.Duration {
	if e.options.Leg == nil {
		return 0
	}
	return e.options.Leg(r)
}

// deadline returns the request's deadline, or a time far away.
func deadline(r *http.Request) time.Time {
	ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err != nil {
		return time.Now().Add(time.Hour)
	}
	return time.UnixMilli(ms)
}

func (e *Endpoint) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Endpoint) count(f func(c *Counts)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(&e.counts)
}

func (e *Endpoint) load() Load {
	now := time.Now()
	n := e.meter.Usage(now).InFlight
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.faults.Frozen && now.After(e.reportedUntil) {
		e.reported = Load{
			InFlight: n,
			Slots:    e.options.Slots,
			Leaving:  e.leaving,
		}
		e.reportedUntil = now.Add(e.options.LoadLag)
	}
	return e.reported
}

// probe counts a probe and waits for the processor.
func (e *Endpoint) probe(r *http.Request) {
	e.count(func(c *Counts) { c.Probes++ })
	now := time.Now()
	pause(r, e.service.occupy(now, e.options.ProbeCost).Sub(now)+2*e.leg(r))
}

func (e *Endpoint) serveHealth(w http.ResponseWriter, r *http.Request) {
	e.probe(r)
	if e.load().Leaving {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}

func (e *Endpoint) serveLoad(w http.ResponseWriter, r *http.Request) {
	e.probe(r)
	encode(w, e.load())
}

func (e *Endpoint) serveCounts(w http.ResponseWriter, _ *http.Request) {
	encode(w, e.Counts())
}

func (e *Endpoint) serveLeave(http.ResponseWriter, *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

func encode(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
