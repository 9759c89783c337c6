package serve

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"heatherford/core/work"
	"heatherford/io/internal/keepalive"
)

// quietTime is how long no request may have come before a listener is closed.
const quietTime = 300 * time.Millisecond

const (
	// quietPoll is how often waitQuiet looks.
	quietPoll = 20 * time.Millisecond
	// quietLimit is the longest time that it waits for clients that go on.
	// Their connections are closed with each answer.
	quietLimit = time.Second
)

// guard counts the requests in flight. While the daemon stops, it asks clients
// to close their connections, so that none sends on a connection that is about
// to be closed. It is safe for concurrent use.
type guard struct {
	next     http.Handler
	stopping func() bool

	mu       sync.Mutex
	inFlight int
	// last is when the newest request came or ended.
	last time.Time
}

func newGuard(next http.Handler, stopping func() bool) *guard {
	return &guard{
		next:     next,
		stopping: stopping,
	}
}

// ServeHTTP implements http.Handler.
func (g *guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.add(1)
	defer g.add(-1)
	keepalive.Begin(r.Context(), r.Header.Get(work.HeaderRequestID))
	g.next.ServeHTTP(&writer{
		ResponseWriter: w,
		stopping:       g.stopping,
	}, r)
	if r.Context().Err() != nil {
		keepalive.Abandoned(r.Context())
	}
}

func (g *guard) add(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight += n
	g.last = time.Now()
}

func (g *guard) quiet(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight == 0 && now.Sub(g.last) >= quietTime
}

// waitQuiet waits until no request is in flight and none came of late, within
// the limit. Closing an idle connection under a client that is just sending would
// cut it off.
func (g *guard) waitQuiet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, quietLimit)
	defer cancel()
	t := time.NewTicker(quietPoll)
	defer t.Stop()
	for !g.quiet(time.Now()) {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// writer announces the end of the connection while the daemon stops.
type writer struct {
	http.ResponseWriter
	stopping func() bool
	// wrote is true once the head was written.
	wrote bool
}

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(status int) {
	w.head()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *writer) Write(b []byte) (int, error) {
	w.head()
	return w.ResponseWriter.Write(b)
}

// ReadFrom implements io.ReaderFrom, so that io.Copy uses the server's buffers.
func (w *writer) ReadFrom(r io.Reader) (int64, error) {
	w.head()
	return io.Copy(w.ResponseWriter, r)
}

// Unwrap serves http.ResponseController.
func (w *writer) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

func (w *writer) head() {
	if w.wrote {
		return
	}
	w.wrote = true
	if w.stopping() {
		w.Header().Set("Connection", "close")
	}
}
