package desk

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"heatherford/standin/rows"
)

// Headers between hosts and endpoints, and between clients and hosts.
const (
	HeaderID       = "X-Heatherford-Request-Id"
	HeaderDeadline = "X-Heatherford-Request-Deadline-Ms"
	HeaderObject   = "X-Heatherford-Affinity-Key"
	HeaderSeal     = "X-Heatherford-Response-Seal"
	headerExpected = "X-Heatherford-Expected-Instance"
	headerNotRun   = "X-Heatherford-Not-Executed"
	headerLoad     = "X-Heatherford-Server-Load"
	// HeaderInstance names the endpoint that answered.
	HeaderInstance = "X-Heatherford-Instance-Id"
)

// reportInterval is how often an endpoint reports.
const reportInterval = 500 * time.Millisecond

// Runs counts what all endpoints ran. It is safe for concurrent use.
type Runs struct {
	mu   sync.Mutex
	runs map[string]int
	// arrivals holds the arrivals at each endpoint, in order.
	arrivals map[string][]time.Time
	// seen holds the requests that came to each service, and repeats the times at which
	// one came that had come before.
	seen    map[string]map[string]bool
	repeats map[string][]time.Time
}

// NewRuns returns an empty count.
func NewRuns() *Runs {
	return &Runs{
		runs:     map[string]int{},
		arrivals: map[string][]time.Time{},
		seen:     map[string]map[string]bool{},
		repeats:  map[string][]time.Time{},
	}
}

// arrive notes that a request came to an endpoint.
func (r *Runs) arrive(o *Options, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.arrivals[o.ID] = append(r.arrivals[o.ID], now)
	s := r.seen[o.Service]
	if s == nil {
		s = map[string]bool{}
		r.seen[o.Service] = s
	}
	if s[id] {
		r.repeats[o.Service] = append(r.repeats[o.Service], now)
	}
	s[id] = true
}

// Repeats returns when requests came to a service that had come to it before.
func (r *Runs) Repeats(service string) []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time{}, r.repeats[service]...)
}

// Arrived reports whether the request came to an endpoint.
func (r *Runs) Arrived(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.seen {
		if s[id] {
			return true
		}
	}
	return false
}

// Of returns how often the request was run.
func (r *Runs) Of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// Arrivals returns when requests came to the endpoint, in order.
func (r *Runs) Arrivals(endpoint string) []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time{}, r.arrivals[endpoint]...)
}

// LastArrival returns when a request last came to the endpoint, or the zero time.
func (r *Runs) LastArrival(endpoint string) time.Time {
	s := r.Arrivals(endpoint)
	if len(s) == 0 {
		return time.Time{}
	}
	return s[len(s)-1]
}

// Options describe an endpoint.
type Options struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	// Work is how long a request takes.
	Work  time.Duration
	Table *rows.Table
	Runs  *Runs
	// Address is registered in place of the endpoint's own if it is not empty,
	// such as that of a relay.
	Address func(own string) string
	// Crash is called when a request begins to run, if it is not nil, and returns how long
	// the endpoint is down from now on, or 0 if it does not crash.
	Crash func(r *http.Request) time.Duration
}

// Endpoint is an endpoint that registers itself. It is safe for concurrent use.
type Endpoint struct {
	options  Options
	listener net.Listener
	server   *http.Server
	address  string
	slots    chan struct{}
	end      chan struct{}
	group    sync.WaitGroup

	mu sync.Mutex
	// born is when the incarnation started or will start.
	born     time.Time
	sequence int
	// written is the state in the newest entry.
	written  string
	draining bool
	silent   bool
	// rejecting is true while every other request is rejected, and came counts them.
	rejecting bool
	came      int
	// limits are the changes of the limit that answers state, in order.
	limits []LimitChange
	words  words
}

// ID returns the endpoint's ID.
func (e *Endpoint) ID() string {
	return e.options.ID
}

