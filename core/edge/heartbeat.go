package edge

import (
	"context"
	"maps"
	"slices"
	"time"

	"heatherford/core/fleet"
	"heatherford/core/quarantine"
	"heatherford/core/registry"
)

const (
	// maxOwnedStates is the most states of own endpoints that a heartbeat holds.
	maxOwnedStates = 64
	// maxLimits is the most endpoints' limits that a heartbeat holds, at some 100
	// bytes each.
	maxLimits = 64
	// maxLeaving is the most leaving endpoints in a heartbeat, at some 60 bytes each.
	maxLeaving = 64
	// maxSuspects is the most requests that may crash endpoints in a heartbeat, at
	// some 350 bytes each.
	maxSuspects = 12
)

// sendZoneHeartbeat sends a heartbeat to the hosts of the own zone. In a large zone
// it goes to the targets of the gossip round, and now and then the relay host sends
// one to all.
func (c *control) sendZoneHeartbeat(now time.Time) {
	if !c.fleet.UsesGossip() {
		c.nextZoneHeartbeat = now.Add(fleet.HeartbeatInterval)
		c.sendFullZoneHeartbeat(now)
		return
	}
	c.nextZoneHeartbeat = now.Add(fleet.GossipInterval)
	t := c.newZoneHeartbeat(now)
	t.Gossip = c.gossip(now)
	t.Changes = c.recentChanges.updates(c.registry, gossipChangesAge, now)
	if c.round%zonesEveryRounds == 0 {
		t.Zones = c.zoneStatuses(now)
	}
	c.edge.options.Transport.SendHeartbeat(c.fleet.ZoneTargets(c.round), t)
	c.round++
	if c.isRelay() && !now.Before(c.nextZonesHeartbeat) {
		c.sendFullZoneHeartbeat(now)
	}
}

// sendFullZoneHeartbeat sends a heartbeat to all hosts of the own zone. The relay
// host adds the spillover shares and the states of other zones.
func (c *control) sendFullZoneHeartbeat(now time.Time) {
	t := c.newZoneHeartbeat(now)
	t.Changes = c.recentChanges.updates(c.registry, changesAge, now)
	if c.isRelay() {
		c.nextZonesHeartbeat = now.Add(zonesInterval)
		c.addZones(t, now)
	}
	c.edge.options.Transport.SendHeartbeat(c.fleet.ZonePeers(), t)
}

// newZoneHeartbeat returns a heartbeat for hosts of the own zone, with the states of
// own endpoints. Of more than maxOwnedStates it holds those of the round.
func (c *control) newZoneHeartbeat(now time.Time) *Heartbeat {
	t := c.newHeartbeat(quarantine.ToZone, now)
	t.Owned = ofRound(c.edge.balancer.OwnedStates(now), maxOwnedStates, c.round)
	return t
}

// ofRound returns a map with at most n entries: the next ones in each round if there
// are more.
func ofRound[V any](m map[string]V, n, round int) map[string]V {
	if len(m) <= n {
		return m
	}
	keys := slices.Sorted(maps.Keys(m))
	s := map[string]V{}
	for i := range n {
		k := keys[(round*n+i)%len(keys)]
		s[k] = m[k]
	}
	return s
}

// isReader reports whether this host reads a part of the platform's records for the
// others.
func (c *control) isReader() bool {
	for p := range registry.NumParts {
		if c.readers[p].active {
			return true
		}
	}
	return false
}

// sendRemoteHeartbeat sends a heartbeat to the relay hosts of the other zones.
func (c *control) sendRemoteHeartbeat(now time.Time) {
	c.nextRemoteHeartbeat = now.Add(remoteInterval)
	t := c.newHeartbeat(quarantine.ToOthers, now)
	t.Changes = c.recentChanges.updates(c.registry, changesAge, now)
	if c.isRelay() {
		t.Zones = []ZoneStatus{c.ownZoneStatus()}
	}
	c.edge.options.Transport.SendHeartbeat(c.fleet.RemoteTargets(c.live), t)
}

// newHeartbeat returns a heartbeat to an audience with the status of each part.
func (c *control) newHeartbeat(to quarantine.Audience, now time.Time) *Heartbeat {
	t := &Heartbeat{
		From:     c.fleet.Self(),
		Settled:  c.settled(now),
		Declared: c.declared(),
		Limits:   ofRound(c.edge.balancer.StatedLimits(now), maxLimits, c.round),
		Leaving:  ofRound(c.edge.balancer.ListedLeaving(now), maxLeaving, c.leavingRound),
		Suspects: c.edge.quarantine.Reports(maxSuspects, to, now),
	}
	c.leavingRound++
	for p := range registry.NumParts {
		t.Parts[p] = PartStatus{
			Version: c.registry.Version(p),
			Changed: c.registry.ChangedVersion(p),
			Age:     c.toldAge(p, now),
			Reader:  c.readers[p].source,
		}
	}
	return t
}

