package relay

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

const bufferSize = 32 << 10

// link is one connection through the relay. It is safe for concurrent use.
type link struct {
	near *net.TCPConn
	// source is the address that the connection came from.
	source netip.Addr
	// delay is how long bytes take one way. It is fixed before run.
	delay time.Duration

	mu     sync.Mutex
	far    *net.TCPConn
	silent bool
	isCut  bool
	// released is not nil while bytes are held up, and closed when they go on.
	released chan struct{}
}

// run carries bytes both ways until both ends are closed. A silent link takes
// bytes and passes nothing on, not even the end.
func (l *link) run(far *net.TCPConn) {
	l.mu.Lock()
	l.far = far
	cut := l.isCut
	l.mu.Unlock()
	if cut {
		reset(far)
		return
	}
	group := sync.WaitGroup{}
	group.Go(func() {
		l.carry(far, l.near)
	})
	group.Go(func() {
		l.carry(l.near, far)
	})
	group.Wait()
	_ = l.near.Close()
	_ = far.Close()
}

func (l *link) carry(to, from *net.TCPConn) {
	b := make([]byte, bufferSize)
	held := []byte{}
	for {
		n, err := from.Read(b)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			// The link was released.
			err = from.SetReadDeadline(time.Time{})
		}
		if l.isSilent() {
			if err != nil {
				return
			}
			continue
		}
		held = append(held, b[:n]...)
		if c := l.holding(); c != nil {
			if err == nil {
				continue
			}
			<-c
			if errors.Is(err, syscall.ECONNRESET) {
				l.cut()
				return
			}
		}
		if len(held) > 0 {
			if l.delay > 0 {
				<-time.After(l.delay)
			}
			if _, e := to.Write(held); e != nil {
				// The other end's carrier sees the failure.
				_ = from.CloseRead()
				return
			}
			held = held[:0]
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

// hold has the link hold bytes up until release.
func (l *link) hold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released == nil && !l.isCut {
		l.released = make(chan struct{})
	}
}

// holding returns a channel that is closed when bytes go on, or nil if they are not held up.
func (l *link) holding() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.released
}

// release has the link carry again, beginning with what was held up.
func (l *link) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released == nil {
		return
	}
	close(l.released)
	l.released = nil
	for _, c := range []*net.TCPConn{l.near, l.far} {
		if c != nil {
			// A carrier that waits for more has to look.
			_ = c.SetReadDeadline(time.Now())
		}
	}
}

func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = true
}

func (l *link) cut() {
	l.release()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = true
	reset(l.near)
	if l.far != nil {
		reset(l.far)
	}
}

// reset closes a connection so that its other end sees a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
