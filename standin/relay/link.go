package relay

import (
	"net"
	"sync"
	"time"
)

const bufferSize = 32 << 10

// link is one connection through the relay. It is safe for concurrent use.
type link struct {
	near *net.TCPConn
	// delay is how long bytes take one way. It is fixed before run.
	delay time.Duration

	mu     sync.Mutex
	far    *net.TCPConn
	silent bool
	isCut  bool
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
	for {
		n, err := from.Read(b)
		if l.isSilent() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if l.delay > 0 {
				<-time.After(l.delay)
			}
			if _, e := to.Write(b[:n]); e != nil {
				// The other end's carrier sees the failure.
				_ = from.CloseRead()
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite()
			return
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
