package edge

import (
	"context"
	"time"

	"heatherford/core/balance"
	"heatherford/core/fleet"
	"heatherford/core/registry"
	"heatherford/core/route"
)

const (
	// stepInterval is the interval of the control goroutine's periodic work.
	stepInterval = 50 * time.Millisecond
	// livenessInterval is how often a host checks which others are live: as often as
	// they send heartbeats.
	livenessInterval = fleet.HeartbeatInterval
	// remoteInterval is the interval of a relay host's heartbeats to other zones.
	remoteInterval = 500 * time.Millisecond
	// sharesInterval is the interval at which a relay host adjusts the spillover
	// shares.
	sharesInterval = 250 * time.Millisecond
	// tellInterval is the least interval at which hosts are told at once of requests that may crash
	// endpoints.
	tellInterval = 50 * time.Millisecond
	// sharesLogInterval is the interval of the log lines on spillover shares.
	sharesLogInterval = 2 * time.Second
	// joinRetryInterval is the pause after an attempt to join.
	joinRetryInterval = 500 * time.Millisecond
	// joinTimeout and fetchTimeout bound calls of Transport.Join and Transport.Fetch.
	joinTimeout  = 1500 * time.Millisecond
	fetchTimeout = 600 * time.Millisecond
	// transitAllowance is added to the age of what another host sends, for its time
	// on the network.
	transitAllowance = 20 * time.Millisecond
	// maxZoneAge is how long the slot use that a relay host reported for its zone
	// counts.
	maxZoneAge = 3 * time.Second
	// startReadDelay is how long a host that knows nothing waits to learn from others
	// before it reads the platform's records itself: ten rounds of heartbeats.
	// startReadDelayPerHost is added for each host before it in the order, up to
	// maxStartReadDelay in all.
	startReadDelay        = time.Second
	startReadDelayPerHost = 20 * time.Millisecond
	maxStartReadDelay     = 2 * time.Second
	// firstReadDelay is how long a host waits after it has joined until it reads as the
	// first one in the order: hosts that join at the same time do not know of each
	// other before their heartbeats.
	firstReadDelay = 2 * fleet.HeartbeatInterval
	// learnDelay is how long a host that has joined waits to learn from others what the
	// platform may have lost, before it serves by what it has read itself, and how long
	// one that has learned news that are out of date waits for those of others: three
	// heartbeats. maxLearnDelay bounds the wait of one that cannot join.
	learnDelay    = 3 * fleet.HeartbeatInterval
	maxLearnDelay = maxStartReadDelay
	// silentMemory is how long a host that fell silent may still be running behind a network
	// outage, for decisions that only one host may take.
	silentMemory = 30 * time.Second
	// pauseThreshold is the gap between two steps from which on the host counts as
	// paused: its process did not run.
	pauseThreshold = time.Second
)

