package dispatch

import (
	"context"
	"sync"
	"time"

	"heatherford/core/admission"
	"heatherford/core/budget"
	"heatherford/core/code"
	"heatherford/core/intent"
	"heatherford/core/outcome"
	"heatherford/core/snapshot"
	"heatherford/core/store"
	"heatherford/core/timeline"
	"heatherford/core/work"
)

// Options are the seams of a Dispatcher. All are required but Once, Reported
// and Independent.
type Options struct {
	// Self is the name of this host.
	Self string
	// Snapshot returns the view to decide by.
	Snapshot func() *snapshot.Snapshot
	// Serving returns an error while no request may be run by the view. Nil
	// stands for a view that always serves.
	Serving func() error
	// Send sends a request to an endpoint that this host owns.
	Send func(ctx context.Context, e intent.Endpoint, r *work.Request) (*work.Answer, error)
	// Carry passes a request on to another host.
	Carry func(ctx context.Context, h store.Host, r *work.Request) (*work.Answer, error)
	// Once runs work that may not be repeated: it calls run at most once for
	// each key. Nil stands for a direct call.
	Once func(ctx context.Context, r *work.Request, run Run) (*work.Answer, error)
	// Record adds an event to the time line.
	Record func(e timeline.Event)
	// Results takes how each request ended.
	Results *outcome.Recorder
	// Reported returns the share of an endpoint's slots that it last reported
	// as in use. It is set only if Independent is.
	Reported func(endpoint string) float64
	// Independent makes this host choose endpoints by the load that they report,
	// whoever owns them.
	Independent bool
	// Now returns the time.
	Now func() time.Time
}

// Run runs a request and returns the head of its answer.
type Run func(ctx context.Context, r *work.Request) (*work.Answer, error)

// Dispatcher carries requests. It is safe for concurrent use.
type Dispatcher struct {
	options  Options
	refusals refusals
	// racing are the goroutines of sendings. None is added once closed is true.
	racing sync.WaitGroup
	mu     sync.Mutex
	closed bool
	// gates holds a gate for every upstream that this host has owned endpoints
	// of, budgets a budget for every upstream it has sent work for.
	gates   map[string]*admission.Gate
	budgets map[string]*budget.Budget
	// ledgers holds a *quota.Ledger for every endpoint's name that was asked for.
	ledgers sync.Map
	// mute holds until when nothing is passed back to a host, by name, as a
	// time.Time.
	mute sync.Map
}

// New returns a dispatcher with the options.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		options: o,
		gates:   map[string]*admission.Gate{},
		budgets: map[string]*budget.Budget{},
	}
}

// Close waits for sendings that were cancelled. Later requests are not hedged.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.racing.Wait()
}

// spawn runs f in a goroutine that Close waits for, or at once after Close.
func (d *Dispatcher) spawn(f func()) {
	d.mu.Lock()
	if !d.closed {
		d.racing.Go(f)
		f = func() {}
	}
	d.mu.Unlock()
	f()
}

// Do carries r and returns the answer. An error's code says whether r was run.
// The context ends when the caller goes away.
func (d *Dispatcher) Do(ctx context.Context, r *work.Request) (*work.Answer, error) {
	started := d.options.Now()
	if !started.Before(r.Deadline) && (r.Kind.Repeatable || r.Dispatched) {
		err := code.New(code.DeadlinePassed, "dispatch: the deadline passed before the request was started")
		d.record(r, started, err)
		return nil, err
	}
	d.note(r, r.Kind.Name, "request taken")
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	a, err := d.run(ctx, r)
	if err != nil {
		cancel()
		d.record(r, started, err)
		return nil, err
	}
	a.Body = &body{
		ReadCloser: a.Body,
		done: func(err error) {
			cancel()
			d.record(r, started, err)
		},
	}
	return a, nil
}

func (d *Dispatcher) run(ctx context.Context, r *work.Request) (*work.Answer, error) {
	route := d.route
	if d.options.Independent {
		route = d.independent
	}
	if r.Kind.Repeatable {
		return d.retry(ctx, r, route)
	}
	if d.options.Once == nil || r.Dispatched {
		return route(ctx, r)
	}
	return d.options.Once(ctx, r, route)
}
