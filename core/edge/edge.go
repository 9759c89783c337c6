package edge

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"heatherford/core/balance"
	"heatherford/core/budget"
	"heatherford/core/fleet"
	"heatherford/core/quarantine"
	"heatherford/core/reach"
	"heatherford/core/registry"
	"heatherford/core/route"
)

// Transport holds the functions by which an edge reaches the platform, other hosts
// and endpoints. All are required and must be safe for concurrent use.
type Transport struct {
	// Read reads a part of the platform's records: all of it if since is zero, else
	// what changed after that version, or the first of these changes. It waits for a
	// change for up to wait, and fails if nothing arrives for about a second.
	Read func(ctx context.Context, p registry.Part, since registry.Version, wait time.Duration) (registry.Update, error)
	// HistoryLost reports whether an error of Read means that the platform does not have
	// the changes after the version, or returned from a copy since.
	HistoryLost func(err error) bool
	// Join adds the host to the platform's list of hosts and returns the list.
	Join func(ctx context.Context, self fleet.Member) ([]fleet.Member, error)
	// Enlist adds those of the hosts to the platform's list of hosts that it lacks.
	Enlist func(ctx context.Context, hosts []fleet.Member) error
	// SendHeartbeat sends a heartbeat to other hosts. It does not wait for the
	// delivery, and heartbeats may be lost.
	SendHeartbeat func(to []fleet.Member, t *Heartbeat)
	// Fetch asks another host for what it knows beyond the versions, by part.
	Fetch func(ctx context.Context, from fleet.Member, since [registry.NumParts]registry.Version) (*Delta, error)
	// Send sends a request to an endpoint. The error is a *Failure.
	Send func(ctx context.Context, c *EndpointRequest) (*Reply, error)
	// Probe opens a connection to an endpoint, and sends nothing.
	Probe func(ctx context.Context, t balance.Target) ProbeResult
	// Lost reports whether an endpoint has closed a connection that was kept for further
	// requests. It does not block.
	Lost func(t balance.Target) bool
	// Forward forwards a request to the owner of its endpoint. The error is a *Failure;
	// if its Sent is false, the owner cannot have received the request.
	Forward func(ctx context.Context, to fleet.Member, c *ForwardRequest) (*ForwardResult, error)
}

// ProbeResult is what came of a connection to an endpoint.
type ProbeResult int

// The results of probes.
const (
	// ProbeSilent means that nothing came back in time, or that the host could not ask.
	ProbeSilent ProbeResult = iota
	// ProbeRefused means that nobody listens at the address, or that something on the
	// way refuses connections.
	ProbeRefused
	// ProbeReset means that the connection was opened and ended at once.
	ProbeReset
	// ProbeAccepted means that the endpoint took the connection.
	ProbeAccepted
)

// EndpointRequest is one attempt to send a request to an endpoint.
type EndpointRequest struct {
	Request *Request
	Target  balance.Target
	// Deadline is when nobody waits for the answer any more.
	Deadline time.Time
	// Once is true if the request must not be sent a second time.
	Once bool
	// NewConn demands a new connection, since the endpoint may be unreachable.
	NewConn bool
}

// Options configure an Edge. All are required.
type Options struct {
	Self fleet.Member
	// Zones holds the region of each availability zone.
	Zones map[string]string
	// Listeners are further addresses at which the host listens. Those that are not valid
	// count for nothing.
	Listeners []netip.AddrPort
	Transport Transport
	// RetryBudget bounds the retries and hedges of each upstream.
	RetryBudget budget.WindowOptions
	// Log writes a log line of a kind with pairs of keys and values. It must not
	// block.
	Log func(kind string, pairs ...any)
	// Observe takes the outcome of each request. It must not block.
	Observe func(o *Observation)
	// ObserveDelay takes by how much each step of the control goroutine came too late.
	// It must not block.
	ObserveDelay func(d time.Duration)
}

// View is the state by which requests are served. It is immutable.
type View struct {
	// Table is nil until a declaration is known.
	Table *route.Table
	// EndpointsKnown is true once the endpoints were read, by this host or another.
	EndpointsKnown bool
	// Live are the live hosts, in the order that all hosts agree on.
	Live []fleet.Member
	// Silent are the hosts that fell silent lately, without having said that they leave.
	Silent []fleet.Member
	// BudgetHosts is the number of hosts over which fleet-wide budgets are divided.
	BudgetHosts int
	// Leaving is true once the host is about to stop.
	Leaving bool
	// IsolatedSince is when the host was found to reach no endpoint, or zero if it does.
	IsolatedSince time.Time
	// CurrentAt is when each part was last known to be current, or zero.
	CurrentAt [registry.NumParts]time.Time
}

// Edge serves requests on one host. It is safe for concurrent use.
type Edge struct {
	shared
	// events is the queue of the control goroutine. Whoever queues an event may have to wait
	// for that goroutine, so that nothing it calls has access to the queue.
	events chan func(c *control)
}

