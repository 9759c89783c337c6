package once

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/singleflight"
	"gopkg.in/tomb.v2"

	"heatherford/core/code"
	"heatherford/core/dispatch"
	"heatherford/core/snapshot"
	"heatherford/core/store"
	"heatherford/core/ticket"
	"heatherford/core/timeline"
	"heatherford/core/work"
)

// Options are the settings and dependencies of a Once. All are required.
type Options struct {
	// Host is the name of this host.
	Host string
	// CommitRate is how many transactions a second all hosts together may commit.
	CommitRate int
	// Store is the platform's table; its fields may be set until Run.
	Store *store.Store
	// Snapshot returns the current view of the hosts.
	Snapshot func() *snapshot.Snapshot
	// Forward forwards a request to its home. The error is PeerUnreachable if the
	// home gave no answer of its own.
	Forward func(ctx context.Context, h store.Host, r *work.Request) (*work.Answer, error)
	// FetchHome fetches the Home of another host.
	FetchHome func(ctx context.Context, h store.Host) (Home, error)
	// FetchKeyring fetches the signing secrets from another host.
	FetchKeyring func(ctx context.Context, h store.Host) (ticket.Keyring, error)
	// Announce sends the Home of this process to another host.
	Announce func(ctx context.Context, h store.Host, x Home) error
	// PlatformDown reports whether the last call to the platform got no answer,
	// whichever part of this process made it.
	PlatformDown func() bool
	// HandOver sends the handover of this process to another host.
	HandOver func(ctx context.Context, h store.Host, x Handover) error
	Record   func(e timeline.Event)
	Log      log.Logger
	Metrics  tally.Scope
	Now      func() time.Time
}

// Once runs requests that may not be repeated. It is safe for concurrent use.
type Once struct {
	options Options
	// incarnation is distinct for every start of every host.
	incarnation string
	health      *health
	rowWriter   *rowWriter
	homeCache   homeCache
	homeCalls   singleflight.Group
	keyring     atomic.Pointer[ticket.Keyring]
	inFlight    inFlight
	handovers   receivedHandovers

	mu sync.Mutex
	// entries holds the runs whose home is this process, by row key.
	entries map[string]*entry
	// latestTime is the latest time seen. With it a clock that is set back can't
	// make expired tickets valid again after their entries were evicted.
	latestTime time.Time
	// nextRefresh is the earliest time at which a token with an unknown secret
	// makes this host read the secrets again.
	nextRefresh time.Time
	// keptBytes is the size of the bodies of all kept answers.
	keptBytes int
}

// New returns a Once without runs.
func New(o Options) *Once {
	h := &health{
		down: true,
	}
	x := &Once{
		options:     o,
		incarnation: ticket.NewID(),
		health:      h,
		rowWriter:   newRowWriter(o, h),
		entries:     map[string]*entry{},
	}
	x.homeCache.byName = map[string]cachedHome{}
	x.handovers.byIncarnation = map[string]receivedHandover{}
	return x
}

// Run does the background work until t dies. It returns after the last round has
// ended and its outcome is written, if the platform accepts it.
func (o *Once) Run(t *tomb.Tomb) error {
	ctx, cancel := context.WithCancel(context.Background())
	backgroundDone := make(chan struct{})
	go func() {
		defer close(backgroundDone)
		o.runBackground(ctx)
	}()
	<-t.Dying()
	<-o.inFlight.drain()
	cancel()
	<-backgroundDone
	return nil
}

// now returns the latest time seen, so that time never goes back.
func (o *Once) now() time.Time {
	t := o.options.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if t.After(o.latestTime) {
		o.latestTime = t
	}
	return o.latestTime
}

// Do runs r by calling run, at most once for all copies of r that arrive at any
// host. A code that says that r was not run is final for the ticket or key.
func (o *Once) Do(ctx context.Context, r *work.Request, run dispatch.RunFunc) (*work.Answer, error) {
	keyed := r.Ticket != "" || r.Key != ""
	switch {
	case keyed && !o.now().Before(r.Deadline):
		return nil, WrapCopyRefused(code.New(code.DeadlinePassed, "once: the deadline passed before the request arrived"))
	case r.Ticket != "":
		return o.doTicket(ctx, r, r.Ticket, run)
	case ticket.IsTicket(r.Key):
		return o.doTicket(ctx, r, r.Key, run)
	case r.Key != "":
		return o.doCallerKey(ctx, r, run)
	default:
		return nil, code.New(code.TicketRequired, "once: work of kind %q needs a ticket or an %s", r.Kind.Name, work.HeaderIdempotencyKey)
	}
}

func (o *Once) doTicket(ctx context.Context, r *work.Request, token string, run dispatch.RunFunc) (*work.Answer, error) {
	t, err := o.verify(ctx, token)
	if code.Of(err) == code.HostBehind {
		return nil, WrapCopyRefused(err)
	}
	if err != nil {
		return nil, err
	}
	if t.Kind != r.Kind.Name {
		return nil, code.New(code.TicketInvalid, "once: the ticket is for work of kind %q", t.Kind)
	}
	c := &requestCopy{
		request: r,
		digest:  ticket.Digest(r),
		run:     run,
	}
	if u, ok := o.handovers.outcome(t.Incarnation, t.RowKey(), c.digest); ok {
		return answer(u)
	}
	switch {
	case t.Home == o.options.Host && t.Incarnation == o.incarnation:
		return o.handleCopy(ctx, c, t.RowKey(), ticket.NewRun(t, c.digest), t)
	case r.Hop:
		return nil, code.New(code.HomeGone, "once: the ticket's home was an earlier process of this host")
	case t.Home == o.options.Host:
		return o.resolve(ctx, t, c)
	default:
		return o.forward(ctx, t, c)
	}
}

// verify returns the ticket of a token. If this host lacks its signing secret, it
// reads the secrets again and tries once more.
func (o *Once) verify(ctx context.Context, token string) (ticket.Ticket, error) {
	t, err := o.Keyring().Verify(token)
	if code.Of(err) != code.HostBehind || !o.allowRefresh() {
		return t, err
	}
	o.refreshKeyring(ctx)
	return o.Keyring().Verify(token)
}

// allowRefresh reports whether the secrets may be read again now. It limits the
// platform's load by forged tickets that name unknown secrets.
func (o *Once) allowRefresh() bool {
	now := o.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Before(o.nextRefresh) {
		return false
	}
	o.nextRefresh = now.Add(refreshInterval)
	return true
}

// doCallerKey runs r under a caller key. The host that claims the key first becomes
// its home.
func (o *Once) doCallerKey(ctx context.Context, r *work.Request, run dispatch.RunFunc) (*work.Answer, error) {
	if err := ticket.CheckKey(r.Key); err != nil {
		return nil, err
	}
	c := &requestCopy{
		request: r,
		digest:  ticket.Digest(r),
		run:     run,
	}
	k := ticket.CallerKeyRowKey(r.Kind.Name, r.Key)
	if r.Hop && !o.hasEntry(k) {
		return nil, code.New(code.HomeGone, "once: this process does not know the key")
	}
	return o.handleCopy(ctx, c, k, ticket.NewCallerKeyRun(c.digest), ticket.Ticket{})
}

// WrapCopyRefused wraps the reason for which a copy was refused by a host that does not
// know whether another copy was run.
func WrapCopyRefused(reason error) error {
	return code.Wrap(code.CopyRefused, reason, "once: this copy was refused, another may have been run")
}
