package dispatch

import (
	"context"
	"io"
	"sync"
	"time"

	"heatherford/core/admission"
	"heatherford/core/code"
	"heatherford/core/intent"
	"heatherford/core/snapshot"
	"heatherford/core/store"
	"heatherford/core/work"
)

// Options are the seams of a Dispatcher. All are required.
type Options struct {
	// Self is the name of this host.
	Self string
	// Snapshot returns the view to decide by.
	Snapshot func() *snapshot.Snapshot
	// Send sends a request to an endpoint that this host owns.
	Send func(ctx context.Context, e intent.Endpoint, r *work.Request) (*work.Answer, error)
	// Carry passes a request on to another host.
	Carry func(ctx context.Context, h store.Host, r *work.Request) (*work.Answer, error)
	// Now returns the time.
	Now func() time.Time
}

// Dispatcher carries requests. It is safe for concurrent use.
type Dispatcher struct {
	options Options
	mu      sync.Mutex
	// gates holds a gate for every endpoint that this host has owned.
	gates map[string]*admission.Gate
}

// New returns a dispatcher with the options.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		options: o,
		gates:   map[string]*admission.Gate{},
	}
}

// Do carries r and returns the answer. An error's code says whether r was run.
// The context ends when the caller goes away.
func (d *Dispatcher) Do(ctx context.Context, r *work.Request) (*work.Answer, error) {
	if !d.options.Now().Before(r.Deadline) {
		return nil, code.New(code.DeadlinePassed, "dispatch: the deadline passed before the request was started")
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	a, err := d.route(ctx, r)
	if err != nil {
		cancel()
		return nil, err
	}
	a.Body = closing(a.Body, cancel)
	return a, nil
}

func (d *Dispatcher) route(ctx context.Context, r *work.Request) (*work.Answer, error) {
	s := d.options.Snapshot()
	if e, ok := d.local(s, r); ok {
		return d.send(ctx, e, r)
	}
	if r.Hop {
		return nil, code.New(code.HopRefused, "dispatch: this host owns no endpoint of %q", r.Kind.Upstream)
	}
	l, ok := s.Table.Decide(r.Kind.Name, r.Caller)
	if !ok || !l.Found {
		return nil, code.New(code.NoEndpoint, "dispatch: no host owns an endpoint of %q", r.Kind.Upstream)
	}
	return d.options.Carry(ctx, l.Host, r)
}

// local returns the owned endpoint with the most room.
func (d *Dispatcher) local(s *snapshot.Snapshot, r *work.Request) (intent.Endpoint, bool) {
	best := intent.Endpoint{}
	room := 0
	found := false
	for _, e := range s.Owned[r.Kind.Upstream] {
		if e.Leaving {
			continue
		}
		n := d.gate(e).Room()
		if !found || n > room {
			best, room, found = e, n, true
		}
	}
	return best, found
}

func (d *Dispatcher) send(ctx context.Context, e intent.Endpoint, r *work.Request) (*work.Answer, error) {
	g := d.gate(e)
	if err := g.Acquire(ctx, r.Rank, r.Deadline); err != nil {
		return nil, err
	}
	a, err := d.options.Send(ctx, e, r)
	if err != nil {
		g.Release()
		return nil, err
	}
	a.Host = d.options.Self
	a.Body = closing(a.Body, g.Release)
	return a, nil
}

func (d *Dispatcher) gate(e intent.Endpoint) *admission.Gate {
	d.mu.Lock()
	defer d.mu.Unlock()
	g, ok := d.gates[e.Name]
	if !ok {
		g = admission.New(e.Slots)
		d.gates[e.Name] = g
	}
	return g
}

type closer struct {
	io.ReadCloser
	once sync.Once
	done func()
}

// closing returns a body that calls done once, after it was closed.
func closing(b io.ReadCloser, done func()) io.ReadCloser {
	return &closer{
		ReadCloser: b,
		done:       done,
	}
}

func (c *closer) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(c.done)
	return err
}