// shared is what the control goroutine and the others use together. It is safe for concurrent use.
type shared struct {
	options  Options
	balancer *balance.Balancer
	view     atomic.Pointer[View]
	tomb     tomb.Tomb
	// suspectsChanged wakes the control goroutine to tell other hosts what has changed of
	// requests that may crash endpoints.
	suspectsChanged chan struct{}
	// steppedAt is when the control goroutine last began its periodic work.
	steppedAt atomic.Pointer[time.Time]
	// quarantine holds the requests that were in flight when endpoints crashed.
	quarantine *quarantine.List
	// visits holds the requests that this host has sent to endpoints and that these may still be
	// at work on.
	visits quarantine.Visits
	// reach is what this host knows of its own way to the endpoints, and silentSends the
	// sends that end once that is found cut.
	reach       reach.Monitor
	silentSends cancelGroup
	splitter    splitter
	sizes       sizes
	// started is when the edge was made. Its retry budgets start then.
	started time.Time
	leaving *leaving
	// panics counts those that were contained.
	panics atomic.Uint64

	// mu guards the fields below.
	mu           sync.Mutex
	retryBudgets map[string]*budget.Window
	// unreachableUntil is when the backoff of each host that could not be reached
	// ends.
	unreachableUntil map[string]time.Time
	// breakages holds the endpoints that may have crashed, by incarnation.
	breakages map[string]*breakage
	// unexplained holds those of which it is not known yet whether they crashed.
	unexplained unexplained
}

// New returns an edge that knows no declaration and no endpoints yet.
func New(o Options) *Edge {
	e := &Edge{
		events: make(chan func(c *control), 64),
	}
	e.shared = shared{
		options: o,
		balancer: balance.New(balance.Options{
			Self:   o.Self.Name,
			Zone:   o.Self.Zone,
			Region: o.Self.Region,
			RegionOf: func(zone string) string {
				return o.Zones[zone]
			},
		}),
		started:      time.Now(),
		leaving:      newLeaving(),
		retryBudgets: map[string]*budget.Window{},

		unreachableUntil: map[string]time.Time{},
		breakages:        map[string]*breakage{},
		unexplained:      unexplained{},
		quarantine:       quarantine.New(o.Log),
		suspectsChanged:  make(chan struct{}, 1),
	}
	e.view.Store(&View{
		Live:        []fleet.Member{o.Self},
		BudgetHosts: 1,
	})
	return e
}

// Start starts the control goroutine. It is called once.
func (e *Edge) Start() {
	e.tomb.Go(e.run)
	e.tomb.Go(e.watch)
}

// Stop ends the control goroutine and the goroutines that it started, and waits for
// them.
func (e *Edge) Stop() error {
	e.tomb.Kill(nil)
	return e.tomb.Wait()
}

// Dying returns a channel that is closed when the control goroutine ends, after Stop or a
// panic. Requests are served on.
func (e *Edge) Dying() <-chan struct{} {
	return e.tomb.Dying()
}

// Err returns why the control goroutine has ended, or nil after Stop. It may be called
// once Dying is closed.
func (e *Edge) Err() error {
	return e.tomb.Err()
}

// View returns the newest view.
func (e *shared) View() *View {
	return e.view.Load()
}

// Ready reports whether callers should be sent to this host: it knows a declaration
// and the endpoints, and it is not leaving.
func (e *Edge) Ready() bool {
	v := e.View()
	return v.Table != nil && v.EndpointsKnown && !v.Leaving && e.leaving.at.Load() == nil
}

// HandleHeartbeat passes a heartbeat of another host to the control goroutine. It does
// not wait until the heartbeat is handled.
func (e *Edge) HandleHeartbeat(t *Heartbeat) {
	now := time.Now()
	e.post(context.Background(), func(c *control) {
		c.handleHeartbeat(t, now)
	})
}

// Delta returns what this host knows beyond the versions. It fails if ctx ends or the
// edge stops before.
func (e *Edge) Delta(ctx context.Context, since [registry.NumParts]registry.Version) (*Delta, error) {
	answer := make(chan *Delta, 1)
	e.post(ctx, func(c *control) {
		answer <- c.delta(since, time.Now())
	})
	select {
	case b := <-answer:
		return b, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-e.tomb.Dying():
		return nil, tomb.ErrDying
	}
}

// post queues f for the control goroutine and does not wait until it has run. It
// blocks while the queue is full, and does nothing once ctx ends or the edge stops.
func (e *Edge) post(ctx context.Context, f func(c *control)) {
	select {
	case e.events <- f:
	case <-ctx.Done():
	case <-e.tomb.Dying():
	}
}

// background runs f on a goroutine of its own, and what it returns on the control goroutine.
func (e *Edge) background(f func() func(c *control)) {
	e.tomb.Go(func() error {
		e.post(context.Background(), f())
		return nil
	})
}

// retryBudget returns the retry budget of an upstream, and makes it at the first
// call.
func (e *Edge) retryBudget(upstream string) *budget.Window {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.retryBudgets[upstream]
	if w == nil {
		w = budget.NewWindow(e.options.RetryBudget, e.started)
		e.retryBudgets[upstream] = w
	}
	return w
}
