package wire

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// proofSilence is the longest wait for a 100 Continue.
	proofSilence = 250 * time.Millisecond
	// writeSilence is the longest time that a write of writeChunk bytes may take, in a
	// call that may be sent again.
	writeSilence = time.Second
	writeChunk   = 64 << 10
	// maxInterim is the most interim answers before the final one.
	maxInterim = 8
)

// Reply is the head of an answer and its body, which the receiver closes.
type Reply struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the body's length in bytes, or -1 if it is streamed in chunks.
	Length int64
}

// exchange is a call in progress on a connection.
type exchange struct {
	pool    *Pool
	call    *Call
	conn    *conn
	message *message
	reused  bool
	started time.Time
	// deadline is the call's deadline, or zero.
	deadline time.Time
	// proof is true if the body is held back until a 100 Continue.
	proof bool
	// sent is true once the peer may have all of the request.
	sent bool
	// streamed is true once the receiver may have a part of the answer's body.
	streamed bool
	// unwatch ends the watch over the call's context.
	unwatch func() bool
}

// Do sends c, never more than once after the first byte of its body, and
// returns the answer. A body of at most Options.Whole bytes is read whole
// before; a longer one is streamed, and its reading fails unless it is whole.
// The error is a *Failure, or has a code if c cannot be encoded.
func (p *Pool) Do(ctx context.Context, c *Call) (*Reply, error) {
	// Without a body there is nothing to hold back, so that only the handshake
	// of a new connection can prove it alive.
	fresh := c.Fresh || (c.Once && !p.options.Proofless && (len(c.Body) == 0 || p.proofless()))
	for {
		x, err := p.begin(ctx, c, fresh)
		if err != nil {
			return nil, err
		}
		r, err := x.run()
		if f := (*Failure)(nil); errors.As(err, &f) && x.proof && !f.Sent && !x.sent && ctx.Err() == nil {
			p.proved(false)
			fresh = true
			continue
		}
		return r, err
	}
}

// begin takes a connection for c.
func (p *Pool) begin(ctx context.Context, c *Call, fresh bool) (*exchange, error) {
	x := &exchange{
		pool: p,
		call: c,
	}
	if t, ok := ctx.Deadline(); ok {
		x.deadline = t
	}
	k, reused, err := p.take(ctx, c, fresh, p.within(c))
	if err != nil {
		return nil, &Failure{
			Step:  StepDial,
			Cause: err,
		}
	}
	k.remember(c.ID)
	x.conn = k
	x.reused = reused
	x.proof = reused && c.Once && !p.options.Proofless
	x.started = time.Now()
	x.message, err = p.encode(c, x.proof)
	if err != nil {
		p.discard(k)
		return nil, err
	}
	if x.proof {
		p.count(func(c *Counts) { c.Proofs++ })
	}
	k.budget = maxHeadBytes
	x.unwatch = k.watch(ctx)
	return x, nil
}

// within returns how recently a connection must have been used to carry c.
func (p *Pool) within(c *Call) time.Duration {
	if c.Once && p.options.Proofless {
		return p.options.OnceIdle
	}
	return p.options.Idle
}

// run carries out the exchange on its connection.
func (x *exchange) run() (*Reply, error) {
	if x.proof {
		a, err := x.prove()
		if err != nil {
			return nil, x.fail(StepProof, err)
		}
		x.pool.proved(true)
		if a != nil {
			// The peer answered without the body.
			return x.reply(a, false)
		}
	}
	if err := x.write(); err != nil {
		return nil, x.fail(StepWrite, err)
	}
	a, err := x.head()
	if err != nil {
		return nil, x.fail(StepHead, err)
	}
	x.pool.pace.observe(time.Since(x.started))
	return x.reply(a, true)
}