// Start starts an endpoint.
func Start(o Options) (*Endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{
		options:  o,
		listener: l,
		address:  l.Addr().String(),
		born:     time.Now(),
		slots:    make(chan struct{}, o.Slots),
		end:      make(chan struct{}),
	}
	if o.Address != nil {
		e.address = o.Address(e.address)
	}
	const headerTimeout = 5 * time.Second
	e.server = &http.Server{
		Handler:           e,
		ReadHeaderTimeout: headerTimeout,
	}
	e.group.Go(func() {
		if err := e.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	})
	e.group.Go(e.report)
	return e, nil
}

// report writes the endpoint's entry from time to time.
func (e *Endpoint) report() {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		e.write()
		select {
		case <-t.C:
		case <-e.end:
			return
		}
	}
}

func (e *Endpoint) write() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent || time.Now().Before(e.born) {
		return
	}
	e.sequence++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	// An entry does not change if only the sequence does.
	if state == e.written && e.options.Table.Has(Table, e.options.ID) {
		return
	}
	e.written = state
	b, err := json.Marshal(map[string]any{
		"address": e.address,
		"born":    e.born.UnixMilli(),
		"info": map[string]any{
			"service": e.options.Service,
			"version": "v1",
			"zone":    e.options.Zone,
			"slots":   e.options.Slots,
		},
		"status": map[string]any{
			"state":         state,
			"sequence":      e.sequence,
			"coldRemaining": "0ms",
		},
	})
	if err != nil {
		panic(err)
	}
	e.options.Table.Put(Table, e.options.ID, string(b))
}

// restart begins the next incarnation, which reports first after a time.
func (e *Endpoint) restart(after time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.born = time.Now().Add(after)
	e.sequence = 0
	e.written = ""
	e.words.end(e.born)
}

// Drain reports that the endpoint leaves.
func (e *Endpoint) Drain() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.write()
}

// Reject makes the endpoint say of every other request that it did not run it.
func (e *Endpoint) Reject(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rejecting = on
}

// rejects reports whether the request that came is to be rejected.
func (e *Endpoint) rejects() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.came++
	return e.rejecting && e.came%2 == 0
}

// Stop removes the entry and ends the endpoint.
func (e *Endpoint) Stop() {
	e.mu.Lock()
	e.silent = true
	e.mu.Unlock()
	close(e.end)
	e.options.Table.Remove(Table, e.options.ID)
	_ = e.server.Close()
	e.group.Wait()
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderID)
	h := w.Header()
	h.Set(HeaderID, id)
	h.Set(HeaderInstance, e.options.ID)
	e.sayLeaving(h)
	if x := r.Header.Get(headerExpected); x != "" && x != e.options.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.options.Runs.arrive(&e.options, id)
	ms, err := strconv.Atoi(r.Header.Get(HeaderDeadline))
	if err != nil || id == "" {
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.stateLimit(h)
	if e.takeArrival(h, r) {
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if e.rejects() {
		e.sayBadBackoff(h)
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	left := time.After(time.Duration(ms) * time.Millisecond)
	select {
	case e.slots <- struct{}{}:
	case <-left:
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-e.slots }()
	e.options.Runs.mu.Lock()
	e.options.Runs.runs[id]++
	e.options.Runs.mu.Unlock()
	if e.options.Crash != nil {
		if d := e.options.Crash(r); d > 0 {
			e.restart(d)
			panic(http.ErrAbortHandler)
		}
	}
	select {
	case <-time.After(e.options.Work):
	case <-left:
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	}
	h.Del(headersLimit[0])
	h.Del(headersLimit[1])
	e.stateLimit(h)
	h.Set(HeaderSeal, "seal-of-"+id)
	h.Set(headerLoad, fmt.Sprintf("%d,0,%d", len(e.slots), e.options.Slots))
	io.WriteString(w, Body(e.options.Service, id))
}

// Body returns what an endpoint of the service answers to a request.
func Body(service, id string) string {
	return "answer of " + service + " to " + id
}