// control is the state of the control goroutine. Only that goroutine uses it.
type control struct {
	edge *shared
	// background runs a function on a goroutine of its own, and what that returns on the control
	// goroutine.
	background func(f func() func(c *control))
	// probeVisited probes an endpoint on a goroutine of its own and records what that shows of
	// requests that nobody awaits.
	probeVisited func(t balance.Target)

	registry *registry.Registry
	fleet    *fleet.Fleet
	readers  [registry.NumParts]reader
	// zones holds what relay hosts reported of their zones. zoneCursor is the
	// position of the last one that was passed on; heartbeats hold them in turn.
	zones      map[string]zoneState
	zoneCursor int
	// started is when the host started. joined is true once the platform lists it.
	started time.Time
	joined  bool
	// firstRead is when the first read may begin of a host that has joined and knows
	// nothing.
	firstRead time.Time
	joining   bool
	nextJoin  time.Time
	fetching  bool
	// learned is true once a host that serves has told this one all that it knows, and
	// learnUntil is when this host no longer waits for that, or for newer news.
	learned    bool
	learnUntil time.Time
	// enlistLive is true while the live hosts have to be added to the platform's list
	// after its return from a copy.
	enlistLive bool

	// hostStates holds the newest states of hosts of the own zone, from their own
	// heartbeats or from gossip.
	hostStates map[string]hostState
	// recentChanges are the changes that heartbeats hold.
	recentChanges recentChanges
	// announcementsLeft is how often the latest change of the operator records is still to
	// be announced, nextAnnouncement is when, and announcementRound counts announcements.
	announcementsLeft int
	nextAnnouncement  time.Time
	announcementRound int
	// suspectsDue is true if something is to be told of requests that may crash endpoints, and
	// nextSuspects is when that may be.
	suspectsDue  bool
	nextSuspects time.Time
	// round counts the gossip rounds of a large zone, and leavingRound the heartbeats.
	round        int
	leavingRound int

	nextLiveness        time.Time
	nextZoneHeartbeat   time.Time
	nextZonesHeartbeat  time.Time
	nextRemoteHeartbeat time.Time
	nextShares          time.Time
	nextSharesLog       time.Time
	lastStep            time.Time
	lateness            lateness
	// live are the live hosts as of the last check, and seen holds each host as it was
	// when it was last live.
	live []fleet.Member
	seen map[string]fleet.Member
	// silentSince is when each host fell silent that is not live, unless it had said that it
	// leaves.
	silentSince map[string]time.Time
	// starvedAt is when the last gap between two steps ended that was longer than
	// starvedGap.
	starvedAt time.Time
	// probeRound counts the rounds of probes.
	probeRound int
	// limits are the endpoints' limits as they were logged last.
	limits map[string]balance.StatedLimit
	// leaving are the endpoints that were logged as leaving by their own word, with the
	// starts of their incarnations.
	leaving map[string]time.Time
	// revision is one more than the registry's count of changes that the balancer
	// has; 0 stands for none.
	revision uint64
	// table is the route table of the declaration in force, or nil.
	table *route.Table
	// atHosts holds the listed endpoints whose address is that of a host.
	atHosts map[string]bool
	// usable are the endpoints that the balancer has.
	usable map[string]registry.Endpoint
	// nextUnexplainedProbe is when endpoints may be probed again whose connections broke for
	// a reason that is not known.
	nextUnexplainedProbe time.Time
}

// newControl returns the state of the control goroutine of a host that starts.
func newControl(e *Edge, now time.Time) *control {
	c := &control{
		edge:       &e.shared,
		background: e.background,
		probeVisited: func(t balance.Target) {
			ctx := e.tomb.Context(context.Background())
			go func() {
				_ = e.contain("probe of an endpoint", func() error {
					e.probeVisited(ctx, t)
					return nil
				})
			}()
		},
		registry:   registry.New(),
		fleet:      fleet.New(e.options.Self),
		zones:      map[string]zoneState{},
		hostStates: map[string]hostState{},
		seen:       map[string]fleet.Member{},
		revision:   1,
		started:    now,
		learnUntil: now.Add(maxLearnDelay),
		lastStep:   now,
	}
	c.live = c.fleet.Live(now)
	return c
}

// run is the loop of the control goroutine.
func (e *Edge) run() error {
	now := time.Now()
	c := newControl(e, now)
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	if err := c.stepSafely(now); err != nil {
		return err
	}
	for {
		select {
		case f := <-e.events:
			// What a panic leaves out is one event, such as another host's heartbeat.
			_ = e.contain("event", func() error {
				f(c)
				return nil
			})
		case <-e.suspectsChanged:
			_ = e.contain("suspects", func() error {
				c.suspectsDue = true
				c.tellSuspects(time.Now())
				return nil
			})
		case <-t.C:
			if err := c.stepSafely(time.Now()); err != nil {
				return err
			}
		case <-e.tomb.Dying():
			return nil
		}
	}
}

