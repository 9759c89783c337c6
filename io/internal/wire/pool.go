package wire

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/time/rate"
)

// idleTimeout is how long an unused connection is kept.
const idleTimeout = 30 * time.Second

// Options describe a pool.
type Options struct {
	Address netip.AddrPort
	// Host is the name that requests address; empty stands for Address.
	Host string
	// Dial opens a connection to the address; nil stands for plain TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Connections is the most open connections, at least 1. An exchange that
	// finds them all in use waits for one.
	Connections int
	// DialsPerSecond and DialBurst bound new connections.
	DialsPerSecond float64
	DialBurst      int
	// IDHeader names the header that carries an exchange's identifier and that
	// the peer echoes. Empty stands for a peer that echoes none: a second copy of
	// an earlier answer may then be taken for an answer.
	IDHeader string
	// Whole is the longest body that is read whole before Do returns.
	Whole int
	// MaxAnswer is the longest body that is taken at all.
	MaxAnswer int64
	// Settle makes a cancelled exchange wait until the peer has closed the
	// connection, so that Failure.MayRun is known.
	Settle bool
	// Silent is called for each connection that is closed for want of
	// progress, with the number of siblings closed with it. Nil stands for
	// nothing.
	Silent func(siblings int)
	// MinSilence is the shortest wait for an answer's head before a connection
	// counts as silent; zero stands for 150 ms.
	MinSilence time.Duration
	// Proofless says that the peer sends no 100 Continue, so that no body is
	// held back for it. A call that must be sent only once then uses an idle
	// connection if that was used within OnceIdle, else a new one.
	Proofless bool
	OnceIdle  time.Duration
	// Patient makes calls wait for a silent peer until their deadline, where the sender
	// itself judges how long is too long. Calls that must be sent only once always do.
	Patient bool
	// CloseFramed accepts an answer that states no length and ends with its
	// connection.
	CloseFramed bool
	// SkipForeign is the most answers to other requests that are read and
	// dropped before the awaited one. They can only come on a used connection.
	SkipForeign int
	// Idle is how long an unused connection is kept unless the peer states a
	// shorter time; zero stands for 30 s.
	Idle time.Duration
}

// Counts are what a pool has seen.
type Counts struct {
	Dials uint64
	// Proofs are requests that were held back until a 100 Continue.
	Proofs uint64
	// Unproved are requests that took a fresh connection for want of it.
	Unproved uint64
	// Silent are connections that were closed for want of progress.
	Silent uint64
	// Distrusted are idle connections that were closed because a sibling was
	// silent.
	Distrusted uint64
}

// Pool keeps the connections to one address. It is safe for concurrent use.
type Pool struct {
	options Options
	dials   *rate.Limiter
	pace    pace
	// open holds one element for each open connection.
	open chan struct{}

	mu sync.Mutex
	// idle is ordered by idleSince; the newest goes first out.
	idle   []*conn
	counts Counts
	// unproved is the number of proofs in a row that did not come.
	unproved int
	closed   bool
	// freed is closed and replaced when a connection becomes idle or is closed.
	freed chan struct{}
}

// New returns a pool without connections.
func New(o Options) *Pool {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	if o.Host == "" {
		o.Host = o.Address.String()
	}
	if o.Idle == 0 {
		o.Idle = idleTimeout
	}
	if o.MinSilence == 0 {
		o.MinSilence = minHeadSilence
	}
	return &Pool{
		options: o,
		pace: pace{
			least: o.MinSilence,
		},
		dials: rate.NewLimiter(rate.Limit(o.DialsPerSecond), max(1, o.DialBurst)),
		open:  make(chan struct{}, max(1, o.Connections)),
		freed: make(chan struct{}),
	}
}

