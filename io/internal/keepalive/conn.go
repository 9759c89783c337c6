package keepalive

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// lastLook is how long a connection that is about to close as unused is read once
	// more, so that a request that has arrived while this host did not run is taken.
	lastLook = time.Millisecond
	// firstWait is how long a connection without a request is kept in a planned stop,
	// counted from its begin: the client's first request may be on its way.
	firstWait = 500 * time.Millisecond
)

// phase is what a connection is used for.
type phase string

const (
	// phaseIdle stands for no byte of a request.
	phaseIdle phase = "idle"
	// phaseHead stands for a request that no handler has yet.
	phaseHead phase = "head"
	// phaseRequest stands for a request in progress.
	phaseRequest phase = "request"
	// phaseAnswer stands for an answer that could not be written.
	phaseAnswer phase = "answer"
)

// conn is a client's connection. It is safe for concurrent use.
type conn struct {
	net.Conn
	server *Server

	mu    sync.Mutex
	phase phase
	// since is when the phase began.
	since time.Time
	// kept is true once a request was answered.
	kept bool
	// parsed is true from when the server has read a request's whole head until its
	// answer.
	parsed bool
	// ahead is true if a byte of the next request was read before the answer.
	ahead bool
	// stopping is true once the connection is to end as soon as it is unused.
	stopping bool
	// deadline is the read deadline that the HTTP server has set.
	deadline time.Time
	// idleUntil is when the connection closes as unused, by the idle time in force
	// when it was last armed; zero stands for never.
	idleUntil time.Time
	// request is the identifier of the newest request.
	request string
	// ending does not change once it is set.
	ending ending
	// unusedErr is the error of all reads once the connection has closed as unused.
	unusedErr error
	// told is true once the end was logged.
	told bool
}

// connOf returns the connection that the HTTP server was given.
func connOf(c net.Conn) *conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	x, _ := c.(*conn)
	return x
}

// Read implements net.Conn. It fails without reading once the connection is closed as
// unused.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.closedUnused(); err != nil {
		return 0, err
	}
	for looked := false; ; {
		n, err := c.Conn.Read(b)
		if c.settle(n, len(b), err, &looked) {
			return n, err
		}
	}
}

// closedUnused returns the error of reads if the connection has closed as unused. The HTTP
// server may read on after an error, with the part of a line before it.
func (c *conn) closedUnused() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unusedErr
}

// settle takes in the result of a read. It reports false if the connection is to be read
// again. Looked is true if the next deadline is the last.
func (c *conn) settle(n, size int, err error, looked *bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.take(size)
		return true
	}
	if err == nil {
		return true
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.end(endingOf(err))
		return true
	}
	if c.interrupted() {
		return true
	}
	if !c.unused() {
		c.end(endingOf(err))
		return true
	}
	now := time.Now()
	c.arm()
	if d := c.readDeadline(); d.IsZero() || now.Before(d) {
		*looked = false
		return c.Conn.SetReadDeadline(d) != nil
	}
	if !*looked {
		*looked = true
		return c.Conn.SetReadDeadline(now.Add(lastLook)) != nil
	}
	c.unusedErr = err
	c.end(c.unusedEnding(err))
	return true
}

// take records that bytes were read. The caller holds mu.
func (c *conn) take(size int) {
	switch {
	case c.unused():
		c.request = ""
		c.enter(phaseHead)
		// An error says that the connection has ended, which the next read finds.
		_ = c.Conn.SetReadDeadline(c.readDeadline())
	case c.parsed && size == 1:
		// While a request is in progress, the HTTP server reads one byte to
		// learn whether the client has gone.
		c.ahead = true
	}
}

// unused reports whether no byte of a request was read since the last answer. The caller
// holds mu.
func (c *conn) unused() bool {
	return c.phase == phaseIdle && !c.parsed
}

// interrupted reports whether the HTTP server makes its own reads fail, by a deadline that
// has long passed. The caller holds mu.
func (c *conn) interrupted() bool {
	return !c.deadline.IsZero() && c.deadline.Before(c.since)
}

// arm sets idleUntil by the idle time in force, and never to an earlier time. The caller
// holds mu.
func (c *conn) arm() {
	if !c.kept {
		return
	}
	d := c.server.options.IdleTimeout()
	if d <= 0 {
		c.idleUntil = time.Time{}
		return
	}
	if t := c.since.Add(d); t.After(c.idleUntil) {
		c.idleUntil = t
	}
}

// readDeadline returns the deadline of reads; the zero value stands for none. The caller
// holds mu.
func (c *conn) readDeadline() time.Time {
	switch {
	case c.unused() && c.stopping && c.kept:
		return c.since
	case c.unused() && c.stopping:
		return earlier(c.deadline, c.since.Add(firstWait))
	case c.unused():
		return earlier(c.deadline, c.idleUntil)
	case !c.parsed && c.deadline.IsZero():
		// The HTTP server waits for the first bytes of a head without a limit.
		return c.since.Add(c.server.options.HeaderTimeout)
	default:
		return c.deadline
	}
}

// earlier returns the earlier of two times, of which the zero value counts as none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func (c *conn) unusedEnding(err error) ending {
	e := ending{
		by:  byHost,
		how: howIdle,
		err: err,
	}
	if c.stopping {
		e.how = howStop
	}
	return e
}

// SetReadDeadline implements net.Conn. An unused connection ends at the earlier of t and
// its idle time.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.unused() && c.kept && !t.IsZero() {
		// The HTTP server bounds the reading of a head of which it has buffered a part.
		c.request = ""
		c.enter(phaseHead)
	}
	return c.Conn.SetReadDeadline(c.readDeadline())
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// stop ends the connection as soon as it is unused.
func (c *conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
	if c.unused() {
		// An error says that the connection has ended.
		_ = c.Conn.SetReadDeadline(c.readDeadline())
	}
}

// change follows the state that the HTTP server gives the connection.
func (c *conn) change(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == http.StateActive {
		c.parsed = true
		// An error says that the connection has ended, which the next read finds.
		_ = c.Conn.SetReadDeadline(c.readDeadline())
	}
	if s == http.StateIdle {
		c.rest()
	}
}

// rest records that the answer was written. The caller holds mu.
func (c *conn) rest() {
	c.parsed = false
	c.kept = true
	c.idleUntil = time.Time{}
	if c.ahead {
		c.ahead = false
		c.request = ""
		c.enter(phaseHead)
		return
	}
	c.enter(phaseIdle)
	c.arm()
}

// begin records that a handler has the request.
func (c *conn) begin(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = request
	if c.phase != phaseRequest {
		c.enter(phaseRequest)
	}
}

// abandoned logs that the request's context ended before its answer.
func (c *conn) abandoned() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tell()
}

// enter begins a phase. The caller holds mu.
func (c *conn) enter(p phase) {
	c.phase = p
	c.since = time.Now()
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.end(endingOf(err))
		if c.phase == phaseRequest {
			c.enter(phaseAnswer)
		}
		c.tell()
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.end(ending{
		by:  byHost,
		how: howClosed,
	})
	if c.phase == phaseHead {
		c.tell()
	}
	c.mu.Unlock()
	err := c.Conn.Close()
	c.server.remove(c)
	return err
}

// SetLinger sets what Close does with bytes that the client has not received, as
// net.TCPConn.SetLinger does. It does nothing on a connection that is not TCP.
func (c *conn) SetLinger(sec int) error {
	if x, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return x.SetLinger(sec)
	}
	return nil
}

// CloseWrite closes the sending half.
func (c *conn) CloseWrite() error {
	if x, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return x.CloseWrite()
	}
	return nil
}
