package registry

import (
	"time"

	"heatherford/core/route"
)

// Effect is what an update did.
type Effect struct {
	// Changed is true if anything changed that affects traffic.
	Changed bool
	// Kept is true if a record of the update was older than what is known, so that its
	// sender may lack that.
	Kept bool
	// Since is a version after which all changed and kept records lie, if there are any.
	Since Version
	// unseen is true if the update removed an endpoint that was not known.
	unseen bool
}

// note adds a changed or kept record to the effect.
func (e *Effect) note(v Version) {
	if v.Number > 0 {
		v.Number--
	}
	if v.Before(e.Since) {
		e.Since = v
	}
}

// Apply merges an update that was read at the time currentAt. It ignores one that starts
// after the known version, and so lacks the changes in between. An update that is older than
// the known version changes only what it knows better: a host that read the platform before
// its return from a copy knows of changes that the copy lacks.
func (r *Registry) Apply(u Update, currentAt, now time.Time) Effect {
	s := &r.states[u.Part]
	known := s.version
	newEra := !known.IsZero() && known.Era < u.Version.Era
	if !u.Full && (newEra || known.Before(u.Since)) {
		return Effect{}
	}
	before := r.revision
	r.effect = Effect{
		Since: known,
	}
	r.era = max(known.Era, u.Version.Era)
	if u.Version.Before(known) {
		r.applyOlder(u, now)
		r.effect.Changed = r.revision != before
		return r.effect
	}
	if newEra {
		r.graceUntil = later(r.graceUntil, now.Add(returnGrace))
		r.dropUnconfirmed(u.Part)
	}
	if u.Full {
		r.removeUnlisted(u, now)
	}
	for i := range u.Records {
		r.apply(&u.Records[i], now)
	}
	if u.Adds() {
		r.endDrains(u, now)
	}
	gapped := (u.Full || r.effect.unseen) && known.Before(u.Version)
	if gapped {
		r.gaps[u.Part] = append(r.gaps[u.Part], gap{
			after:  known,
			until:  u.Version,
			seenAt: now,
		})
	}
	r.effect.Changed = r.revision != before
	if r.effect.Changed || gapped || known.IsZero() {
		s.changedVersion = u.Version
	}
	s.version = u.Version
	s.currentAt = later(s.currentAt, currentAt)
	return r.effect
}

// applyOlder merges the records of an update that is older than the known version. One of
// an earlier era may lack what came after the copy, so that only a newer declaration counts.
func (r *Registry) applyOlder(u Update, now time.Time) {
	known := r.states[u.Part].version
	for i := range u.Records {
		c := &u.Records[i]
		unknown := false
		switch {
		case c.Declaration != nil:
		case u.Version.Era < known.Era:
			continue
		case c.Endpoint != nil:
			unknown = r.endpoints[c.Endpoint.ID] == nil
		default:
			unknown = r.drainedZones[c.DrainedZone] == nil && c.Version.Era == known.Era
		}
		// What is unknown here was removed by the known version.
		if !unknown {
			r.apply(c, now)
		}
	}
}

func (r *Registry) apply(c *Record, now time.Time) {
	switch {
	case c.Declaration != nil:
		r.setDeclaration(c)
	case c.DrainedZone != "":
		r.setZoneDrained(c, now)
	case c.Endpoint != nil && c.Removed:
		r.remove(c, now)
	case c.Endpoint != nil && c.Endpoint.Check() != nil:
		// Not an endpoint that can run anything.
	case c.Endpoint != nil && c.ExpiresIn > 0:
		r.confirm(c)
		// What is missing brings nothing back that is missing here for longer.
		if e := r.endpoints[c.Endpoint.ID]; e == nil || (!e.absent() && !e.equivalent(c.Endpoint)) {
			r.upsert(c, now)
		}
		r.markMissing(c, now.Add(c.ExpiresIn))
	case c.Endpoint != nil:
		r.upsert(c, now)
	}
}

// setDeclaration takes over a declaration unless an equal or newer one is known: no host
// may go back to an older version.
func (r *Registry) setDeclaration(c *Record) {
	if r.declaration != nil && c.Declaration.Version <= r.declaration.value.Version {
		if c.Declaration.Version < r.declaration.value.Version {
			r.keep(r.declaration.Version)
		}
		return
	}
	r.declaration = &versioned[*route.Declaration]{
		position: c.position(),
		value:    c.Declaration,
	}
	r.changed(c)
}

// setZoneDrained takes over whether a zone is drained. What the newest era says of a zone
// counts, even if it may come from the platform's copy: the numbers of the copy's records are
// given out again, so that nothing tells one from an order that was written anew.
func (r *Registry) setZoneDrained(c *Record, now time.Time) {
	z := r.drainedZones[c.DrainedZone]
	if z == nil {
		z = &versioned[bool]{}
		r.drainedZones[c.DrainedZone] = z
	}
	if z.After(c.Version) {
		if z.value == c.Removed {
			r.keep(z.Version)
		} else {
			r.setContradictionAside(c, z, now)
		}
		return
	}
	r.confirm(c)
	known := z.Version
	z.position = c.position()
	r.setContradictionAside(c, z, now)
	if z.value == !c.Removed {
		if known.Before(c.Version) {
			// Other hosts may have set the removal aside, or have seen one in between.
			r.changed(c)
		}
		return
	}
	z.value = !c.Removed
	z.removedAt = time.Time{}
	if c.Removed {
		z.removedAt = now
		r.markZoneCold(c.DrainedZone, now)
	}
	r.changed(c)
}

// markZoneCold makes the endpoints of a zone count as cold: they got no requests while the
// zone was drained, and their own reports lag.
func (r *Registry) markZoneCold(zone string, now time.Time) {
	for _, e := range r.endpoints {
		if e.Zone == zone {
			e.ColdUntil = later(e.ColdUntil, now.Add(r.coldFor(e.Upstream)))
		}
	}
}