// step does the periodic work.
func (c *control) step(now time.Time) {
	c.edge.steppedAt.Store(&now)
	if now.Sub(c.lastStep) > pauseThreshold {
		c.edge.options.Log("pause", "gap", now.Sub(c.lastStep))
		c.registry.MarkStale()
	}
	late := max(0, now.Sub(c.lastStep)-stepInterval)
	c.edge.options.ObserveDelay(late)
	c.lateness.observe(late, now)
	if now.Sub(c.lastStep) > starvedGap {
		c.starvedAt = now
	}
	c.lastStep = now
	c.registry.Expire(now)
	c.join(now)
	if !now.Before(c.nextLiveness) {
		c.nextLiveness = now.Add(livenessInterval)
		c.updateLive(now)
		c.logLimits(now)
		c.logLeaving(now)
		c.edge.quarantine.Expire(now)
		c.edge.visits.Expire(now)
		c.explainBreakages(now)
		c.probeUnexplained(now)
		c.probeQuiet(now)
	}
	for p := range registry.NumParts {
		c.read(p, now)
	}
	c.checkReach(now)
	c.edge.balancer.Sample(stepInterval, now)
	c.edge.balancer.AdmitWaiting(now)
	if !now.Before(c.nextShares) {
		c.nextShares = now.Add(sharesInterval)
		c.adjustShares(now)
	}
	c.publish(now)
	c.tellSuspects(now)
	c.repeatAnnouncement(now)
	if !now.Before(c.nextZoneHeartbeat) {
		c.sendZoneHeartbeat(now)
	}
	if !now.Before(c.nextRemoteHeartbeat) && (c.isRelay() || c.lacksEndpoints()) {
		c.sendRemoteHeartbeat(now)
	}
}

// lacksEndpoints reports whether this host knows of no endpoints yet. Until then it
// asks the other zones too, since the relay host of its own may be gone.
func (c *control) lacksEndpoints() bool {
	return c.registry.Version(registry.Endpoints).IsZero()
}

// updateLive updates the live hosts and logs those that appeared, changed or fell
// silent.
func (c *control) updateLive(now time.Time) {
	live := c.fleet.Live(now)
	before := map[string]fleet.Member{}
	for _, m := range c.live {
		before[m.Name] = m
	}
	changed := len(live) != len(c.live)
	for _, m := range live {
		o, ok := before[m.Name]
		if m.Isolated && !o.Isolated {
			c.edge.balancer.DiscardReports(m.Name, now)
		}
		if !ok || o.Leaving != m.Leaving || o.Isolated != m.Isolated || !o.Started.Equal(m.Started) {
			changed = true
			c.edge.options.Log("host", "name", m.Name, "zone", m.Zone, "state", c.stateOf(m))
		}
		c.seen[m.Name] = m
		delete(before, m.Name)
		delete(c.silentSince, m.Name)
	}
	for n, m := range before {
		delete(c.hostStates, n)
		c.recordSilent(m, now)
		c.edge.options.Log("host", "name", n, "zone", m.Zone, "state", "silent")
	}
	c.live = live
	if changed {
		c.revision = 0
	}
}

// recordSilent records that a host fell silent.
func (c *control) recordSilent(m fleet.Member, now time.Time) {
	if m.Leaving {
		return
	}
	if c.silentSince == nil {
		c.silentSince = map[string]time.Time{}
	}
	c.silentSince[m.Name] = now
}

// silent returns the hosts that fell silent within silentMemory.
func (c *control) silent(now time.Time) []fleet.Member {
	s := []fleet.Member{}
	for n, t := range c.silentSince {
		if now.Sub(t) > silentMemory {
			delete(c.silentSince, n)
			continue
		}
		s = append(s, c.seen[n])
	}
	return s
}

// stateOf returns the state of a live host for logs. A host that is back as another
// process without having left has ended by itself, or was killed.
func (c *control) stateOf(m fleet.Member) string {
	o, ok := c.seen[m.Name]
	switch {
	case m.Leaving:
		return "leaving"
	case ok && !o.Leaving && !o.Started.Equal(m.Started):
		return "restarted"
	case m.Isolated:
		return "isolated"
	default:
		return "live"
	}
}

// publish stores a new view. It updates the balancer first if it has an older state.
func (c *control) publish(now time.Time) {
	if c.revision != c.registry.Revision()+1 {
		c.revision = c.registry.Revision() + 1
		c.updateBalancer(now)
	}
	v := &View{
		Table:          c.table,
		EndpointsKnown: !c.lacksEndpoints() && c.settled(now),
		Live:           c.live,
		Silent:         c.silent(now),
		BudgetHosts:    c.fleet.BudgetHosts(now),
		Leaving:        c.fleet.Self().Leaving,
		IsolatedSince:  c.edge.reach.IsolatedSince(),
	}
	for p := range registry.NumParts {
		v.CurrentAt[p] = c.registry.CurrentAt(p)
	}
	c.edge.view.Store(v)
}

