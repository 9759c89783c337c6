package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"heatherford/core/balance"
	"heatherford/core/budget"
	"heatherford/core/fleet"
	"heatherford/core/registry"
	"heatherford/core/route"
)

// Seams are how an edge reaches others. All are required.
type Seams struct {
	// Read reads a part of the platform's records: all of it if since is zero,
	// else what changed after the version. It waits for a change for up to the
	// given time.
	Read func(ctx context.Context, p registry.Part, since uint64, wait time.Duration) (registry.Update, error)
	// Forgotten reports whether an error of Read says that the platform no
	// longer has the changes since the version.
	Forgotten func(err error) bool
	// Join enters the host into the platform's list of hosts and returns the
	// list.
	Join func(ctx context.Context, self fleet.Member) ([]fleet.Member, error)
	// Tell sends a tick to other hosts. It does not wait for it to arrive,
	// which it may not.
	Tell func(to []fleet.Member, t *Tick)
	// Fetch asks another host for what it knows beyond the versions.
	Fetch func(ctx context.Context, from fleet.Member, since [registry.Parts]uint64) (*Book, error)
	// Send sends a request to an endpoint. The error is a *Failure.
	Send func(ctx context.Context, c *Sending) (*Reply, error)
	// Carry passes a request on to the owner of its endpoint. The error is a
	// *Failure: without Sent, the owner cannot have the request.
	Carry func(ctx context.Context, to fleet.Member, c *Carried) (*Carry, error)
}

// Sending is one sending of a request.
type Sending struct {
	Request *Request
	Target  balance.Target
	// Deadline is when nobody waits for the answer any more.
	Deadline time.Time
	// Once is true if the request must not be sent again.
	Once bool
	// Fresh demands a new connection.
	Fresh bool
}

// Options are what an edge is built from. All are required.
type Options struct {
	Self  fleet.Member
	Zones map[string]string
	Seams Seams
	// Repeats bounds the further sendings for each upstream.
	Repeats budget.WindowOptions
	// Log writes a line of a kind with pairs of keys and values. It does not
	// block.
	Log func(kind string, pairs ...any)
	// Observe counts the end of a request. It does not block.
	Observe func(o *Observation)
}

// View is what requests are served by. It is immutable.
type View struct {
	// Table is nil until a declaration is known.
	Table *route.Table
	// Listed is true once the endpoints are known.
	Listed bool
	// Live are the hosts that live, in the order that all hosts know.
	Live []fleet.Member
	// Sharers is the number of hosts that have a part of what all may do together.
	Sharers int
	// Leaving is true once the host is about to end.
	Leaving bool
	// Current is when each part was last known to be current.
	Current [registry.Parts]time.Time
}

// Edge serves requests on one host. It is safe for concurrent use.
type Edge struct {
	options  Options
	balancer *balance.Balancer
	view     atomic.Pointer[View]
	events   chan func(c *control)
	tomb     tomb.Tomb
	splits   splits
	sizes    sizes
	// started is when the host started.
	started time.Time

	mu      sync.Mutex
	windows map[string]*budget.Window
	// unreachable holds until when each host that could not be reached is
	// passed by.
	unreachable map[string]time.Time
}

// New returns an edge that knows nothing yet.
func New(o Options) *Edge {
	e := &Edge{
		options: o,
		balancer: balance.New(balance.Options{
			Self:   o.Self.Name,
			Zone:   o.Self.Zone,
			Region: o.Self.Region,
			RegionOf: func(zone string) string {
				return o.Zones[zone]
			},
		}),
		started: time.Now(),
		events:  make(chan func(c *control), 64),
		windows: map[string]*budget.Window{},

		unreachable: map[string]time.Time{},
	}
	e.view.Store(&View{
		Live:    []fleet.Member{o.Self},
		Sharers: 1,
	})
	return e
}

// Start starts the control goroutine. It is called once.
func (e *Edge) Start() {
	e.tomb.Go(e.run)
}

// Stop ends the control goroutine and waits for it. The goroutines that it
// started end with it.
func (e *Edge) Stop() error {
	e.tomb.Kill(nil)
	return e.tomb.Wait()
}

// View returns the newest view.
func (e *Edge) View() *View {
	return e.view.Load()
}

// Ready reports whether callers should be sent to this host.
func (e *Edge) Ready() bool {
	v := e.View()
	return v.Table != nil && v.Listed && !v.Leaving
}

// Leave makes the host take no new callers. Requests are still served.
func (e *Edge) Leave() {
	e.post(func(c *control) {
		c.leave()
	})
}

// Hear takes in a tick of another host.
func (e *Edge) Hear(t *Tick) {
	now := time.Now()
	e.post(func(c *control) {
		c.hear(t, now)
	})
}

// Book returns what this host knows beyond the versions.
func (e *Edge) Book(ctx context.Context, since [registry.Parts]uint64) (*Book, error) {
	answer := make(chan *Book, 1)
	e.post(func(c *control) {
		answer <- c.book(since, time.Now())
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

// post runs f on the control goroutine and does not wait for it to end.
func (e *Edge) post(f func(c *control)) {
	select {
	case e.events <- f:
	case <-e.tomb.Dying():
	}
}

func (e *Edge) window(upstream string) *budget.Window {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.windows[upstream]
	if w == nil {
		w = budget.NewWindow(e.options.Repeats, e.started)
		e.windows[upstream] = w
	}
	return w
}
