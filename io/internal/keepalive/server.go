package keepalive

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Options are what a Server needs. All are required but HTTP's optional fields.
type Options struct {
	// HTTP serves the connections. Its ConnState, ConnContext, IdleTimeout and
	// ReadHeaderTimeout are set by New, and its Handler is wrapped.
	HTTP *http.Server
	// HeaderTimeout bounds the reading of a request's head.
	HeaderTimeout time.Duration
	// IdleTimeout returns how long an unused connection is kept; zero stands for
	// without end. One that has become unused is kept for the longest time that is
	// returned until then. It is safe for concurrent use.
	IdleTimeout func() time.Duration
	// Log writes the pairs of keys and values of a line on a connection that ended with
	// a request on it. It does not block.
	Log func(pairs ...any)
}

// Server ends the connections of an HTTP server. It is safe for concurrent use.
type Server struct {
	options  Options
	listener *listener
	// stopping is true once a planned stop has begun.
	stopping atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
	// changed is closed when the number of connections falls, and replaced.
	changed chan struct{}
}

// New returns a server of the connections that l accepts. Its Listener is to be served.
func New(l net.Listener, o Options) *Server {
	s := &Server{
		options: o,
		conns:   map[*conn]struct{}{},
		changed: make(chan struct{}),
	}
	s.listener = newListener(l, s)
	o.HTTP.ReadHeaderTimeout = o.HeaderTimeout
	h := o.HTTP.Handler
	o.HTTP.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		Begin(r.Context(), "")
		h.ServeHTTP(w, r)
	})
	// Zero would stand for the time that bounds the reading of a request.
	o.HTTP.IdleTimeout = -1
	o.HTTP.ConnState = func(c net.Conn, state http.ConnState) {
		if x := connOf(c); x != nil {
			x.change(state)
		}
	}
	o.HTTP.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, key{}, connOf(c))
	}
	return s
}

// Listener returns the listener that the HTTP server serves.
func (s *Server) Listener() net.Listener {
	return s.listener
}

// key is the key of a request's connection in its context.
type key struct{}

// Begin records the identifier of a request that a handler has.
func Begin(ctx context.Context, request string) {
	if c, _ := ctx.Value(key{}).(*conn); c != nil {
		c.begin(request)
	}
}

// Abandoned logs why a request's context ended before its answer.
func Abandoned(ctx context.Context) {
	if c, _ := ctx.Value(key{}).(*conn); c != nil {
		c.abandoned()
	}
}

func (s *Server) add(x net.Conn) *conn {
	c := &conn{
		Conn:   x,
		server: s,
		phase:  phaseIdle,
		since:  time.Now(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	c.stopping = s.stopping.Load()
	return c
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.conns[c]; !ok {
		return
	}
	delete(s.conns, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Stop takes no more connections, ends each of the others once it is unused, and waits for
// that until ctx ends. Then it closes the HTTP server, which cuts off the requests that
// are still in progress. Handlers are to close connections with their answers meanwhile.
// It is called once.
func (s *Server) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	s.listener.stop(ctx)
	s.mu.Lock()
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	s.mu.Unlock()
	for _, c := range all {
		c.stop()
	}
	err := s.wait(ctx)
	if e := s.options.HTTP.Close(); err == nil {
		err = e
	}
	return err
}

// Stopping reports whether Stop was called.
func (s *Server) Stopping() bool {
	return s.stopping.Load()
}

// wait waits until there is no connection.
func (s *Server) wait(ctx context.Context) error {
	for {
		s.mu.Lock()
		n, changed := len(s.conns), s.changed
		s.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
