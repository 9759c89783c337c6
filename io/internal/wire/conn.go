package wire

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// maxHeadBytes bounds an answer's head.
	maxHeadBytes = 64 << 10
	// settleTimeout is the longest wait for a peer to close a connection after
	// its request was cancelled.
	settleTimeout = 500 * time.Millisecond
	// rememberedIDs is the number of last requests whose identifiers a connection
	// remembers.
	rememberedIDs = 8
)

// conn is one connection. Only the exchange that took it from its pool uses
// it, but for expire, which may be called at any time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleSince is when the last exchange ended, at which something was heard.
	idleSince time.Time
	// keep is how long the connection may stay unused.
	keep time.Duration
	// budget is the number of bytes that may still be read.
	budget int64
	// quotes is true if the head of an answer has held the beginning of another
	// head.
	quotes bool
	// recording is true while a head is read, and head holds what was received of it
	// and behind it.
	recording bool
	head      []byte
	// ids are the identifiers of the last requests, the newest last.
	ids []string

	mu sync.Mutex
	// expired is true once the exchange was cancelled; no deadline is set after
	// it.
	expired bool
}

func newConn(c net.Conn) *conn {
	x := &conn{
		Conn: c,
	}
	x.reader = bufio.NewReader(limitedReader{
		conn: x,
	})
	return x
}

// remember notes the identifier of a request that the connection carries.
func (c *conn) remember(id string) {
	c.ids = append(c.ids, id)
	if n := len(c.ids) - rememberedIDs; n > 0 {
		c.ids = c.ids[n:]
	}
}

// tells reports whether an answer to a request with the identifier can be told from
// answers to the last requests.
func (c *conn) tells(id string) bool {
	return id != "" && !slices.Contains(c.ids, id)
}

// readHead reads the head of an answer and returns it in raw form, too, which is valid
// until the next call.
func (c *conn) readHead(q *http.Request) (*http.Response, []byte, error) {
	b, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, nil, err
	}
	c.head = append(c.head[:0], b...)
	c.recording = true
	a, err := http.ReadResponse(c.reader, q)
	c.recording = false
	if err != nil {
		return nil, nil, err
	}
	return a, c.head[:len(c.head)-c.reader.Buffered()], nil
}

// limitedReader reads from a connection within its budget.
type limitedReader struct {
	conn *conn
}

// Read implements io.Reader.
func (l limitedReader) Read(p []byte) (int, error) {
	c := l.conn
	if c.budget <= 0 {
		return 0, ErrTooLarge
	}
	if int64(len(p)) > c.budget {
		p = p[:c.budget]
	}
	n, err := c.Read(p)
	c.budget -= int64(n)
	if c.recording {
		c.head = append(c.head, p[:n]...)
	}
	return n, err
}

// within sets the deadline of reads and writes unless the exchange was
// cancelled.
func (c *conn) within(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.expired {
		_ = c.SetDeadline(t)
	}
}

// watch makes reads and writes fail once ctx ends. The returned function ends
// the watch and reports whether ctx had not ended.
func (c *conn) watch(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, c.expire)
}

func (c *conn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expired = true
	_ = c.SetDeadline(time.Unix(1, 0))
}

// settle tells the peer that nobody waits for the answer any more, and reports
// whether the peer closed the connection in turn: until then it may still be at
// work.
func (c *conn) settle() bool {
	t, ok := c.Conn.(*net.TCPConn)
	if !ok || t.CloseWrite() != nil || t.SetReadDeadline(time.Now().Add(settleTimeout)) != nil {
		return false
	}
	_, err := io.Copy(io.Discard, t)
	return err == nil || errors.Is(err, syscall.ECONNRESET)
}

// clean reports whether an idle connection is open and nothing was received on
// it since its last answer.
func (c *conn) clean() bool {
	n, err := c.peek()
	return c.reader.Buffered() == 0 && n <= 0 && errors.Is(err, syscall.EAGAIN)
}

// stray reports whether bytes were received that belong to no answer.
func (c *conn) stray() bool {
	n, _ := c.peek()
	return c.reader.Buffered() > 0 || n > 0
}

// peek looks for a byte that was received but not read. It does not block: the
// error is syscall.EAGAIN if there is none yet, and n is 0 without an error if
// the peer has closed the connection.
func (c *conn) peek() (n int, err error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return -1, syscall.EAGAIN
	}
	r, err := s.SyscallConn()
	if err != nil {
		return -1, err
	}
	// A passed deadline would fail the call below.
	c.within(time.Time{})
	b := [1]byte{}
	e := r.Read(func(fd uintptr) bool {
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if e != nil {
		return -1, e
	}
	return n, err
}