// Counts returns what the pool has seen.
func (p *Pool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Close closes all idle connections, and others after their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// take returns an idle connection for the call that was used within the given time, or
// a new one; with fresh, always a new one.
func (p *Pool) take(ctx context.Context, q *Call, fresh bool, within time.Duration) (*conn, bool, error) {
	for {
		wait := p.freedSignal()
		if !fresh {
			if c := p.reuse(q, within); c != nil {
				return c, true, nil
			}
		}
		select {
		case p.open <- struct{}{}:
			c, err := p.dial(ctx)
			return c, false, err
		default:
		}
		// Idle connections that this call may not use must not keep it waiting.
		if (fresh || within < p.options.Idle) && p.evict() {
			continue
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
}

func (p *Pool) freedSignal() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.freed
}

// reuse returns the newest idle connection that is fit for the call, or nil. It was
// used within the given time.
func (p *Pool) reuse(q *Call, within time.Duration) *conn {
	for {
		c := p.pop(within)
		if c == nil {
			return nil
		}
		tells := p.options.IDHeader == "" || c.tells(q.ID)
		if time.Since(c.idleSince) < c.keep && tells && c.clean() {
			return c
		}
		p.discard(c)
	}
}

func (p *Pool) pop(within time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	if time.Since(c.idleSince) > within {
		return nil
	}
	p.idle = p.idle[:n-1]
	return c
}

// Lost reports whether the peer has closed an idle connection. It does not block.
func (p *Pool) Lost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		if n, err := c.peek(); n <= 0 && !errors.Is(err, syscall.EAGAIN) {
			return true
		}
	}
	return false
}

// evict closes the connection that was idle the longest and reports whether
// there was one.
func (p *Pool) evict() bool {
	p.mu.Lock()
	if len(p.idle) == 0 {
		p.mu.Unlock()
		return false
	}
	c := p.idle[0]
	p.idle = p.idle[1:]
	p.mu.Unlock()
	p.discard(c)
	return true
}

// dial opens a connection at the bounded rate. The caller holds a place in
// open, which dial gives back on failure.
func (p *Pool) dial(ctx context.Context) (*conn, error) {
	c, err := p.connect(ctx)
	if err != nil {
		<-p.open
		p.signal()
		return nil, err
	}
	x := newConn(c)
	x.keep = p.options.Idle
	return x, nil
}

func (p *Pool) connect(ctx context.Context) (net.Conn, error) {
	if p.isClosed() {
		return nil, ErrClosed
	}
	if err := p.dials.Wait(ctx); err != nil {
		return nil, errors.Join(context.DeadlineExceeded, err)
	}
	p.count(func(c *Counts) { c.Dials++ })
	return p.options.Dial(ctx, "tcp", p.options.Address.String())
}

func (p *Pool) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// give takes c back after a whole exchange.
func (p *Pool) give(c *conn) {
	c.within(time.Time{})
	c.idleSince = time.Now()
	p.mu.Lock()
	keep := !p.closed && c.reader.Buffered() == 0
	if keep {
		p.idle = append(p.idle, c)
	}
	expired := p.expired()
	p.mu.Unlock()
	if !keep {
		p.discard(c)
	}
	for _, x := range expired {
		p.discard(x)
	}
	p.signal()
}

// expired takes out the connections that were idle for too long.
func (p *Pool) expired() []*conn {
	n := 0
	for n < len(p.idle) && time.Since(p.idle[n].idleSince) >= p.idle[n].keep {
		n++
	}
	old := p.idle[:n:n]
	p.idle = p.idle[n:]
	return old
}

// discard closes c, which is neither idle nor in use any more.
func (p *Pool) discard(c *conn) {
	_ = c.Close()
	<-p.open
	p.signal()
}

func (p *Pool) signal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.freed)
	p.freed = make(chan struct{})
}

// distrust closes the idle connections from which nothing was heard since a
// sibling's exchange began that ended in silence.
func (p *Pool) distrust(since time.Time) {
	p.mu.Lock()
	p.counts.Silent++
	old := []*conn{}
	kept := []*conn{}
	for _, c := range p.idle {
		if c.idleSince.Before(since) {
			old = append(old, c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	p.counts.Distrusted += uint64(len(old))
	p.mu.Unlock()
	for _, c := range old {
		p.discard(c)
	}
	if p.options.Silent != nil {
		p.options.Silent(len(old))
	}
}

func (p *Pool) count(f func(c *Counts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.counts)
}
