package listen

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// minAcceptDelay and maxAcceptDelay bound the delay after a connection that could not
	// be accepted. It doubles with each failure in a row.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// retrying is a listener that goes on after errors.
type retrying struct {
	net.Listener
	failed func(err error, delay time.Duration)
	closed chan struct{}
	once   sync.Once
}

// Retrying returns a listener that accepts on after any error of l but those by which l can
// accept no more: what a kernel reports of one connection, or a want of buffers or files,
// does not end the listener. Failed is called for each such error, with the delay until the next try.
func Retrying(l net.Listener, failed func(err error, delay time.Duration)) net.Listener {
	return &retrying{
		Listener: l,
		failed:   failed,
		closed:   make(chan struct{}),
	}
}

// isFinal reports whether a listener can accept nothing after an error.
func isFinal(err error) bool {
	for _, e := range []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Accept implements net.Listener.
func (r *retrying) Accept() (net.Conn, error) {
	for d := minAcceptDelay; ; d = min(2*d, maxAcceptDelay) {
		c, err := r.Listener.Accept()
		if err == nil || isFinal(err) {
			return c, err
		}
		r.failed(err, d)
		select {
		case <-time.After(d):
		case <-r.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close implements net.Listener.
func (r *retrying) Close() error {
	r.once.Do(func() { close(r.closed) })
	return r.Listener.Close()
}