// declared returns the version of the declaration in force, or 0.
func (c *control) declared() uint64 {
	if d := c.registry.Declaration(); d != nil {
		return d.Version
	}
	return 0
}

// ageOf returns the age of t, or -1 if t is zero.
func ageOf(t, now time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return now.Sub(t)
}

// toldAge returns the age of a part that other hosts are told, or -1 if the part was never
// current. It includes how late this host handles what it receives, so that a slow host
// does not confirm to others what may have changed.
func (c *control) toldAge(p registry.Part, now time.Time) time.Duration {
	t := c.registry.CurrentAt(p)
	if t.IsZero() {
		return -1
	}
	return now.Sub(t) + c.lateness.at(now)
}

// handleHeartbeat handles a heartbeat that arrived at now.
func (c *control) handleHeartbeat(t *Heartbeat, now time.Time) {
	c.fleet.RecordHeartbeat(t.From, now)
	c.edge.balancer.RecordStatedLimits(t.Limits, now.Add(-transitAllowance))
	c.edge.balancer.RecordLeaving(t.Leaving, now)
	c.edge.quarantine.Merge(t.Suspects, now.Add(-transitAllowance))
	c.handleChanges(t, now)
	// A declaration counts by its own version, whatever the platform holds.
	behind := t.Declared > c.declared() || (!c.learned && t.Settled)
	for p := range registry.NumParts {
		behind = c.handlePartStatus(p, &t.Parts[p], now) || behind
	}
	unknownHost := c.handleZones(t, now)
	if t.From.Zone == c.fleet.Self().Zone {
		c.recordHostState(t.From.Name, hostState{
			at:       now,
			started:  t.From.Started,
			leaving:  t.From.Leaving,
			isolated: t.From.Isolated,
			owned:    t.Owned,
		})
		unknownHost = c.handleGossip(t, now) || unknownHost
		if len(t.Shares) > 0 && !c.isRelay() {
			c.edge.balancer.SetShares(t.Shares)
		}
	}
	if behind || unknownHost {
		c.fetch(t)
	}
	if (t.lacksEndpoints() || (!t.Settled && c.settled(now))) && !c.lacksEndpoints() {
		// The other host has just started, so it gets a heartbeat at once.
		c.edge.options.Transport.SendHeartbeat([]fleet.Member{t.From}, c.newZoneHeartbeat(now))
	}
}

// lacksEndpoints reports whether the sender of the heartbeat knows of no endpoints
// yet.
func (t *Heartbeat) lacksEndpoints() bool {
	return t.Parts[registry.Endpoints].Age < 0
}

// handlePartStatus handles what another host knows of a part. It reports whether that
// host has changes that this one lacks.
func (c *control) handlePartStatus(p registry.Part, n *PartStatus, now time.Time) bool {
	c.stepDown(p, n, now)
	if n.Age < 0 || n.Version.Before(c.registry.Version(p)) {
		return false
	}
	current := c.claimedAt(p, n.Reader, n.Age, now)
	newer := current.After(c.registry.CurrentAt(p))
	if !c.registry.Confirm(p, n.Version, n.Changed, current) {
		return true
	}
	if newer {
		c.readers[p].source = n.Reader
	}
	return false
}

// claimedAt returns when a part was current by the age that another host tells of a read. A
// slow host takes what it heard for newer than it is, and tells that. This host knows better
// of its own reads, so that it reads again in time however its news come back.
func (c *control) claimedAt(p registry.Part, reader string, age time.Duration, now time.Time) time.Time {
	t := now.Add(-age - transitAllowance)
	if own := c.readers[p].readAt; reader == c.fleet.Self().Name && !own.IsZero() && t.After(own) {
		return own
	}
	return t
}

