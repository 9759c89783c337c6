package keepalive

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// acceptLast is how long connections that clients have opened before a planned stop are
// accepted before the listener closes, which would reset them.
const acceptLast = 20 * time.Millisecond

// listener accepts a server's connections.
type listener struct {
	net.Listener
	server *Server
	// stopping is closed when a planned stop begins, and drained once no more
	// connections are accepted.
	stopping chan struct{}
	drained  chan struct{}
	// closed is closed by Close.
	closed    chan struct{}
	closeOnce sync.Once
	// last is true once connections are accepted for the last time. Only Accept uses it.
	last bool
}

// deadliner is a listener whose Accept can be bounded.
type deadliner interface {
	SetDeadline(t time.Time) error
}

func newListener(l net.Listener, s *Server) *listener {
	return &listener{
		Listener: l,
		server:   s,
		stopping: make(chan struct{}),
		drained:  make(chan struct{}),
		closed:   make(chan struct{}),
	}
}

// Accept implements net.Listener. Once a planned stop has closed the listener it waits for
// Close, since the HTTP server takes an error before that for a failure.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.accept()
	if err == nil {
		return l.server.add(c), nil
	}
	select {
	case <-l.stopping:
	default:
		return nil, err
	}
	// An error says that it is closed.
	_ = l.Listener.Close()
	close(l.drained)
	<-l.closed
	return nil, net.ErrClosed
}

// accept accepts a connection. Once a planned stop has interrupted it, it goes on for
// acceptLast.
func (l *listener) accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil || l.last || !errors.Is(err, os.ErrDeadlineExceeded) {
		return c, err
	}
	l.last = true
	if err := l.Listener.(deadliner).SetDeadline(time.Now().Add(acceptLast)); err != nil {
		return nil, err
	}
	return l.Listener.Accept()
}

// stop accepts the connections that clients have opened and closes the listener, unless ctx
// ends before.
func (l *listener) stop(ctx context.Context) {
	close(l.stopping)
	x, ok := l.Listener.(deadliner)
	if !ok || x.SetDeadline(time.Now()) != nil {
		// Accept fails then, and goes on as after the deadline.
		_ = l.Listener.Close()
	}
	select {
	case <-l.drained:
	case <-l.closed:
	case <-ctx.Done():
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
	})
	if err := l.Listener.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
