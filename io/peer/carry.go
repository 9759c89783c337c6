package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"heatherford/core"
	"heatherford/core/code"
	"heatherford/core/store"
	"heatherford/core/timeline"
	"heatherford/core/work"
	"heatherford/io/internal/carry"
	"heatherford/io/internal/refuse"
	"heatherford/io/internal/stamp"
	"heatherford/io/internal/wire"
)

const (
	// hopConnections is the most connections that carry requests to one host.
	hopConnections = 64
	// hopDialsPerSecond and hopDialBurst bound new ones.
	hopDialsPerSecond = 100
	hopDialBurst      = 32
	// hopSilence is the shortest wait for a host's answer before the connection
	// counts as silent. It leaves time to wait for a slot there.
	hopSilence = 400 * time.Millisecond
	// hopWhole and hopMaxAnswer bound answers as io/upstream does.
	hopWhole     = 64 << 10
	hopMaxAnswer = 64 << 20
)

// carrier passes requests on to other hosts. It is safe for concurrent use.
type carrier struct {
	kernel *core.Kernel
	dialer *dialer

	mu    sync.Mutex
	pools map[netip.AddrPort]*wire.Pool
}

func newCarrier(k *core.Kernel, d *dialer) *carrier {
	return &carrier{
		kernel: k,
		dialer: d,
		pools:  map[netip.AddrPort]*wire.Pool{},
	}
}

// close closes all idle connections.
func (c *carrier) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.Close()
	}
}

func (c *carrier) pool(a netip.AddrPort) *wire.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[a]
	if !ok {
		p = wire.New(wire.Options{
			Address:        a,
			Dial:           c.dialer.dial,
			Connections:    hopConnections,
			DialsPerSecond: hopDialsPerSecond,
			DialBurst:      hopDialBurst,
			IDHeader:       work.HeaderHop,
			Whole:          hopWhole,
			MaxAnswer:      hopMaxAnswer,
			MinSilence:     hopSilence,
			Silent: func(siblings int) {
				c.kernel.Metrics.Counter("peer_connections_silent").Inc(1)
				c.kernel.Record(timeline.Event{
					Kind:    timeline.KindMember,
					Subject: a.String(),
					Text:    fmt.Sprintf("silent connection closed with %d idle siblings", siblings),
				})
			},
		})
		c.pools[a] = p
	}
	return p
}

// carry passes r on to h and returns the answer.
func (c *carrier) carry(ctx context.Context, h store.Host, r *work.Request) (*work.Answer, error) {
	a, err := c.hop(ctx, h, r)
	if f := (*wire.Failure)(nil); errors.As(err, &f) {
		return nil, hopError(ctx, h, r, f)
	}
	return a, err
}

// pass is carry to the home of a ticket or key. The error is PeerUnreachable if
// the home gave no answer of its own.
func (c *carrier) pass(ctx context.Context, h store.Host, r *work.Request) (*work.Answer, error) {
	a, err := c.hop(ctx, h, r)
	if f := (*wire.Failure)(nil); errors.As(err, &f) {
		return nil, code.Wrap(code.PeerUnreachable, err, "peer: no answer from host %q", h.Name)
	}
	return a, err
}

// hop passes r on. The error is a *wire.Failure if h gave no answer of its own.
func (c *carrier) hop(ctx context.Context, h store.Host, r *work.Request) (*work.Answer, error) {
	if !work.Start(ctx) {
		return nil, code.New(code.RequestCancelled, "peer: cancelled before the request was passed on")
	}
	q := c.newCall(r)
	p := c.pool(h.PeerAddress)
	a, err := p.Do(ctx, q)
	if r.Kind.Repeatable && wire.WorthRetry(ctx, err, r.Again) {
		q.ID = work.NewID()
		q.Fresh = true
		a, err = p.Do(ctx, q)
	}
	if err != nil {
		return nil, err
	}
	stamp.Observe(c.kernel.Clock, a.Header)
	a.Header.Del(stamp.Header)
	a.Header.Del(work.HeaderHop)
	if n, _ := strconv.Atoi(a.Header.Get(work.HeaderCode)); code.Code(n) != code.Answered {
		defer a.Body.Close()
		if e := a.Header.Get(work.HeaderEndpoint); e != "" {
			r.Tried = append(r.Tried, e)
		}
		return nil, refusal(r, a)
	}
	return &work.Answer{
		Status:   a.Status,
		Header:   a.Header,
		Body:     a.Body,
		Length:   a.Length,
		Host:     a.Header.Get(work.HeaderHost),
		Endpoint: a.Header.Get(work.HeaderEndpoint),
	}, nil
}

// newCall returns the call that carries r.
func (c *carrier) newCall(r *work.Request) *wire.Call {
	h := r.Header.Clone()
	h.Set(work.HeaderRequestID, r.ID)
	h.Set(work.HeaderDeadline, r.Deadline.UTC().Format(time.RFC3339Nano))
	h.Set(work.HeaderCaller, r.Caller.String())
	h.Set(work.HeaderRank, r.RankName)
	h.Set(stamp.Header, c.kernel.Clock.Now().String())
	if r.Key != "" {
		h.Set(work.HeaderIdempotencyKey, r.Key)
	}
	if r.Ticket != "" {
		h.Set(work.HeaderTicket, r.Ticket)
	}
	if len(r.Tried) > 0 {
		h.Set(work.HeaderTried, strings.Join(r.Tried, ","))
	}
	if r.Immediate {
		h.Set(work.HeaderImmediate, "1")
	}
	if r.Dispatched {
		h.Set(work.HeaderDispatched, "1")
	}
	return &wire.Call{
		ID:     work.NewID(),
		Method: r.Method,
		Path:   carry.WorkPrefix + r.Kind.Name + r.Path,
		Header: h,
		Body:   r.Body,
		Once:   !r.Kind.Repeatable,
	}
}

// refusal returns the error that another host answered with.
func refusal(r *work.Request, a *wire.Reply) error {
	b := refuse.Body{}
	if err := json.NewDecoder(a.Body).Decode(&b); err != nil || b.Code == 0 {
		return code.New(code.OutcomeUnknown, "peer: the hop for request %q gave no code", r.ID)
	}
	return code.New(b.Code, "peer: %s", b.Message)
}

func hopError(ctx context.Context, h store.Host, r *work.Request, f *wire.Failure) error {
	n := code.OutcomeUnknown
	switch {
	case !f.Sent && errors.Is(ctx.Err(), context.Canceled):
		n = code.RequestCancelled
	case !f.Sent && ctx.Err() != nil:
		n = code.DeadlinePassed
	case !f.Sent:
		n = code.HopRefused
	case errors.Is(f, wire.ErrForeign):
		n = code.AnswerForeign
	case f.Silent, f.SilentBody():
		n = code.UpstreamSilent
	case f.Step == wire.StepBody:
		n = code.AnswerIncomplete
	case r.Kind.Repeatable:
		n = code.RepeatableNoAnswer
	}
	return code.Wrap(n, f, "peer: no whole answer from host %q", h.Name)
}
