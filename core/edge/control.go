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
	// step is the interval of the control goroutine's regular work.
	step = 50 * time.Millisecond
	// fleetInterval is how often a host looks which others live: as often as these
	// tell.
	fleetInterval = fleet.NearInterval
	// farInterval is the interval of a relay's ticks to other zones.
	farInterval = 500 * time.Millisecond
	// shareInterval is the interval at which a relay adjusts the shares.
	shareInterval = 250 * time.Millisecond
	// sharesLogInterval is the interval of the log lines on shares.
	sharesLogInterval = 2 * time.Second
	// joinAgain is the pause before another try to join.
	joinAgain = 500 * time.Millisecond
	// joinTimeout and fetchTimeout bound calls.
	joinTimeout  = 1500 * time.Millisecond
	fetchTimeout = 600 * time.Millisecond
	// transit is added to the age of what another host tells.
	transit = 20 * time.Millisecond
	// zoneAge is how long what a relay told of its zone's slots is used.
	zoneAge = 3 * time.Second
	// coldPart is the part of a cold endpoint's allowance that the hosts of its
	// zone use together. The rest is for hosts that do not hear each other.
	coldPart = 0.7
	// startWait is how long a host that knows nothing waits for what others know
	// before it reads for itself: ten rounds of ticks. startEach is added for each
	// host before it, up to startMost.
	startWait = time.Second
	startEach = 20 * time.Millisecond
	startMost = 2 * time.Second
	// pauseGap is a gap between two steps that shows that the host did not run.
	pauseGap = time.Second
)

// control is the state of the control goroutine.
type control struct {
	edge     *Edge
	registry *registry.Registry
	fleet    *fleet.Fleet
	readers  [registry.Parts]reader
	// zones is what relays told of their zones, and nextZone counts those that were
	// passed on.
	zones    map[string]zoneState
	nextZone int
	// began is when the host started, and joined is true once the platform lists
	// it.
	began    time.Time
	joined   bool
	joining  bool
	joinNext time.Time
	fetching bool

	// heard is what hosts of the own zone told last of themselves, directly or by
	// others.
	heard map[string]heardHost
	// latest are the changes that ticks hold.
	latest latest
	// round counts the ticks to hosts of the own zone.
	round int

	fleetNext time.Time
	nearNext  time.Time
	zonesNext time.Time
	farNext   time.Time
	shareNext time.Time
	sharesLog time.Time
	stepped   time.Time
	// live is the view of the last step.
	live []fleet.Member
	// changes is the registry's count that the view holds.
	changes uint64
	table   *route.Table
	// usable are the endpoints that the view holds.
	usable map[string]registry.Endpoint
}

// run is the control goroutine.
func (e *Edge) run() error {
	c := &control{
		edge:     e,
		registry: registry.New(),
		fleet:    fleet.New(e.options.Self),
		zones:    map[string]zoneState{},
		heard:    map[string]heardHost{},
		changes:  1,
	}
	now := time.Now()
	c.began = now
	c.stepped = now
	c.live = c.fleet.Live(now)
	t := time.NewTicker(step)
	defer t.Stop()
	c.step(now)
	for {
		select {
		case f := <-e.events:
			f(c)
		case <-t.C:
			c.step(time.Now())
		case <-e.tomb.Dying():
			return nil
		}
	}
}

// step does the regular work.
func (c *control) step(now time.Time) {
	if now.Sub(c.stepped) > pauseGap {
		c.edge.options.Log("pause", "gap", now.Sub(c.stepped))
		c.registry.Doubt()
	}
	c.stepped = now
	c.registry.Expire(now)
	c.join(now)
	if !now.Before(c.fleetNext) {
		c.fleetNext = now.Add(fleetInterval)
		c.watchFleet(now)
	}
	for p := range registry.Parts {
		c.read(p, now)
	}
	c.edge.balancer.Sample(step, now)
	c.edge.balancer.Pump(now)
	if !now.Before(c.shareNext) {
		c.shareNext = now.Add(shareInterval)
		c.adjustShares(now)
	}
	c.publish(now)
	if !now.Before(c.nearNext) {
		c.tellNear(now)
	}
	if !now.Before(c.farNext) && c.relay() {
		c.tellFar(now)
	}
}

// join enters the host into the platform's list, once.
func (c *control) join(now time.Time) {
	if c.joined || c.joining || now.Before(c.joinNext) {
		return
	}
	c.joining = true
	self := c.fleet.Self()
	c.edge.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(c.edge.tomb.Context(context.Background()), joinTimeout)
		defer cancel()
		s, err := c.edge.options.Seams.Join(ctx, self)
		c.edge.post(func(c *control) {
			c.joining = false
			c.joinNext = time.Now().Add(joinAgain)
			if err != nil {
				c.edge.options.Log("join", "outcome", "failed", "err", err)
				return
			}
			c.joined = true
			c.fleet.List(s, time.Now())
			// Whether it is this host's turn to read depends on the others.
			c.watchFleet(time.Now())
			c.edge.options.Log("join", "outcome", "joined", "hosts", len(s))
		})
		return nil
	})
}

