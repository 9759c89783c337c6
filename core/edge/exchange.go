package edge

import (
	"context"
	"maps"
	"slices"
	"time"

	"heatherford/core/balance"
	"heatherford/core/fleet"
	"heatherford/core/registry"
)

// ownedMost is the most endpoints of its own that a host tells of in a tick.
const ownedMost = 64

// tellNear sends a tick to hosts of the own zone.
func (c *control) tellNear(now time.Time) {
	if !c.fleet.Large() {
		c.nearNext = now.Add(fleet.NearInterval)
		c.tellAll(now)
		return
	}
	c.nearNext = now.Add(fleet.PassInterval)
	t := c.nearTick(now)
	t.Others = c.others(now)
	t.Changes = c.latest.updates(c.registry, passedAge, now)
	if c.round%zonesRounds == 0 {
		t.Zones = c.knownZones(now)
	}
	c.edge.options.Seams.Tell(c.fleet.NearTargets(c.round), t)
	c.round++
	if c.relay() && !now.Before(c.zonesNext) {
		c.tellAll(now)
	}
}

// tellAll sends a tick to all hosts of the own zone.
func (c *control) tellAll(now time.Time) {
	t := c.nearTick(now)
	t.Changes = c.latest.updates(c.registry, latestAge, now)
	if c.relay() {
		c.zonesNext = now.Add(zonesInterval)
		c.addZones(t, now)
	}
	c.edge.options.Seams.Tell(c.fleet.Neighbours(), t)
}

// nearTick returns a tick for hosts of the own zone. With many endpoints it tells of
// some in turn.
func (c *control) nearTick(now time.Time) *Tick {
	t := c.tick(now)
	t.Owned = c.edge.balancer.Owned(now)
	if len(t.Owned) > ownedMost {
		t.Owned = inTurn(t.Owned, c.round)
	}
	return t
}

// inTurn returns ownedMost states of a map, others in each round.
func inTurn(m map[string]balance.State, round int) map[string]balance.State {
	ids := slices.Sorted(maps.Keys(m))
	s := map[string]balance.State{}
	for i := range ownedMost {
		id := ids[(round*ownedMost+i)%len(ids)]
		s[id] = m[id]
	}
	return s
}

// tellChange tells the own zone at once of something that changed. In a large zone
// only its relay and a host that reads tell all, since each host that learns of it
// tells others.
func (c *control) tellChange(now time.Time) {
	if c.relay() || c.acting() {
		c.tellAll(now)
		return
	}
	c.tellNear(now)
}

func (c *control) acting() bool {
	for p := range registry.Parts {
		if c.readers[p].acting {
			return true
		}
	}
	return false
}

// tellFar sends a tick to the relays of the other zones.
func (c *control) tellFar(now time.Time) {
	c.farNext = now.Add(farInterval)
	t := c.tick(now)
	t.Changes = c.latest.updates(c.registry, latestAge, now)
	if c.relay() {
		t.Zones = []ZoneNews{c.ownZone()}
	}
	c.edge.options.Seams.Tell(c.fleet.FarTargets(c.live), t)
}

func (c *control) tick(now time.Time) *Tick {
	t := &Tick{
		From: c.fleet.Self(),
	}
	for p := range registry.Parts {
		t.News[p] = News{
			Version: c.registry.Version(p),
			Changed: c.registry.Changed(p),
			Age:     ageOf(c.registry.Current(p), now),
			Reader:  c.readers[p].source,
		}
	}
	return t
}

// ageOf returns the age of a time, or -1 if it is zero.
func ageOf(t, now time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return now.Sub(t)
}

// hear takes in a tick that arrived at the time.
func (c *control) hear(t *Tick, now time.Time) {
	c.fleet.Hear(t.From, now)
	c.hearChanges(t, now)
	behind := false
	for p := range registry.Parts {
		behind = c.hearNews(p, &t.News[p], now) || behind
	}
	unknown := c.hearZones(t, now)
	if t.From.Zone == c.fleet.Self().Zone {
		c.note(t.From.Name, heardHost{
			at:      now,
			started: t.From.Started,
			leaving: t.From.Leaving,
			owned:   t.Owned,
		})
		unknown = c.hearOthers(t, now) || unknown
		if len(t.Shares) > 0 && !c.relay() {
			c.edge.balancer.SetShares(t.Shares)
		}
	}
	if behind || unknown {
		c.fetch(t.From)
	}
	if t.blank() && c.registry.Version(registry.Endpoints) > 0 {
		// It has just started.
		c.edge.options.Seams.Tell([]fleet.Member{t.From}, c.nearTick(now))
	}
}

