package upstream

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"goji.io"
	"goji.io/pat"
)

// Options describe an endpoint.
type Options struct {
	Name string
	// Slots is the most requests in flight before the endpoint sheds.
	Slots int
	// Service is how long one request takes when the endpoint is warm.
	Service time.Duration
	// LoadLag is how old the answers of /load and /health are.
	LoadLag time.Duration
}

// Counts are what an endpoint has seen.
type Counts struct {
	Ran       int `json:"ran"`
	Shed      int `json:"shed"`
	Cancelled int `json:"cancelled"`
	Late      int `json:"late"`
	InFlight  int `json:"in_flight"`
	// Peak is the most requests that were in flight at once.
	Peak int `json:"peak"`
}

// Load is the answer of /load.
type Load struct {
	InFlight int  `json:"in_flight"`
	Slots    int  `json:"slots"`
	Leaving  bool `json:"leaving"`
}

// Endpoint is a stand-in endpoint. It is safe for concurrent use.
type Endpoint struct {
	options Options

	mu      sync.Mutex
	counts  Counts
	leaving bool
	// reported is the load as /load tells it until reportedUntil.
	reported      Load
	reportedUntil time.Time
}

// New returns an endpoint with the options.
func New(o Options) *Endpoint {
	return &Endpoint{
		options: o,
	}
}

// Counts returns what the endpoint has seen.
func (e *Endpoint) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
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

func (e *Endpoint) serveWork(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if deadline(r).Before(time.Now()) {
		e.count(func(c *Counts) { c.Late++ })
		http.Error(w, "too late", http.StatusGatewayTimeout)
		return
	}
	if !e.enter() {
		w.Header().Set("Upstream-Not-Run", "1")
		http.Error(w, "no slot", http.StatusServiceUnavailable)
		return
	}
	defer e.exit()
	select {
	case <-time.After(e.options.Service):
	case <-r.Context().Done():
		e.count(func(c *Counts) { c.Cancelled++ })
		return
	}
	e.count(func(c *Counts) { c.Ran++ })
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "%s %s ran on %s: %s\n", r.Method, r.URL.RequestURI(), e.options.Name, body)
}

// deadline returns the request's deadline, or a time far away.
func deadline(r *http.Request) time.Time {
	ms, err := strconv.ParseInt(r.Header.Get("Request-Deadline"), 10, 64)
	if err != nil {
		return time.Now().Add(time.Hour)
	}
	return time.UnixMilli(ms)
}

func (e *Endpoint) count(f func(c *Counts)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(&e.counts)
}

func (e *Endpoint) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.counts.InFlight >= e.options.Slots {
		e.counts.Shed++
		return false
	}
	e.counts.InFlight++
	e.counts.Peak = max(e.counts.Peak, e.counts.InFlight)
	return true
}

func (e *Endpoint) exit() {
	e.count(func(c *Counts) { c.InFlight-- })
}

func (e *Endpoint) load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); now.After(e.reportedUntil) {
		e.reported = Load{
			InFlight: e.counts.InFlight,
			Slots:    e.options.Slots,
			Leaving:  e.leaving,
		}
		e.reportedUntil = now.Add(e.options.LoadLag)
	}
	return e.reported
}

func (e *Endpoint) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if e.load().Leaving {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}

func (e *Endpoint) serveLoad(w http.ResponseWriter, _ *http.Request) {
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
