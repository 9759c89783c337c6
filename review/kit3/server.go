package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers on the wire.
const (
	headerID       = "X-Heatherford-Request-Id"
	headerDeadline = "X-Heatherford-Request-Deadline-Ms"
	headerSeal     = "X-Heatherford-Response-Seal"
	headerExpected = "X-Heatherford-Expected-Instance"
	headerNotRun   = "X-Heatherford-Not-Executed"
	headerLoad     = "X-Heatherford-Server-Load"
	headerInstance = "X-Heatherford-Instance-Id"
	headerCold     = "X-Heatherford-Cold-Remaining-Ms"
)

const (
	// heartbeat is how often a server writes its entry.
	heartbeat = 1500 * time.Millisecond
	// queueLength is how many requests a server queues beyond its slots.
	queueLength = 9
)

// arrival is a request that came to a server.
type arrival struct {
	id     string
	method string
	target string
	bytes  int
	at     time.Time
	// ran is true if the server began to work on the request.
	ran bool
}

// serverOptions describe a server.
type serverOptions struct {
	id      string
	service string
	zone    string
	slots   int
	// work is how long a request takes.
	work time.Duration
	// cold is how long the server is cold after its start, or 0.
	cold time.Duration
	// answer writes the answer to a request in place of the usual one and reports true, or
	// writes nothing and reports false. Nil stands for the latter.
	answer func(w http.ResponseWriter, r *http.Request) bool
}

// server is a stand-in of an endpoint. It is safe for concurrent use.
type server struct {
	options serverOptions
	world   *world
	address string

	mu       sync.Mutex
	http     *http.Server
	born     time.Time
	sequence int
	written  string
	end      chan struct{}
	running  int
	waiting  int
	slots    chan struct{}
	arrivals []arrival
}

// addServer starts a server that registers itself.
func (w *world) addServer(o serverOptions) error {
	s := &server{
		options: o,
		world:   w,
	}
	if err := s.start("127.0.0.1:0"); err != nil {
		return err
	}
	w.servers = append(w.servers, s)
	return nil
}

// start begins an incarnation.
func (s *server) start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	h := &http.Server{
		Handler: s,
	}
	s.mu.Lock()
	s.address = l.Addr().String()
	s.http = h
	s.born = time.Now()
	s.sequence = 0
	s.written = ""
	s.running, s.waiting = 0, 0
	s.slots = make(chan struct{}, s.options.slots)
	s.end = make(chan struct{})
	end := s.end
	s.mu.Unlock()
	s.world.record.add("server started", "server", s.options.id, "service", s.options.service, "address", s.address)
	go func() {
		// The end of the server is that of the incarnation.
		_ = h.Serve(l)
	}()
	go s.report(end)
	return nil
}

// report writes the entry from time to time.
func (s *server) report(end chan struct{}) {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		s.write()
		select {
		case <-t.C:
		case <-end:
			return
		}
	}
}

func (s *server) write() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	coldLeft := max(0, time.Until(s.born.Add(s.options.cold))).Round(time.Millisecond)
	state := "ready"
	if state+coldLeft.String() == s.written {
		return
	}
	s.written = state + coldLeft.String()
	b, err := json.Marshal(map[string]any{
		"address": s.address,
		"born":    s.born.UnixMilli(),
		"info": map[string]any{
			"service": s.options.service,
			"version": "v1",
			"zone":    s.options.zone,
			"slots":   s.options.slots,
		},
		"status": map[string]any{
			"state":         state,
			"sequence":      s.sequence,
			"coldRemaining": fmt.Sprintf("%dms", coldLeft.Milliseconds()),
		},
	})
	if err != nil {
		panic(err)
	}
	s.world.table.Put("servers", s.options.id, string(b))
}

// stop ends the incarnation at once.
func (s *server) stop() {
	s.mu.Lock()
	h, end := s.http, s.end
	s.http = nil
	s.mu.Unlock()
	if h == nil {
		return
	}
	close(end)
	_ = h.Close()
}

// came returns the requests that came, in order.
func (s *server) came() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival{}, s.arrivals...)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	id := r.Header.Get(headerID)
	h := w.Header()
	h.Set(headerInstance, s.options.id)
	if id != "" {
		h.Set(headerID, id)
	}
	if x := r.Header.Get(headerExpected); x != "" && x != s.options.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" && id == "" {
		h.Set(headerLoad, s.load())
		if d := time.Until(s.bornAt().Add(s.options.cold)); d > 0 {
			h.Set(headerCold, strconv.FormatInt(d.Milliseconds(), 10))
		}
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	x := arrival{
		id:     id,
		method: r.Method,
		target: r.RequestURI,
		bytes:  int(n),
		at:     at,
	}
	ms, err := strconv.Atoi(r.Header.Get(headerDeadline))
	if err != nil || id == "" {
		s.note(x)
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	left := time.After(time.Duration(ms) * time.Millisecond)
	if !s.take(r, left) {
		s.note(x)
		h.Set(headerNotRun, "1")
		h.Set(headerLoad, s.load())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	x.ran = true
	s.note(x)
	defer s.free()
	select {
	case <-time.After(s.options.work):
	case <-left:
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	}
	h.Set(headerSeal, "seal-of-"+id)
	h.Set(headerLoad, s.load())
	if s.options.answer != nil && s.options.answer(w, r) {
		return
	}
	io.WriteString(w, bodyOf(s.options.service, id))
}

// bodyOf returns the answer of a service to a request.
func bodyOf(service, id string) string {
	return "answer of " + service + " to " + id
}

func (s *server) bornAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.born
}

func (s *server) note(x arrival) {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, x)
	s.mu.Unlock()
	s.world.record.add("came", "server", s.options.id, "id", x.id, "method", x.method, "target", x.target, "bytes", x.bytes, "ran", x.ran)
}

// take waits for a slot and reports whether there was one in time.
func (s *server) take(r *http.Request, left <-chan time.Time) bool {
	s.mu.Lock()
	slots := s.slots
	if s.waiting >= queueLength {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	ok := false
	select {
	case slots <- struct{}{}:
		ok = true
	case <-left:
	case <-r.Context().Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	if ok {
		s.running++
	}
	return ok
}

func (s *server) free() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	<-s.slots
}

func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.options.slots)
}
