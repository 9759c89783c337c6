package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The headers of the platform.
const (
	headerID       = "X-Heatherford-Request-Id"
	headerDeadline = "X-Heatherford-Request-Deadline-Ms"
	headerObject   = "X-Heatherford-Affinity-Key"
	headerSeal     = "X-Heatherford-Response-Seal"
	headerExpected = "X-Heatherford-Expected-Instance"
	headerNotRun   = "X-Heatherford-Not-Executed"
	headerLoad     = "X-Heatherford-Server-Load"
	headerInstance = "X-Heatherford-Instance-Id"
)

// serviceName is the service of all endpoints.
const serviceName = "one"

// endpoint is an endpoint that registers itself in the platform's table.
type endpoint struct {
	world         *world
	id            string
	service, zone string
	slots         int
	work          time.Duration
	// cold is how long the endpoint says after a start that it is cold.
	cold time.Duration
	// address is the one that it listens on, and listed the one that it registers.
	address, listed string
	// handle answers in place of run if it is set and returns true.
	handle func(e *endpoint, w http.ResponseWriter, r *http.Request) bool

	mu       sync.Mutex
	server   *http.Server
	free     chan struct{}
	born     time.Time
	sequence int
	draining bool
	running  int
	// paths counts the requests at work by their paths.
	paths map[string]int
}

// addEndpoint starts an endpoint. Its work takes the time.
func (w *world) addEndpoint(id, zone string, slots int, work time.Duration) (*endpoint, error) {
	e := &endpoint{
		world:   w,
		id:      id,
		service: serviceName,
		zone:    zone,
		slots:   slots,
		work:    work,
	}
	if err := e.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.endpoints = append(w.endpoints, e)
	w.mu.Unlock()
	return e, nil
}

// listen begins an incarnation at an address.
func (e *endpoint) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address = l.Addr().String()
	e.born = time.Now()
	e.sequence = 0
	e.draining = false
	e.running = 0
	e.paths = map[string]int{}
	e.free = make(chan struct{}, e.slots)
	e.server = &http.Server{
		Handler:           e,
		ReadHeaderTimeout: 10 * time.Second,
	}
	s := e.server
	go func() { _ = s.Serve(l) }()
	return nil
}

// register writes the endpoint's entry.
func (e *endpoint) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	if e.listed == "" {
		e.listed = e.address
	}
	b, err := json.Marshal(map[string]any{
		"address": e.listed,
		"born":    e.born.UnixMilli(),
		"info": map[string]any{
			"service": e.service,
			"version": "v1",
			"zone":    e.zone,
			"slots":   e.slots,
		},
		"status": map[string]any{
			"state":         state,
			"sequence":      e.sequence,
			"coldRemaining": fmt.Sprintf("%dms", max(0, e.cold-time.Since(e.born)).Milliseconds()),
		},
	})
	if err != nil {
		panic(err)
	}
	e.world.table.Put("servers", e.id, string(b))
}

// crash ends the endpoint's process: all its connections, and its listener.
func (e *endpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		_ = e.server.Close()
	}
	e.server = nil
}

// restart begins the next incarnation at the same address, under the same ID.
func (e *endpoint) restart() error {
	if err := e.listen(e.address); err != nil {
		return err
	}
	e.register()
	return nil
}

// busy returns the number of requests at work.
func (e *endpoint) busy() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// busyOn returns the number of requests at work that have the path.
func (e *endpoint) busyOn(path string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.paths[path]
}

func (e *endpoint) count(path string, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += n
	e.paths[path] += n
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set(headerID, r.Header.Get(headerID))
	h.Set(headerInstance, e.id)
	if x := r.Header.Get(headerExpected); x != "" && x != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if e.handle != nil && e.handle(e, w, r) {
		return
	}
	ms, err := strconv.Atoi(r.Header.Get(headerDeadline))
	if err != nil {
		ms = 60_000
	}
	left := time.After(time.Duration(ms) * time.Millisecond)
	e.mu.Lock()
	free := e.free
	e.mu.Unlock()
	select {
	case free <- struct{}{}:
	case <-left:
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	e.count(r.URL.Path, 1)
	defer func() {
		e.count(r.URL.Path, -1)
		<-free
	}()
	select {
	case <-time.After(e.work):
	case <-left:
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	}
	h.Set(headerSeal, "seal-of-"+r.Header.Get(headerID))
	h.Set(headerLoad, fmt.Sprintf("%d,0,%d", len(free), e.slots))
	io.WriteString(w, answerOf(e.service, r.Header.Get(headerID)))
}

// answerOf is the body of an endpoint's answer.
func answerOf(service, id string) string {
	return "answer of " + service + " to " + id
}

// routeSpec is a route of a configuration.
type routeSpec struct {
	name, prefix, kind, service string
	timeout                     time.Duration
	// attempts is the most endpoints of a client attempt; 0 stands for 2.
	attempts int
}

// hostName is the host name of all routes.
const hostName = "desk.example"

// configure writes a configuration, and returns when the table has acknowledged it.
func (w *world) configure(version int, routes []routeSpec, services ...string) time.Time {
	s := []any{map[string]any{
		"resourceKind": "limits",
		"metadata":     map[string]any{},
		"spec": map[string]any{
			"maxHeaderBytes": 16384,
			"maxBodyBytes":   67108864,
			"headerTimeout":  "3000ms",
			"idleTimeout":    "15000ms",
		},
	}}
	for _, r := range routes {
		s = append(s, map[string]any{
			"resourceKind": "routes",
			"metadata": map[string]any{
				"name": r.name,
			},
			"spec": map[string]any{
				"host":            hostName,
				"prefix":          r.prefix,
				"kind":            r.kind,
				"timeout":         fmt.Sprintf("%dms", r.timeout.Milliseconds()),
				"targetLatency":   "800ms",
				"priority":        1,
				"service":         r.service,
				"maxAttempts":     cmp.Or(r.attempts, 2),
				"sessionAffinity": true,
				"allowedRegions":  []string{},
			},
		})
	}
	for _, n := range services {
		s = append(s, map[string]any{
			"resourceKind": "services",
			"metadata": map[string]any{
				"name": n,
			},
			"spec": map[string]any{
				"healthPath":     "/health",
				"maxConnections": 780,
				"protocol":       "h1",
				"tls":            false,
				"coldStart":      "3s",
				"coldPerS":       9.7,
			},
		})
	}
	b, err := json.Marshal(map[string]any{
		"version":   fmt.Sprintf("r%d", version),
		"resources": s,
	})
	if err != nil {
		panic(err)
	}
	w.table.Put("op", "config", string(b))
	w.record.note("operator: configuration r%d is acknowledged", version)
	return time.Now()
}
