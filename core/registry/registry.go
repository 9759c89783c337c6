package registry

import (
	"sort"
	"time"

	"heatherford/core/route"
)

const (
	// returnGrace is how long endpoints that are missing from the platform's records after
	// an outage of the platform still count as present. Endpoints are listed again within
	// about 2 s of its return.
	returnGrace = 2 * time.Second
	// defaultColdFor is how long the endpoints of a drained zone count as cold after the
	// zone is back in use, unless the declaration of their upstream says otherwise.
	defaultColdFor = 3 * time.Second
	// coldTolerance is by how much a reported end of the cold time must exceed the known
	// one to count as a change: reports arrive with some delay.
	coldTolerance = 400 * time.Millisecond
	// tombstoneTTL is how long the removal of an endpoint is remembered for hosts that lag
	// behind.
	tombstoneTTL = 60 * time.Second
)

// Registry is what one host knows of the platform's records. It is not safe for concurrent
// use.
type Registry struct {
	declaration  *versioned[*route.Declaration]
	drainedZones map[string]*versioned[bool]
	endpoints    map[string]*entry
	states       [NumParts]partState
	// graceUntil is the end of the grace period after an outage of the platform. Until
	// then, endpoints that are missing from its records still count as present.
	graceUntil time.Time
	// compacted is the newest version of a removal that is no longer remembered.
	compacted Version
	// unconfirmed holds records of the platform's copy that contradict what is known.
	unconfirmed map[subject]unconfirmed
	// effect and era are the effect of the update that is being applied, and the newest
	// era at that time.
	effect Effect
	era    uint64
	// revision counts the changes that affect traffic.
	revision uint64
}

type versioned[T any] struct {
	position
	value     T
	removedAt time.Time
}

type entry struct {
	Endpoint
	// position is the platform's version at the last change that affects traffic.
	position
	// removedAt is when the endpoint was found to be removed, or zero.
	removedAt time.Time
	// goneAt is when a missing endpoint counts as removed unless it is listed again, or
	// zero.
	goneAt time.Time
}

type partState struct {
	// version is the platform's version up to which the part is complete.
	version Version
	// changedVersion is a version after which nothing changed that affects traffic.
	changedVersion Version
	// currentAt is when the part was last known to be current.
	currentAt time.Time
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		drainedZones: map[string]*versioned[bool]{},
		endpoints:    map[string]*entry{},
		unconfirmed:  map[subject]unconfirmed{},
	}
}

// Version returns the platform's version up to which a part is complete.
func (r *Registry) Version(p Part) Version {
	return r.states[p].version
}

// ChangedVersion returns a version after which nothing in a part has changed that affects
// traffic.
func (r *Registry) ChangedVersion(p Part) Version {
	return r.states[p].changedVersion
}

// CurrentAt returns when a part was last known to be current, or zero.
func (r *Registry) CurrentAt(p Part) time.Time {
	return r.states[p].currentAt
}

// Revision returns a number that grows with each change that affects traffic.
func (r *Registry) Revision() uint64 {
	return r.revision
}

// MarkStale marks all parts as stale, as after a pause in which the host did not run. The
// records stay in use.
func (r *Registry) MarkStale() {
	for i := range r.states {
		r.states[i].currentAt = time.Time{}
	}
}

// PlatformReturned records that the platform answers again after an outage. Endpoints that
// are missing from its records count as present for returnGrace, since their records may
// have expired during the outage.
func (r *Registry) PlatformReturned(now time.Time) {
	r.graceUntil = now.Add(returnGrace)
}

// Confirm records that a part was current at the time currentAt, was complete up to version,
// and had no change that affects traffic after changedVersion. It reports false if this
// registry may lack changes up to there.
func (r *Registry) Confirm(p Part, version, changedVersion Version, currentAt time.Time) bool {
	s := &r.states[p]
	if s.version.Before(changedVersion) || s.version.IsZero() {
		return false
	}
	if !version.Before(s.version) {
		s.version = version
		s.changedVersion = s.changedVersion.later(changedVersion)
		s.currentAt = later(s.currentAt, currentAt)
	}
	return true
}

