package core

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
	"gopkg.in/tomb.v2"

	"heatherford/core/config"
	"heatherford/core/dispatch"
	"heatherford/core/drain"
	"heatherford/core/intent"
	"heatherford/core/once"
	"heatherford/core/outcome"
	"heatherford/core/rollup"
	"heatherford/core/settings"
	"heatherford/core/snapshot"
	"heatherford/core/store"
	"heatherford/core/timeline"
	"heatherford/core/work"
)

// Options are what a Kernel is built from.
type Options struct {
	Settings *settings.Settings
	Log      log.Logger
	Metrics  tally.Scope
	// Now returns the current time; nil stands for time.Now.
	Now func() time.Time
	// Plugins are the plug-ins to run; nil stands for all registered ones.
	Plugins []Plugin
	// Dial connects to other daemons; nil stands for net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// PluginFuncs are the functions that plug-ins provide to the kernel. Each is set by
// a plug-in's Attach and not changed afterwards.
type PluginFuncs struct {
	Store store.Store
	// Send sends a request to an endpoint.
	Send func(ctx context.Context, e intent.Endpoint, r *work.Request) (*work.Answer, error)
	// Forward forwards a request to another host.
	Forward func(ctx context.Context, h store.Host, r *work.Request) (*work.Answer, error)
	// ReportedUse returns the share of an endpoint's slots that it last reported as
	// in use.
	ReportedUse func(endpoint string) float64
	// PushVersion sends a version that was confirmed here to other hosts. It returns once
	// a few hosts in different zones have it, or when ctx ends.
	PushVersion func(ctx context.Context, v *intent.Version)
	// QueryTimeline queries the timelines of all hosts, including this one, and returns
	// an answer for each, ordered by host.
	QueryTimeline func(ctx context.Context, q timeline.Query) []timeline.Answer
	// SendRollUps sends roll-ups that could not be written to the platform to another
	// host.
	SendRollUps func(ctx context.Context, s []rollup.Object) error
	// Grants calls other hosts about the grants of endpoints.
	Grants GrantCalls
	// PeerReports requests the reports of all other hosts. Nil means that there are
	// no other hosts.
	PeerReports func(ctx context.Context) []PeerReport
	// Traffic returns the bytes that this host sent and received in exchanges with
	// other hosts and in other control calls. Nil stands for none.
	Traffic func() (exchange, other Traffic)
	// RunOnce runs non-repeatable work at most once. If it is nil, run is called
	// directly.
	RunOnce func(ctx context.Context, r *work.Request, run dispatch.RunFunc) (*work.Answer, error)
	// IssueTicket issues a ticket for non-repeatable work. Its home is the given host if
	// possible.
	IssueTicket func(ctx context.Context, kind intent.Kind, home store.Host) (once.Issued, error)
}

const (
	// defaultRingSize is the number of timeline events that a daemon keeps. They
	// take up to 8 MB.
	defaultRingSize = 1 << 15
	// incarnationBase is the base in which incarnation numbers are formatted.
	incarnationBase = 36
)

// Kernel is one daemon, without its plug-ins.
type Kernel struct {
	Settings    *settings.Settings
	Log         log.Logger
	Metrics     tally.Scope
	Now         func() time.Time
	PluginFuncs PluginFuncs
	// Dispatcher sends requests to endpoints and other hosts.
	Dispatcher *dispatch.Dispatcher
	// Clock stamps events. Calls between hosts carry its stamps.
	Clock *timeline.Clock
	// Ring keeps the newest timeline events.
	Ring *timeline.Ring
	// Results counts how requests ended.
	Results *outcome.Recorder
	// RollUps sums up the counts for the evening page.
	RollUps *rollup.Keeper
	// Dial connects to other daemons.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Freshness decides whether this daemon's version is fresh enough to serve by.
	Freshness *config.Freshness

	plugins []Plugin
	tomb    tomb.Tomb
	// events are the functions to run on the control goroutine.
	events chan func(c *control)
	// current is the snapshot that was published last.
	current atomic.Pointer[snapshot.Snapshot]
	// platformDown is true if the platform did not answer this host's last call.
	platformDown atomic.Bool
	// loads are the newest loads that hosts, including this one, have reported.
	loads *loads
	// stopping is the state of a planned stop.
	stopping stopping
	// inFlightLoads are the loads that this host has put on endpoints.
	inFlightLoads *inFlightLoads
	// drains is the progress of all drains as of the last tick.
	drains atomic.Pointer[[]drain.Progress]
	// onVersion, onNotice and onPause don't change after the kernel has started.
	onVersion []func(b *config.Bundle)
	onNotice  []func()
	onPause   []func()
}

// New returns a kernel with its plug-ins attached. It does not start them.
func New(o Options) (*Kernel, error) {
	k := &Kernel{
		Settings: o.Settings,
		Log:      o.Log,
		Metrics:  o.Metrics,
		Now:      o.Now,
		Dial:     o.Dial,
		plugins:  o.Plugins,
		events:   make(chan func(c *control)),
	}
	if k.Now == nil {
		k.Now = time.Now
	}
	k.loads = newLoads(k.Now)
	if k.Dial == nil {
		d := net.Dialer{}
		k.Dial = d.DialContext
	}
	if k.plugins == nil {
		k.plugins = Plugins()
	}
	k.current.Store(&snapshot.Snapshot{
		Config: config.Empty(),
	})
	k.Freshness = config.NewFreshness(time.Now())
	k.inFlightLoads = newInFlightLoads()
	k.Clock = timeline.NewClock(k.Now)
	k.stopping.begun = make(chan struct{})
	k.OnStop(PhaseExpire, "core", k.expireLookups)
	k.OnStop(PhaseHandOver, "grants", k.handOverGrants)
	k.Ring = timeline.NewRing(ringSize(o.Settings.Limits.TimelineEvents))
	k.RollUps = rollup.New(rollup.Options{
		Host:        o.Settings.Host,
		Region:      o.Settings.Region,
		Incarnation: strconv.FormatInt(k.Now().UnixMilli(), incarnationBase),
		Interval:    o.Settings.Limits.RollUpInterval.Std(),
		Now:         k.Now,
	})
	k.Results = outcome.New(k.RollUps.Result)
	if err := k.attach(k.plugins); err != nil {
		return nil, err
	}
	k.PluginFuncs.Store = store.Watch(k.PluginFuncs.Store, k.platformChanged)
	k.Dispatcher = dispatch.New(dispatch.Options{
		Self:     o.Settings.Host,
		Snapshot: k.Snapshot,
		Serving:  k.CheckServing,
		Send:     k.countInFlight(k.PluginFuncs.Send),
		Forward:  k.PluginFuncs.Forward,
		Once:     k.PluginFuncs.RunOnce,
		Record:   k.Record,
		Results:  k.Results,
		Now:      k.Now,

		ReportedUse: k.PluginFuncs.ReportedUse,
		Independent: k.Settings.Policy == settings.PolicyIndependent,
	})
	return k, nil
}

// ringSize returns the size of the event ring for the setting: 0 stands for the
// default size, -1 for keeping no events.
func ringSize(setting int) int {
	switch setting {
	case 0:
		return defaultRingSize
	case -1:
		return 0
	default:
		return setting
	}
}

// Start starts the control goroutine and all plug-ins. It is called once.
func (k *Kernel) Start() error {
	k.tomb.Go(k.control)
	k.tomb.Go(func() error {
		<-k.tomb.Dying()
		k.Dispatcher.Close()
		return nil
	})
	k.tomb.Go(k.watchdog)
	for _, p := range k.plugins {
		if p.Start == nil {
			continue
		}
		if err := p.Start(k, &k.tomb); err != nil {
			k.tomb.Kill(err)
			return k.tomb.Wait()
		}
	}
	return nil
}

// Dead returns a channel that is closed once all goroutines of the daemon have ended.
func (k *Kernel) Dead() <-chan struct{} {
	return k.tomb.Dead()
}

// Snapshot returns the snapshot that was published last. It is safe for concurrent
// use.
func (k *Kernel) Snapshot() *snapshot.Snapshot {
	return k.current.Load()
}

// OfferLoads hands loads that hosts have reported to the control goroutine, which
// keeps those that are newer than the known ones.
func (k *Kernel) OfferLoads(s []HostLoad) {
	k.post(func(c *control) {
		c.offerLoads(s)
	})
}

// post hands f to the control goroutine. It blocks until that has taken f, but not
// until f returns. If the daemon ends first, f is dropped.
func (k *Kernel) post(f func(c *control)) {
	select {
	case k.events <- f:
	case <-k.tomb.Dying():
	}
}

// queryOrZero runs f on the control goroutine and returns its result, or the zero
// value if the daemon ends first.
func queryOrZero[T any](k *Kernel, f func(c *control) T) T {
	a, err := query(context.Background(), k, f)
	if err != nil {
		level.Debug(k.Log).Log("msg", "core: no answer from the control goroutine", "err", err)
	}
	return a
}

// flush waits until the events posted before it were handled and their snapshot was
// published: the control goroutine takes no event before that. It returns early if the
// daemon ends.
func (k *Kernel) flush() {
	k.post(func(*control) {})
}