// fetch asks the sender of a heartbeat for what this host lacks. A host that has just
// started asks for everything: it may have read the platform's copy, and what the copy
// lacks lies before that. Only one fetch runs at a time.
func (c *control) fetch(t *Heartbeat) {
	if c.fetching {
		return
	}
	m := t.From
	c.fetching = true
	began := time.Now()
	since := [registry.NumParts]registry.Version{}
	for p := range registry.NumParts {
		if c.learned || !t.Settled {
			since[p] = c.registry.Version(p)
		}
	}
	if t.Declared > c.declared() {
		since[registry.OperatorRecords] = registry.Version{}
	}
	c.background(func() func(c *control) {
		ctx, cancel := context.WithTimeout(c.edge.tomb.Context(context.Background()), fetchTimeout)
		defer cancel()
		b := (*Delta)(nil)
		err := c.edge.contain("fetch", func() (err error) {
			b, err = c.edge.options.Transport.Fetch(ctx, m, since)
			return err
		})
		return func(c *control) {
			c.fetching = false
			if err != nil {
				c.edge.options.Log("fetch", "from", m.Name, "outcome", "failed", "err", err)
				return
			}
			if t.Settled {
				c.learnedAll(time.Now())
			}
			c.applyDelta(b, m.Name, began, time.Now())
		}
	})
}

// applyDelta applies what another host knew when it was asked, at requestedAt.
func (c *control) applyDelta(b *Delta, from string, requestedAt, now time.Time) {
	c.fleet.AddListed(b.Members, now)
	// What endpoints said comes first, so that none is used against its own word.
	c.edge.balancer.RecordStatedLimits(b.Limits, now.Add(-transitAllowance))
	c.edge.balancer.RecordLeaving(b.Leaving, now)
	c.edge.quarantine.Merge(b.Suspects, now.Add(-transitAllowance))
	changed := false
	for _, u := range b.Updates {
		p := u.Part
		if p < 0 || p >= registry.NumParts {
			continue
		}
		current := time.Time{}
		if b.Ages[p] >= 0 {
			current = c.claimedAt(p, b.Readers[p], b.Ages[p], now)
		}
		if current.After(c.registry.CurrentAt(p)) && !u.Version.Before(c.registry.Version(p)) {
			c.readers[p].source = b.Readers[p]
		}
		if c.apply(u, current, now) {
			changed = true
			c.logUpdate(p, from, len(u.Records), now.Sub(requestedAt), now)
		}
	}
	c.publish(now)
	if changed {
		c.announceChange(now)
	}
}

// apply applies an update and reports whether any of it matters to traffic. What the sender
// of the update lacked goes out with the next heartbeats too.
func (c *control) apply(u registry.Update, current, now time.Time) bool {
	era := c.registry.Version(u.Part).Era
	e := c.registry.Apply(u, current, now)
	if e.Changed || e.Kept {
		c.recentChanges.add(u.Part, e.Since, now)
	}
	if v := c.registry.Version(u.Part); v.Era > era && era > 0 {
		c.edge.options.Log("platform", "part", int(u.Part), "outcome", "restored", "era", v.Era, "version", v, "kept", e.Kept)
	}
	return e.Changed
}

// handleChanges applies the changes in a heartbeat. Those up to the known version may hold
// what the platform lost.
func (c *control) handleChanges(t *Heartbeat, now time.Time) {
	b := &Delta{}
	for _, u := range t.Changes {
		if p := u.Part; p >= 0 && p < registry.NumParts && (u.Version.After(c.registry.Version(p)) || u.Adds()) {
			b.Updates = append(b.Updates, u)
		}
	}
	if len(b.Updates) == 0 {
		return
	}
	for p := range registry.NumParts {
		b.Ages[p] = t.Parts[p].Age
		b.Readers[p] = t.Parts[p].Reader
	}
	c.applyDelta(b, t.From.Name, now, now)
}

// logUpdate logs an update that matters to traffic: where it came from and how long
// that took.
func (c *control) logUpdate(p registry.Part, from string, records int, took time.Duration, now time.Time) {
	c.edge.options.Log("news", "part", int(p), "version", c.registry.Version(p), "from", from, "records", records,
		"took", took, "age", ageOf(c.registry.CurrentAt(p), now))
}

// delta returns what this host knows beyond the versions.
func (c *control) delta(since [registry.NumParts]registry.Version, now time.Time) *Delta {
	b := &Delta{
		Members: c.fleet.Known(),
		Limits:  c.edge.balancer.StatedLimits(now),
		Leaving: c.edge.balancer.Leaving(),

		Suspects: c.edge.quarantine.Reports(0, quarantine.ToOthers, now),
	}
	for p := range registry.NumParts {
		b.Ages[p] = c.toldAge(p, now)
		b.Readers[p] = c.readers[p].source
		if !c.registry.Version(p).IsZero() {
			b.Updates = append(b.Updates, c.registry.Since(p, since[p], now))
		}
	}
	return b
}