// blank reports whether the host that sent the tick knows of no endpoints yet.
func (t *Tick) blank() bool {
	return t.News[registry.Endpoints].Age < 0
}

// hearNews reports whether the other host knows something of a part that this
// one does not.
func (c *control) hearNews(p registry.Part, n *News, now time.Time) bool {
	c.yield(p, n)
	if n.Age < 0 || n.Version < c.registry.Version(p) {
		return false
	}
	current := now.Add(-n.Age - transit)
	newer := current.After(c.registry.Current(p))
	if !c.registry.Confirm(p, n.Version, n.Changed, current) {
		return true
	}
	if newer {
		c.readers[p].source = n.Reader
	}
	return false
}

// fetch asks another host for what this one lacks.
func (c *control) fetch(m fleet.Member) {
	if c.fetching {
		return
	}
	c.fetching = true
	began := time.Now()
	since := [registry.Parts]uint64{}
	for p := range registry.Parts {
		since[p] = c.registry.Version(p)
	}
	c.edge.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(c.edge.tomb.Context(context.Background()), fetchTimeout)
		defer cancel()
		b, err := c.edge.options.Seams.Fetch(ctx, m, since)
		c.edge.post(func(c *control) {
			c.fetching = false
			if err != nil {
				c.edge.options.Log("fetch", "from", m.Name, "outcome", "failed", "err", err)
				return
			}
			c.learn(b, m.Name, began, time.Now())
		})
		return nil
	})
}

// learn takes in what another host knew when it was asked at the time.
func (c *control) learn(b *Book, from string, began, now time.Time) {
	c.fleet.List(b.Members, now)
	changed := false
	for _, u := range b.Updates {
		p := u.Part
		if p < 0 || p >= registry.Parts || u.Version < c.registry.Version(p) {
			continue
		}
		current := time.Time{}
		if b.Ages[p] >= 0 {
			current = now.Add(-b.Ages[p] - transit)
		}
		if current.After(c.registry.Current(p)) {
			c.readers[p].source = b.Readers[p]
		}
		if c.apply(u, current, now) {
			changed = true
			c.logNews(p, from, len(u.Records), now.Sub(began), now)
		}
	}
	c.publish(now)
	if changed {
		c.tellChange(now)
	}
}

// apply takes in what changed, and reports whether any of it matters to traffic.
func (c *control) apply(u registry.Update, current, now time.Time) bool {
	since := c.registry.Version(u.Part)
	if !c.registry.Apply(u, current, now) {
		return false
	}
	c.latest.note(u.Part, since, now)
	return true
}

// hearChanges takes in the changes that a tick holds and this host lacks.
func (c *control) hearChanges(t *Tick, now time.Time) {
	b := &Book{}
	for _, u := range t.Changes {
		if p := u.Part; p >= 0 && p < registry.Parts && u.Version > c.registry.Version(p) {
			b.Updates = append(b.Updates, u)
		}
	}
	if len(b.Updates) == 0 {
		return
	}
	for p := range registry.Parts {
		b.Ages[p] = t.News[p].Age
		b.Readers[p] = t.News[p].Reader
	}
	c.learn(b, t.From.Name, now, now)
}

// logNews writes a line for news that matter to traffic: whom they came from and how
// long they took.
func (c *control) logNews(p registry.Part, from string, records int, took time.Duration, now time.Time) {
	c.edge.options.Log("news", "part", int(p), "version", c.registry.Version(p), "from", from, "records", records,
		"took", took, "age", ageOf(c.registry.Current(p), now))
}

// book returns what this host knows beyond the versions.
func (c *control) book(since [registry.Parts]uint64, now time.Time) *Book {
	b := &Book{
		Members: c.fleet.Known(),
	}
	for p := range registry.Parts {
		b.Ages[p] = ageOf(c.registry.Current(p), now)
		b.Readers[p] = c.readers[p].source
		if c.registry.Version(p) > 0 {
			b.Updates = append(b.Updates, c.registry.Since(p, since[p], now))
		}
	}
	return b
}
