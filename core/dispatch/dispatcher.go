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

// Options are the functions and settings that a Dispatcher is built from. All are
// required except Serving, Once, ReportedUse and Independent.
type Options struct {
	// Self is the name of this host.
	Self string
	// Snapshot returns the control state that decisions are based on.
	Snapshot func() *snapshot.Snapshot
	// Serving returns an error while no request may be run on the basis of the
	// snapshot. If Serving is nil, requests may always be run.
	Serving func() error
	// Send sends a request to an endpoint that this host owns.
	Send func(ctx context.Context, e intent.Endpoint, r *work.Request) (*work.Answer, error)
	// Forward forwards a request to another host.
	Forward func(ctx context.Context, h store.Host, r *work.Request) (*work.Answer, error)
	// Once runs non-repeatable work: it calls run at most once for each key. If
	// Once is nil, run is called directly.
	Once func(ctx context.Context, r *work.Request, run RunFunc) (*work.Answer, error)
	// Record adds an event to the timeline.
	Record func(e timeline.Event)
	// Results counts the result of each request.
	Results *outcome.Recorder
	// ReportedUse returns the share of an endpoint's slots that it last reported
	// as in use. It is required if Independent is true, and unused otherwise.
	ReportedUse func(endpoint string) float64
	// Independent makes this host choose endpoints by the load that they report,
	// without regard to their owners.
	Independent bool
	// Now returns the current time.
	Now func() time.Time
}

// RunFunc runs a request. It returns once the head of the answer has arrived; the body
// is read later by the caller.
type RunFunc func(ctx context.Context, r *work.Request) (*work.Answer, error)

// Dispatcher sends requests to endpoints and other hosts. It is safe for concurrent
// use.
type Dispatcher struct {
	options  Options
	refusals refusals
	// attempts counts the goroutines of hedged attempts. None is added once closed
	// is true.
	attempts sync.WaitGroup
	mu       sync.Mutex
	closed   bool
	// controllers holds the admission controller of every upstream of which this
	// host has owned endpoints, and budgets the retry budget of every upstream for
	// which it has run repeatable work. Both are guarded by mu.
	controllers map[string]*admission.Controller
	budgets     map[string]*budget.Budget
	// ledgers maps the name of every endpoint that was asked for to its
	// *quota.Ledger.
	ledgers sync.Map
	// noForwardBackUntil maps the name of a host to the time.Time until which no
	// request is forwarded back to it.
	noForwardBackUntil sync.Map
}

// New returns a dispatcher with the options.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		options:     o,
		controllers: map[string]*admission.Controller{},
		budgets:     map[string]*budget.Budget{},
	}
}

// Close waits for the running attempts, including cancelled ones. Attempts that start
// later run in the goroutine that called Do, one after another.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.attempts.Wait()
}

// spawn runs f in a goroutine that Close waits for. After Close it runs f in the
// calling goroutine.
func (d *Dispatcher) spawn(f func()) {
	d.mu.Lock()
	if !d.closed {
		d.attempts.Go(f)
		f = func() {}
	}
	d.mu.Unlock()
	f()
}

// Do runs r and returns the answer. The code of an error says whether r was run.
// ctx must end when the caller disconnects.
func (d *Dispatcher) Do(ctx context.Context, r *work.Request) (*work.Answer, error) {
	started := d.options.Now()
	if !started.Before(r.Deadline) && (r.Kind.Repeatable || r.Dispatched) {
		err := code.New(code.DeadlinePassed, "dispatch: the deadline passed before the request was started")
		d.recordResult(r, started, err)
		return nil, err
	}
	d.recordStep(r, r.Kind.Name, "request taken")
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	a, err := d.run(ctx, r)
	if err != nil {
		cancel()
		d.recordResult(r, started, err)
		return nil, err
	}
	a.Body = &body{
		ReadCloser: a.Body,
		done: func(err error) {
			cancel()
			d.recordResult(r, started, err)
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