// watchFleet notes hosts that come and go.
func (c *control) watchFleet(now time.Time) {
	live := c.fleet.Live(now)
	before := map[string]fleet.Member{}
	for _, m := range c.live {
		before[m.Name] = m
	}
	changed := len(live) != len(c.live)
	for _, m := range live {
		o, ok := before[m.Name]
		if !ok || o.Leaving != m.Leaving || !o.Started.Equal(m.Started) {
			changed = true
			c.edge.options.Log("host", "name", m.Name, "zone", m.Zone, "state", stateOf(m))
		}
		delete(before, m.Name)
	}
	for n, m := range before {
		delete(c.heard, n)
		c.edge.options.Log("host", "name", n, "zone", m.Zone, "state", "silent")
	}
	c.live = live
	if changed {
		c.changes = 0
	}
}

func stateOf(m fleet.Member) string {
	if m.Leaving {
		return "leaving"
	}
	return "live"
}

// publish puts a new view in force.
func (c *control) publish(now time.Time) {
	if c.changes != c.registry.Changes()+1 {
		c.changes = c.registry.Changes() + 1
		c.setEndpoints(now)
	}
	v := &View{
		Table:   c.table,
		Listed:  c.registry.Version(registry.Endpoints) > 0,
		Live:    c.live,
		Sharers: c.fleet.Sharers(now),
		Leaving: c.fleet.Self().Leaving,
	}
	for p := range registry.Parts {
		v.Current[p] = c.registry.Current(p)
	}
	c.edge.view.Store(v)
}

// setEndpoints hands the declaration and the endpoints to traffic.
func (c *control) setEndpoints(now time.Time) {
	d := c.registry.Declaration()
	if d == nil {
		return
	}
	if c.table == nil || c.table.Declaration.Version != d.Version {
		c.table = route.NewTable(d)
		c.edge.options.Log("declaration", "version", d.Version, "routes", len(d.Routes),
			"age", now.Sub(c.registry.Current(registry.Orders)))
	}
	limits := map[string]balance.Limits{}
	for n, u := range d.Upstreams {
		limits[n] = balance.Limits{
			Connections: u.Connections,
			ColdRate:    u.ColdRate,
		}
	}
	s := c.registry.Usable()
	c.edge.balancer.Set(s, limits, c.placements(now), now)
	c.startShares(s)
	c.logEndpoints(s, now)
}

// logEndpoints writes a line for each endpoint that came, changed or went.
func (c *control) logEndpoints(s []registry.Endpoint, now time.Time) {
	age := now.Sub(c.registry.Current(registry.Endpoints))
	version := c.registry.Version(registry.Endpoints)
	before := c.usable
	c.usable = map[string]registry.Endpoint{}
	for _, e := range s {
		c.usable[e.ID] = e
		o, ok := before[e.ID]
		delete(before, e.ID)
		if ok && o.Born.Equal(e.Born) && o.ColdUntil.Equal(e.ColdUntil) {
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

// placements returns a function that says what this host is to an endpoint. It looks
// the hosts of each zone up once.
func (c *control) placements(now time.Time) func(e *registry.Endpoint) balance.Placement {
	zones := map[string][]fleet.Member{}
	sharers := c.fleet.SharersByZone(now)
	return func(e *registry.Endpoint) balance.Placement {
		hosts, ok := zones[e.Zone]
		if !ok {
			hosts = c.hostsOf(e.Zone)
			zones[e.Zone] = hosts
		}
		return c.placement(e, hosts, sharers[e.Zone])
	}
}

// placement says what this host is to an endpoint that the hosts send to. Sharers is the
// number of hosts that may take themselves for one of these, silent ones included:
// together they keep the allowance of a cold endpoint.
func (c *control) placement(e *registry.Endpoint, hosts []fleet.Member, sharers int) balance.Placement {
	self := c.fleet.Self()
	sharers = max(1, sharers, len(hosts))
	m := balance.Placement{
		ColdOwn: coldPart * float64(len(hosts)) / float64(sharers),
	}
	for i := range hosts {
		if hosts[i].Name == self.Name {
			m.ColdPart = coldPart / float64(sharers)
		}
	}
	m.Owner = fleet.Owner(hosts, e.ID)
	if m.Owner == "" {
		// No host is near the endpoint: whoever has a request sends it.
		m.Owner = self.Name
		m.Unowned = true
		m.ColdOwn = 0
	}
	return m
}

// hostsOf returns the hosts that send to the endpoints of a zone: those of the
// zone that do not leave, or of its region if it has none.
func (c *control) hostsOf(zone string) []fleet.Member {
	s := fleet.Staying(fleet.Zone(c.live, zone))
	if len(s) > 0 {
		return s
	}
	for _, m := range fleet.Staying(c.live) {
		if m.Region == c.edge.options.Zones[zone] {
			s = append(s, m)
		}
	}
	return s
}

// leave marks the host as leaving and tells the others at once.
func (c *control) leave() {
	c.fleet.Leave()
	now := time.Now()
	c.watchFleet(now)
	c.publish(now)
	c.tellAll(now)
	c.tellFar(now)
}

// relay reports whether this host tells other zones of its own.
func (c *control) relay() bool {
	z := fleet.Zone(c.live, c.fleet.Self().Zone)
	return len(z) > 0 && z[0].Name == c.fleet.Self().Name
}