// updateBalancer passes the declaration and the usable endpoints to the balancer.
func (c *control) updateBalancer(now time.Time) {
	d := c.registry.Declaration()
	if d == nil {
		return
	}
	if c.table == nil || c.table.Declaration.Version != d.Version {
		began := time.Now()
		c.table = route.NewTable(d)
		c.edge.options.Log("declaration", "version", d.Version, "routes", len(d.Routes), "idle", d.Limits.IdleTimeout,
			"took", time.Since(began), "age", now.Sub(c.registry.CurrentAt(registry.OperatorRecords)))
	}
	limits := map[string]balance.Limits{}
	for n, u := range d.Upstreams {
		limits[n] = balance.Limits{
			Connections: u.Connections,
			ColdRate:    u.ColdRate,
		}
	}
	s := c.exceptHosts(c.registry.Usable())
	c.edge.balancer.SetEndpoints(s, limits, c.placements(now), now)
	s = c.edge.balancer.WithoutLeaving(s)
	c.initShares(s)
	c.logEndpoints(s, now)
	c.explainBreakages(now)
}

// logEndpoints logs each endpoint that became usable, changed, or is no longer
// usable.
func (c *control) logEndpoints(s []registry.Endpoint, now time.Time) {
	age := now.Sub(c.registry.CurrentAt(registry.Endpoints))
	version := c.registry.Version(registry.Endpoints)
	before := c.usable
	c.usable = map[string]registry.Endpoint{}
	for _, e := range s {
		c.usable[e.ID] = e
		o, ok := before[e.ID]
		delete(before, e.ID)
		if ok && o.StartedAt.Equal(e.StartedAt) && o.ColdUntil.Equal(e.ColdUntil) {
			continue
		}
		c.edge.options.Log("endpoint", "endpoint", e.ID, "upstream", e.Upstream, "zone", e.Zone, "state", "usable",
			"cold_left", max(0, e.ColdUntil.Sub(now)), "version", version, "age", age)
	}
	for id, o := range before {
		c.edge.options.Log("endpoint", "endpoint", id, "upstream", o.Upstream, "zone", o.Zone, "state", "unusable",
			"version", version, "age", age)
	}
}

// logLimits logs each limit of an endpoint that was stated, changed or ended.
func (c *control) logLimits(now time.Time) {
	before := c.limits
	c.limits = map[string]balance.StatedLimit{}
	for id, r := range c.edge.balancer.StatedLimits(now) {
		c.limits[id] = r.StatedLimit
		if before[id] != r.StatedLimit {
			c.edge.options.Log("limit", "endpoint", id, "limit", &r.StatedLimit, "age", r.Age)
		}
	}
}

// logLeaving logs each endpoint that has said that it leaves. It is no longer usable.
func (c *control) logLeaving(now time.Time) {
	before := c.leaving
	c.leaving = c.edge.balancer.ListedLeaving(now)
	for id, t := range c.leaving {
		if o, ok := before[id]; ok && o.Equal(t) {
			continue
		}
		c.edge.options.Log("leaving", "endpoint", id, "upstream", c.upstreamOf(id), "incarnation", t.UnixMilli())
		c.revision = 0
	}
}

// upstreamOf returns the upstream of a usable endpoint, or an empty string.
func (c *control) upstreamOf(id string) string {
	for _, e := range c.registry.Usable() {
		if e.ID == id {
			return e.Upstream
		}
	}
	return ""
}

// leave marks the host as leaving and tells the other hosts at once.
func (c *control) leave() {
	c.fleet.Leave()
	now := time.Now()
	c.updateLive(now)
	c.publish(now)
	c.sendFullZoneHeartbeat(now)
	c.sendRemoteHeartbeat(now)
}

// isRelay reports whether this is the relay host of its zone, which sends heartbeats
// to other zones.
func (c *control) isRelay() bool {
	z := fleet.InZone(c.live, c.fleet.Self().Zone)
	return len(z) > 0 && z[0].Name == c.fleet.Self().Name
}