// Effect is what an update did.
type Effect struct {
	// Changed is true if anything changed that affects traffic.
	Changed bool
	// Kept is true if a record of the update was older than what is known, so that its
	// sender may lack that.
	Kept bool
	// Since is a version after which all changed and kept records lie, if there are any.
	Since Version
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
		r.removeUnlisted(u, newEra, now)
	}
	for i := range u.Records {
		r.apply(&u.Records[i], now)
	}
	r.effect.Changed = r.revision != before
	if r.effect.Changed || known.IsZero() || newEra {
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
	case c.Endpoint != nil && c.ExpiresIn > 0:
		if e := r.endpoints[c.Endpoint.ID]; e == nil || !e.equivalent(c.Endpoint) {
			r.upsert(c, now)
		}
		r.markMissing(c, now.Add(c.ExpiresIn))
	case c.Endpoint != nil && c.Removed:
		r.remove(c, now)
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

func (r *Registry) setZoneDrained(c *Record, now time.Time) {
	z := r.drainedZones[c.DrainedZone]
	if z == nil {
		z = &versioned[bool]{}
		r.drainedZones[c.DrainedZone] = z
	}
	if z.newerThan(c.position()) {
		r.keepZone(c, z, now)
		return
	}
	r.confirm(c)
	if c.Contradicted {
		r.setAside(&Record{
			Version:     c.Version,
			Removed:     !c.Removed,
			DrainedZone: c.DrainedZone,
		}, now)
	}
	z.position = c.position()
	if z.value == !c.Removed {
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
		n.ColdUntil = now.Add(n.ColdLeft)
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
	absent := !e.removedAt.IsZero() || !e.goneAt.IsZero()
	if older(&n, &e.Endpoint) || (absent && !c.position().newerThan(e.position)) {
		r.keepEndpoint(c, e, now)
		return
	}
	r.confirm(c)
	colder := n.ColdUntil.Sub(e.ColdUntil) > coldTolerance && n.ColdLeft > 0
	if !absent && e.equivalent(&n) && !colder {
		e.Sequence = n.Sequence
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
	if e == nil || e.newerThan(c.position()) {
		return
	}
	r.confirm(c)
	if c.Contradicted {
		x := e.Endpoint
		r.setAside(&Record{
			Version:  c.Version,
			Endpoint: &x,
		}, now)
	}
	if !e.removedAt.IsZero() {
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

// removeUnlisted removes the records that a read of the whole part lacks. After the
// platform's return from a copy a zone stays drained for a while: the operator may have
// drained it after the copy was made.
func (r *Registry) removeUnlisted(u Update, newEra bool, now time.Time) {
	seen := map[string]bool{}
	zones := map[string]bool{}
	for i := range u.Records {
		if e := u.Records[i].Endpoint; e != nil {
			seen[e.ID] = true
		}
		zones[u.Records[i].DrainedZone] = true
	}
	if u.Part == Endpoints {
		for id := range r.endpoints {
			if !seen[id] {
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
		if !z.value || zones[name] {
			continue
		}
		c := &Record{
			Version:     u.Version,
			Removed:     true,
			DrainedZone: name,
		}
		if newEra {
			r.keepZone(c, z, now)
		} else {
			r.setZoneDrained(c, now)
		}
	}
}

// Expire removes missing endpoints that were not listed again in time and forgets old
// removals. It reports whether anything changed that affects traffic.
func (r *Registry) Expire(now time.Time) bool {
	before := r.revision
	for id, e := range r.endpoints {
		if !e.goneAt.IsZero() && !now.Before(e.goneAt) {
			e.goneAt = time.Time{}
			e.removedAt = now
			r.revision++
		}
		if !e.removedAt.IsZero() && now.Sub(e.removedAt) > tombstoneTTL {
			r.compacted = r.compacted.later(e.Version)
			delete(r.endpoints, id)
		}
	}
	r.acceptUnconfirmed(now)
	return r.revision != before
}

// Since returns what changed in a part after the version, as of now. It returns the whole
// part if removals after the version may be forgotten, and to a host of an earlier era,
// which may know of changes that the platform lost.
func (r *Registry) Since(p Part, version Version, now time.Time) Update {
	u := Update{
		Part:    p,
		Since:   version,
		Version: r.states[p].version,
		Full:    version.Era < r.states[p].version.Era,
	}
	if p == OperatorRecords {
		u.Records = r.operatorRecordsSince(version, u.Full)
		return u
	}
	u.Full = u.Full || version.Before(r.compacted)
	for _, e := range r.endpoints {
		if u.Full || e.After(version) {
			c := e.record(now)
			c.Contradicted = c.Removed && r.isSetAside(&c)
			u.Records = append(u.Records, c)
		}
	}
	sort.Slice(u.Records, func(i, j int) bool {
		return u.Records[i].Endpoint.ID < u.Records[j].Endpoint.ID
	})
	return u
}

func (e *entry) record(now time.Time) Record {
	x := e.Endpoint
	x.ColdLeft = max(0, x.ColdUntil.Sub(now))
	c := Record{
		Version:  e.Version,
		Listed:   e.listed,
		Removed:  !e.removedAt.IsZero(),
		Endpoint: &x,
	}
	switch {
	case c.Removed:
		c.Endpoint = &Endpoint{
			ID: e.ID,
		}
	case !e.goneAt.IsZero():
		c.ExpiresIn = max(time.Millisecond, e.goneAt.Sub(now))
	}
	return c
}

func (r *Registry) operatorRecordsSince(version Version, full bool) []Record {
	s := []Record{}
	if d := r.declaration; d != nil && (full || d.After(version)) {
		s = append(s, Record{
			Version:     d.Version,
			Listed:      d.listed,
			Declaration: d.value,
		})
	}
	for n, z := range r.drainedZones {
		if full || z.After(version) {
			c := Record{
				Version:     z.Version,
				Listed:      z.listed,
				Removed:     !z.value,
				DrainedZone: n,
			}
			c.Contradicted = r.isSetAside(&c)
			s = append(s, c)
		}
	}
	sort.Slice(s, func(i, j int) bool {
		return s[i].DrainedZone < s[j].DrainedZone
	})
	return s
}

// Declaration returns the declaration in force, or nil if none is known.
func (r *Registry) Declaration() *route.Declaration {
	if r.declaration == nil {
		return nil
	}
	return r.declaration.value
}

// Usable returns the endpoints that may get new requests, ordered by ID.
func (r *Registry) Usable() []Endpoint {
	s := []Endpoint{}
	for _, e := range r.endpoints {
		if !e.removedAt.IsZero() || e.Leaving || r.ZoneDrained(e.Zone) {
			continue
		}
		s = append(s, e.Endpoint)
	}
	sort.Slice(s, func(i, j int) bool {
		return s[i].ID < s[j].ID
	})
	return s
}

// ZoneDrained reports whether a zone is drained: its endpoints get no requests.
func (r *Registry) ZoneDrained(zone string) bool {
	z := r.drainedZones[zone]
	return z != nil && z.value
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
