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

// Options are the seams of a Once. All are required.
type Options struct {
	// Self is the name of this host.
	Self string
	// Writes is how many of the platform's writes a second all hosts together
	// use.
	Writes int
	// Store is the platform; its fields may be set until Run.
	Store *store.Store
	// Snapshot returns the view to decide by.
	Snapshot func() *snapshot.Snapshot
	// Pass passes a request to its home. The error is PeerUnreachable if the
	// home gave no answer of its own.
	Pass func(ctx context.Context, h store.Host, r *work.Request) (*work.Answer, error)
	// Ask asks another host for what its tickets have to say.
	Ask func(ctx context.Context, h store.Host) (Home, error)
	// AskKeyring asks another host for the secrets it knows.
	AskKeyring func(ctx context.Context, h store.Host) (ticket.Keyring, error)
	// Announce tells another host what its tickets have to say of this one.
	Announce func(ctx context.Context, h store.Host, x Home) error
	// PlatformDown reports whether the platform did not answer last, whoever
	// called it.
	PlatformDown func() bool
	// HandOver leaves what this home knows to another host.
	HandOver func(ctx context.Context, h store.Host, x Handover) error
	Record   func(e timeline.Event)
	Log      log.Logger
	Metrics  tally.Scope
	Now      func() time.Time
}

// Once runs work at most once. It is safe for concurrent use.
type Once struct {
	options Options
	// incarnation is distinct for every start of every host.
	incarnation string
	health      *health
	claims      *claims
	homes       homes
	asks        singleflight.Group
	keyring     atomic.Pointer[ticket.Keyring]
	drives      drives
	taken       takenOver

	mu sync.Mutex
	// entries holds the runs whose home this process is, by row key.
	entries map[string]*entry
	// latest is the latest time seen, so that a clock that is set back does
	// not bring forgotten tickets back.
	latest time.Time
	// refreshAfter is when an unknown secret makes this host read them again.
	refreshAfter time.Time
	// kept is the size of all kept answers.
	kept int
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
		claims:      newClaims(o, h),
		entries:     map[string]*entry{},
	}
	x.homes.known = map[string]knownHome{}
	x.taken.homes = map[string]takenHome{}
	return x
}

// Run does the background work until t dies. It returns after the last run has
// ended and its outcome is written, if the platform takes it.
func (o *Once) Run(t *tomb.Tomb) error {
	ctx, cancel := context.WithCancel(context.Background())
	tended := make(chan struct{})
	go func() {
		defer close(tended)
		o.tend(ctx)
	}()
	<-t.Dying()
	<-o.drives.seal()
	cancel()
	<-tended
	return nil
}

// now returns the time, which never goes back.
func (o *Once) now() time.Time {
	t := o.options.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if t.After(o.latest) {
		o.latest = t
	}
	return o.latest
}

// Do runs r by calling run at most once for all copies of r that any host gets.
// An error's code is final for the ticket or key if it says that r was not run.
func (o *Once) Do(ctx context.Context, r *work.Request, run dispatch.Run) (*work.Answer, error) {
	keyed := r.Ticket != "" || r.Key != ""
	switch {
	case keyed && !o.now().Before(r.Deadline):
		return nil, CopyRefused(code.New(code.DeadlinePassed, "once: the deadline passed before the copy came"))
	case r.Ticket != "":
		return o.doTicket(ctx, r, r.Ticket, run)
	case ticket.IsTicket(r.Key):
		return o.doTicket(ctx, r, r.Key, run)
	case r.Key != "":
		return o.doOwn(ctx, r, run)
	default:
		return nil, code.New(code.TicketRequired, "once: work of kind %q needs a ticket or an %s", r.Kind.Name, work.HeaderIdempotencyKey)
	}
}

func (o *Once) doTicket(ctx context.Context, r *work.Request, token string, run dispatch.Run) (*work.Answer, error) {
	t, err := o.open(ctx, token)
	if code.Of(err) == code.HostBehind {
		return nil, CopyRefused(err)
	}
	if err != nil {
		return nil, err
	}
	if t.Kind != r.Kind.Name {
		return nil, code.New(code.TicketInvalid, "once: the ticket is for work of kind %q", t.Kind)
	}
	c := &copyOf{
		request: r,
		digest:  ticket.Digest(r),
		run:     run,
	}
	if u, ok := o.taken.outcome(t.Incarnation, t.RowKey(), c.digest); ok {
		return answer(u)
	}
	switch {
	case t.Home == o.options.Self && t.Incarnation == o.incarnation:
		return o.join(ctx, c, t.RowKey(), ticket.NewRun(t, c.digest), t)
	case r.Hop:
		return nil, code.New(code.HomeGone, "once: the ticket's home was an earlier process of this host")
	case t.Home == o.options.Self:
		return o.settle(ctx, t, c)
	default:
		return o.pass(ctx, t, c)
	}
}

// open returns the ticket of a token. A host that lacks the secret reads the
// secrets again before it gives up.
func (o *Once) open(ctx context.Context, token string) (ticket.Ticket, error) {
	t, err := o.Keyring().Open(token)
	if code.Of(err) != code.HostBehind || !o.mayRefresh() {
		return t, err
	}
	o.probe(ctx)
	return o.Keyring().Open(token)
}

// mayRefresh bounds how often made-up tickets can make this host read the
// secrets.
func (o *Once) mayRefresh() bool {
	now := o.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Before(o.refreshAfter) {
		return false
	}
	o.refreshAfter = now.Add(refreshInterval)
	return true
}

// doOwn runs r under a caller's own key, which the host that claims it first
// is the home of.
func (o *Once) doOwn(ctx context.Context, r *work.Request, run dispatch.Run) (*work.Answer, error) {
	if err := ticket.CheckKey(r.Key); err != nil {
		return nil, err
	}
	c := &copyOf{
		request: r,
		digest:  ticket.Digest(r),
		run:     run,
	}
	k := ticket.OwnRowKey(r.Kind.Name, r.Key)
	if r.Hop && !o.has(k) {
		return nil, code.New(code.HomeGone, "once: this process does not know the key")
	}
	return o.join(ctx, c, k, ticket.NewOwnRun(c.digest), ticket.Ticket{})
}

// CopyRefused returns the error for a copy of work that may not be repeated,
// refused for the reason where nothing is known of other copies.
func CopyRefused(reason error) error {
	return code.Wrap(code.CopyRefused, reason, "once: this copy was refused, another may have been run")
}