func (r *Registry) coldFor(upstream string) time.Duration {
	if r.declaration != nil {
		if u, ok := r.declaration.value.Upstreams[upstream]; ok {
			return u.ColdFor
		}
	}
	return defaultColdFor
}

func (r *Registry) upsert(c *Record, now time.Time) {
	n := *c.Endpoint
	if n.ColdLeft > 0 {
		n.ColdUntil = now.Add(min(n.ColdLeft, MaxColdLeft))
	}
	e := r.endpoints[n.ID]
	if e == nil {
		r.endpoints[n.ID] = &entry{
			Endpoint: n,
			position: c.position(),
		}
		r.changed(c)
		return
	}
	absent := e.absent()
	if older(&n, &e.Endpoint) || (absent && !c.position().newerThan(e.position)) {
		r.keepEndpoint(c, e, now)
		return
	}
	r.confirm(c)
	colder := n.ColdUntil.Sub(e.ColdUntil) > coldTolerance && n.ColdLeft > 0
	if !absent && e.equivalent(&n) && !colder {
		e.Sequence = n.Sequence
		r.raiseEra(e, c)
		return
	}
	if n.StartedAt.Equal(e.StartedAt) {
		n.ColdUntil = later(n.ColdUntil, e.ColdUntil)
	}
	p := c.position()
	if e.newerThan(p) {
		p = e.position
	}
	*e = entry{
		Endpoint: n,
		position: p,
	}
	r.changed(c)
}

// raiseEra records that a report of the newest era says the same as an earlier one. Hosts that
// know only the platform's copy have to learn that an endpoint leaves.
func (r *Registry) raiseEra(e *entry, c *Record) {
	if e.Era >= c.Version.Era {
		return
	}
	e.position = c.position()
	if e.Leaving {
		r.changed(c)
	}
}

// older reports whether a is an earlier report than b of the same endpoint.
func older(a, b *Endpoint) bool {
	if !a.StartedAt.Equal(b.StartedAt) {
		return a.StartedAt.Before(b.StartedAt)
	}
	return a.Sequence < b.Sequence
}

// remove records that an endpoint was removed. After an outage of the platform the
// endpoint counts as missing until the end of the grace period.
func (r *Registry) remove(c *Record, now time.Time) {
	e := r.endpoints[c.Endpoint.ID]
	if e == nil && !c.Contradicted {
		r.effect.unseen = true
		return
	}
	if e == nil {
		// The copy holds it, so that its next removal has to be known.
		e = &entry{
			Endpoint:  *c.Endpoint,
			position:  c.position(),
			removedAt: now,
		}
		r.endpoints[c.Endpoint.ID] = e
	}
	if e.newerThan(c.position()) {
		return
	}
	r.confirm(c)
	if c.Contradicted {
		x := e.Endpoint
		if c.Endpoint.Check() == nil {
			x = *c.Endpoint
		}
		r.setAside(&Record{
			Version:  c.Version,
			Endpoint: &x,
		}, now)
	}
	if !e.removedAt.IsZero() {
		if e.Before(c.Version) {
			// Other hosts may have set the endpoint's return aside, or have seen it.
			e.position = c.position()
			r.changed(c)
		}
		return
	}
	e.position = c.position()
	r.changed(c)
	if now.Before(r.graceUntil) && !e.Leaving && c.Version.Era == r.era {
		if e.goneAt.IsZero() {
			e.goneAt = r.graceUntil
		}
		return
	}
	e.removedAt = now
}

// markMissing merges another host's view of an endpoint that is missing from the platform's
// records and counts as present until the given time. If both hosts know a time, the earlier
// one holds.
func (r *Registry) markMissing(c *Record, until time.Time) {
	e := r.endpoints[c.Endpoint.ID]
	if e == nil || !e.removedAt.IsZero() || e.newerThan(c.position()) || (c.Version == e.Version && !e.goneAt.IsZero()) {
		return
	}
	if e.goneAt.IsZero() || until.Before(e.goneAt) {
		e.goneAt = until
	}
	e.position = c.position()
	r.changed(c)
}

// changed records a change that affects traffic.
func (r *Registry) changed(c *Record) {
	r.revision++
	r.effect.note(c.Version)
}

// removeUnlisted removes the records that a read of the whole part lacks. A zone that was
// drained in an earlier era stays so for a while, since the operator may have drained it
// after the platform's copy was made and not yet again.
func (r *Registry) removeUnlisted(u Update, now time.Time) {
	seen := map[string]bool{}
	zones := map[string]bool{}
	for i := range u.Records {
		c := &u.Records[i]
		if c.Removed && !c.Contradicted {
			// Another host may know of a later record, which was removed as well.
			continue
		}
		if c.Endpoint != nil {
			seen[c.Endpoint.ID] = true
		}
		zones[c.DrainedZone] = true
	}
	if u.Part == Endpoints {
		for id, e := range r.endpoints {
			if !seen[id] && (e.removedAt.IsZero() || e.Era < u.Version.Era) {
				r.remove(&Record{
					Version: u.Version,
					Removed: true,
					Endpoint: &Endpoint{
						ID: id,
					},
				}, now)
			}
		}
		return
	}
	for name, z := range r.drainedZones {
		if zones[name] || (!z.value && z.Era == u.Version.Era) {
			continue
		}
		c := &Record{
			Version:     u.Version,
			Removed:     true,
			DrainedZone: name,
		}
		if z.value && z.Era < u.Version.Era {
			r.keep(z.Version)
			r.setAside(c, now)
		} else {
			r.setZoneDrained(c, now)
		}
	}
}
