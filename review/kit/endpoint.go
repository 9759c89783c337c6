package main

import (
	"fmt"
	"net"
	"net/http"
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
)

// endpoint is an endpoint that registers itself in the store.
type endpoint struct {
	world             *world
	id, service, zone string
	slots             chan struct{}
	// serve runs a request that has a slot.
	serve   func(e *endpoint, w http.ResponseWriter, r *http.Request)
	address string
	end     chan struct{}

	mu       sync.Mutex
	server   *http.Server
	born     time.Time
	sequence int
	down     bool
}

// addEndpoint starts an endpoint.
func (w *world) addEndpoint(id, service, zone string, slots int, serve func(e *endpoint, w http.ResponseWriter, r *http.Request)) error {
	e := &endpoint{
		world:   w,
		id:      id,
		service: service,
		zone:    zone,
		slots:   make(chan struct{}, slots),
		serve:   serve,
		address: "127.0.0.1:0",
		end:     make(chan struct{}),
	}
	if err := e.listen(); err != nil {
		return err
	}
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				e.write()
			case <-e.end:
				return
			}
		}
	}()
	return nil
}

// listen begins an incarnation.
func (e *endpoint) listen() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	s := &http.Server{
		Handler:           e,
		ReadHeaderTimeout: time.Minute,
	}
	e.mu.Lock()
	e.address = l.Addr().String()
	e.server = s
	e.born = time.Now()
	e.sequence = 0
	e.down = false
	e.mu.Unlock()
	go func() {
		// The server ends with its incarnation.
		_ = s.Serve(l)
	}()
	e.write()
	return nil
}

// write writes the endpoint's entry.
func (e *endpoint) write() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.sequence++
	e.world.put("servers", e.id, map[string]any{
		"address": e.address,
		"born":    e.born.UnixMilli(),
		"info": map[string]any{
			"service": e.service, "version": "v1", "zone": e.zone, "slots": cap(e.slots),
		},
		"status": map[string]any{
			"state": "ready", "sequence": e.sequence, "coldRemaining": "0ms",
		},
	})
}

// crash ends the incarnation with all of its connections. The endpoint is back after a time.
func (e *endpoint) crash(back time.Duration) {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	s := e.server
	e.mu.Unlock()
	e.world.note("endpoint %s: crashes", e.id)
	_ = s.Close()
	time.AfterFunc(back, func() {
		if err := e.listen(); err != nil {
			e.world.note("endpoint %s: cannot come back: %v", e.id, err)
			return
		}
		e.world.note("endpoint %s: is back", e.id)
	})
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set(headerInstance, e.id)
	if r.URL.Path == "/health" {
		return
	}
	if x := r.Header.Get(headerExpected); x != "" && x != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set(headerID, r.Header.Get(headerID))
	select {
	case e.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-e.slots }()
	h.Set(headerLoad, fmt.Sprintf("%d,0,%d", len(e.slots), cap(e.slots)))
	e.serve(e, w, r)
}
