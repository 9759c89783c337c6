package upstream

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"sync"

	"heatherford/core/code"
	"heatherford/core/intent"
	"heatherford/core/work"
	"heatherford/io/internal/wire"
)

// Headers between a host and an endpoint; docs/ADAPTERS.md describes each.
const (
	headerRequestID = "Request-Id"
	headerDeadline  = "Request-Deadline"
	headerNotRun    = "Upstream-Not-Run"
)

const (
	// wholeBytes is the longest answer that is checked whole before its first
	// byte goes on.
	wholeBytes = 64 << 10
	// maxAnswerBytes is the longest answer that is taken.
	maxAnswerBytes = 64 << 20
	// dialsPerSecond and dialBurst bound a host's new connections to one
	// endpoint, which needs about 1 ms for each.
	dialsPerSecond = 50
	// maxHosts is the number of hosts whose connections an endpoint has to bear
	// together.
	maxHosts = 32
	// connectionsPerSlot leaves room for new connections beside silent ones.
	connectionsPerSlot = 2
)

// Sender sends requests to endpoints. It is safe for concurrent use.
type Sender struct {
	// Silent is called for each connection to an endpoint that is closed for
	// want of progress, with the number of siblings closed with it. Nil stands
	// for nothing. It is not changed after the first Send.
	Silent func(endpoint string, siblings int)

	mu sync.Mutex
	// pools holds one pool for each endpoint's address and bound.
	pools map[poolKey]*wire.Pool
}

type poolKey struct {
	address     netip.AddrPort
	connections int
}

// New returns a sender without connections.
func New() *Sender {
	return &Sender{
		pools: map[poolKey]*wire.Pool{},
	}
}

// Close closes all idle connections.
func (s *Sender) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.Close()
	}
}

// Send sends r to e and returns the answer, whole if it is small. An error's
// code says whether r was run: work that may not be repeated is never sent
// again after its first byte, repeatable work once more on a new connection if
// a used one gave no whole answer.
func (s *Sender) Send(ctx context.Context, e intent.Endpoint, r *work.Request) (*work.Answer, error) {
	if !work.Start(ctx) {
		return nil, code.New(code.RequestCancelled, "upstream: cancelled before the request was sent to endpoint %q", e.Name)
	}
	p := s.pool(e)
	c := newCall(r)
	a, err := p.Do(ctx, c)
	if r.Kind.Repeatable && wire.WorthRetry(ctx, err, r.Again) && hasSlot(r, err) {
		c.ID = work.NewID()
		c.Fresh = true
		a, err = p.Do(ctx, c)
	}
	if err != nil {
		r.MayRun = mayRun(err)
		return nil, sendError(ctx, e, r, err)
	}
	if a.Header.Get(headerNotRun) != "" {
		a.Body.Close()
		if a.Status < http.StatusBadRequest {
			return nil, code.New(code.AnswerForeign, "upstream: endpoint %q reported a success and that it did not run the request", e.Name)
		}
		return nil, code.New(code.UpstreamRefused, "upstream: endpoint %q did not run the request", e.Name)
	}
	a.Header.Del(headerRequestID)
	return &work.Answer{
		Status: a.Status,
		Header: a.Header,
		Body: &coded{
			ReadCloser: a.Body,
		},
		Length:   a.Length,
		Endpoint: e.Name,
	}, nil
}

// newCall returns the call that carries r. Its identifier is the host's own,
// since callers' identifiers may collide.
func newCall(r *work.Request) *wire.Call {
	h := r.Header.Clone()
	if h == nil {
		h = map[string][]string{}
	}
	h.Set(headerDeadline, strconv.FormatInt(r.Deadline.UnixMilli(), 10))
	return &wire.Call{
		ID:     work.NewID(),
		Method: r.Method,
		Path:   r.Path,
		Header: h,
		Body:   r.Body,
		Once:   !r.Kind.Repeatable,
	}
}

// hasSlot reports whether a second sending of r stays within the endpoint's slots.
func hasSlot(r *work.Request, err error) bool {
	return !mayRun(err) || r.Resend == nil || r.Resend()
}

// mayRun reports whether the endpoint may still be at work on a request.
func mayRun(err error) bool {
	f := (*wire.Failure)(nil)
	return errors.As(err, &f) && f.MayRun
}

func (s *Sender) pool(e intent.Endpoint) *wire.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := connections(e)
	k := poolKey{
		address:     e.Address,
		connections: n,
	}
	p, ok := s.pools[k]
	if !ok {
		p = wire.New(wire.Options{
			Address:        e.Address,
			Connections:    n,
			DialsPerSecond: dialsPerSecond,
			DialBurst:      n,
			IDHeader:       headerRequestID,
			Whole:          wholeBytes,
			MaxAnswer:      maxAnswerBytes,
			Settle:         true,
			Silent: func(siblings int) {
				if s.Silent != nil {
					s.Silent(e.Name, siblings)
				}
			},
		})
		s.pools[k] = p
	}
	return p
}

// connections returns the most connections to e, such that those of all hosts
// together stay within what e takes.
func connections(e intent.Endpoint) int {
	n := connectionsPerSlot * e.Slots
	if e.Connections > 0 {
		n = min(n, max(e.Slots, e.Connections/maxHosts))
	}
	return max(1, n)
}