// prove writes the head and waits for a 100 Continue. It returns a final
// answer if that came instead.
func (x *exchange) prove() (*http.Response, error) {
	x.conn.within(x.until(proofSilence))
	if _, err := x.conn.Write(x.message.head); err != nil {
		return nil, err
	}
	for range maxInterim {
		a, err := x.next()
		switch {
		case err != nil:
			return nil, err
		case a.StatusCode == http.StatusContinue:
			return nil, nil
		case a.StatusCode >= http.StatusOK:
			return a, nil
		case a.StatusCode == http.StatusSwitchingProtocols:
			return nil, ErrInterim
		}
	}
	return nil, ErrNoProof
}

// write writes what was not yet written of the request. From its first byte on
// the request counts as sent: the peer may act on a part.
func (x *exchange) write() error {
	b := x.message.body
	if !x.proof {
		b = append(x.message.head[:len(x.message.head):len(x.message.head)], b...)
	}
	for len(b) > 0 {
		// The deadline is on progress: a long body may take its time.
		x.conn.within(x.progressDeadline(writeSilence))
		n, err := x.conn.Write(b[:min(len(b), writeChunk)])
		x.sent = x.sent || n > 0
		if err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// head reads the head of the final answer. It drops answers to requests that
// the connection carried before.
func (x *exchange) head() (*http.Response, error) {
	for n := 0; ; n++ {
		a, err := x.final()
		if err != nil || !x.reused || n >= x.pool.options.SkipForeign || !errors.Is(x.check(a), ErrForeign) {
			return a, err
		}
		if _, err := io.Copy(io.Discard, a.Body); err != nil {
			return nil, err
		}
		if a.Close {
			return nil, ErrForeign
		}
		x.conn.budget = maxHeadBytes
	}
}

// final reads the head of the next answer that is not interim.
func (x *exchange) final() (*http.Response, error) {
	x.conn.within(x.headDeadline())
	for range maxInterim {
		a, err := x.next()
		if err != nil {
			return nil, err
		}
		if a.StatusCode >= http.StatusOK {
			return a, nil
		}
		if a.StatusCode == http.StatusSwitchingProtocols {
			return nil, ErrInterim
		}
	}
	return nil, ErrInterim
}

// headDeadline returns when the answer's head is overdue.
func (x *exchange) headDeadline() time.Time {
	if x.isPatient() {
		return x.deadline
	}
	return x.pool.pace.silence(time.Now(), x.deadline)
}

// progressDeadline returns when a read or write that makes no progress is given up: after
// d, or at the call's deadline if the call is patient. A patient call without a deadline
// ends once the connection is known to be dead.
func (x *exchange) progressDeadline(d time.Duration) time.Time {
	if x.isPatient() {
		return x.deadline
	}
	return x.until(d)
}

// isPatient reports whether a silent peer is waited for until the call's deadline. Giving
// up a call that must not be sent again, or an answer that was passed on in part, loses
// the answer and gains nothing.
func (x *exchange) isPatient() bool {
	return x.call.Once || x.pool.options.Patient || x.streamed
}

// until returns the time after d, but no later than the call's deadline.
func (x *exchange) until(d time.Duration) time.Time {
	t := time.Now().Add(d)
	if !x.deadline.IsZero() && x.deadline.Before(t) {
		return x.deadline
	}
	return t
}

// fail closes the connection and says why the exchange failed.
func (x *exchange) fail(s Step, err error) error {
	watched := x.unwatch()
	timeout := isTimeout(err) && watched && (x.deadline.IsZero() || time.Now().Before(x.deadline))
	settled := !x.sent || (!timeout && (!isTimeout(err) || (x.pool.options.Settle && x.conn.settle())))
	x.pool.discard(x.conn)
	if timeout {
		x.pool.distrust(x.started)
		if s == StepHead {
			x.pool.pace.backOff()
		}
	}
	return &Failure{
		Step:   s,
		Sent:   x.sent,
		Silent: timeout,
		MayRun: !settled,
		Reused: x.reused,
		Cause:  err,
	}
}
