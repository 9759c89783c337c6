package registry

import (
	"sort"
	"time"

	"heatherford/core/route"
)

const (
	// returnGrace is how long entries that are missing after the platform's
	// return are still believed. Endpoints are listed again within about 2 s
	// of it.
	returnGrace = 2 * time.Second
	// coldAgainFor is how long the endpoints of a zone count as cold after
	// their zone is taken back, unless their upstream says otherwise.
	coldAgainFor = 3 * time.Second
	// coldSlack is how far a new end of the cold time must lie behind the known
	// one to be news: endpoints report with some delay.
	coldSlack = 400 * time.Millisecond
	// tombstoneAge is how long the removal of a record is remembered for hosts
	// that lag.
	tombstoneAge = 60 * time.Second
)

// Registry is a host's knowledge. Only one goroutine may use it.
type Registry struct {
	declaration *versioned[*route.Declaration]
	emptied     map[string]*versioned[bool]
	endpoints   map[string]*entry
	states      [Parts]state
	// awayUntil is when entries that are missing count as gone again.
	awayUntil time.Time
	// forgotten is the newest version whose removal is no longer remembered.
	forgotten uint64
	// changes counts the changes that matter to traffic.
	changes uint64
}

type versioned[T any] struct {
	version uint64
	value   T
	removed time.Time
}

type entry struct {
	Endpoint
	// version is the platform's counter at the last change that mattered.
	version uint64
	// removed is when the endpoint was found to be gone, or zero.
	removed time.Time
	// missing is when it counts as gone unless it is listed again, or zero.
	missing time.Time
}

type state struct {
	version uint64
	// changed is a version from which on nothing changed that matters to
	// traffic.
	changed uint64
	// current is when the part was last known to be current.
	current time.Time
}

// New returns a registry that knows nothing.
func New() *Registry {
	return &Registry{
		emptied:   map[string]*versioned[bool]{},
		endpoints: map[string]*entry{},
	}
}

// Version returns the platform's counter up to which a part is complete.
func (r *Registry) Version(p Part) uint64 {
	return r.states[p].version
}

// Changed returns a version from which on nothing in a part has changed that
// matters to traffic.
func (r *Registry) Changed(p Part) uint64 {
	return r.states[p].changed
}

// Current returns when a part was last known to be current, or zero.
func (r *Registry) Current(p Part) time.Time {
	return r.states[p].current
}

// Changes returns a number that grows with each change that matters to traffic.
func (r *Registry) Changes() uint64 {
	return r.changes
}

// Doubt makes all knowledge count as old, as after a time in which the host did
// not run.
func (r *Registry) Doubt() {
	for i := range r.states {
		r.states[i].current = time.Time{}
	}
}

// Returned notes that the platform answers again after it was away. Entries
// that lapsed meanwhile are believed for a while longer.
func (r *Registry) Returned(now time.Time) {
	r.awayUntil = now.Add(returnGrace)
}

// Confirm notes that a part was current at a time and complete up to the version,
// with nothing that matters after changed. It reports false if this host lacks
// something up to there.
func (r *Registry) Confirm(p Part, version, changed uint64, current time.Time) bool {
	s := &r.states[p]
	if s.version < changed || s.version == 0 {
		return false
	}
	if version >= s.version {
		s.version = version
		s.changed = max(s.changed, changed)
		s.current = later(s.current, current)
	}
	return true
}

// Apply takes in what was read at the time current. It ignores a part that is
// older than what is known or that lacks changes before it, and reports whether
// anything changed that matters to traffic.
func (r *Registry) Apply(u Update, current, now time.Time) bool {
	s := &r.states[u.Part]
	if u.Version < s.version || (!u.Whole && u.Since > s.version) {
		return false
	}
	before := r.changes
	if u.Whole {
		r.dropMissing(u, now)
	}
	for i := range u.Records {
		r.apply(&u.Records[i], now)
	}
	if r.changes != before || s.version == 0 {
		s.changed = u.Version
	}
	s.version = u.Version
	s.current = later(s.current, current)
	return r.changes != before
}

func (r *Registry) apply(c *Record, now time.Time) {
	switch {
	case c.Declaration != nil:
		r.declare(c)
	case c.EmptiedZone != "":
		r.empty(c, now)
	case c.Endpoint != nil && c.GoneIn > 0:
		if e := r.endpoints[c.Endpoint.ID]; e == nil || !e.same(c.Endpoint) {
			r.list(c, now)
		}
		r.miss(c.Endpoint.ID, c.Version, now.Add(c.GoneIn))
	case c.Endpoint != nil && c.Removed:
		r.remove(c.Endpoint.ID, c.Version, now)
	case c.Endpoint != nil:
		r.list(c, now)
	}
}

// declare takes a declaration in unless a newer one is known: no host goes back
// to an older version.
func (r *Registry) declare(c *Record) {
	if r.declaration != nil && c.Declaration.Version <= r.declaration.value.Version {
		return
	}
	r.declaration = &versioned[*route.Declaration]{
		version: c.Version,
		value:   c.Declaration,
	}
	r.changes++
}

func (r *Registry) empty(c *Record, now time.Time) {
	z := r.emptied[c.EmptiedZone]
	if z == nil {
		z = &versioned[bool]{}
		r.emptied[c.EmptiedZone] = z
	}
	if c.Version < z.version || z.value == !c.Removed {
		return
	}
	z.version = c.Version
	z.value = !c.Removed
	z.removed = time.Time{}
	if c.Removed {
		z.removed = now
		r.chill(c.EmptiedZone, now)
	}
	r.changes++
}

// chill makes the endpoints of a zone count as cold: nobody sent to them while
// the zone was empty, and their own reports lag.
func (r *Registry) chill(zone string, now time.Time) {
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
	return coldAgainFor
}

func (r *Registry) list(c *Record, now time.Time) {
	n := *c.Endpoint
	if n.ColdLeft > 0 {
		n.ColdUntil = now.Add(n.ColdLeft)
	}
	e := r.endpoints[n.ID]
	if e == nil {
		r.endpoints[n.ID] = &entry{
			Endpoint: n,
			version:  c.Version,
		}
		r.changes++
		return
	}
	gone := !e.removed.IsZero() || !e.missing.IsZero()
	if older(&n, &e.Endpoint) || (gone && c.Version <= e.version) {
		return
	}
	colder := n.ColdUntil.Sub(e.ColdUntil) > coldSlack && n.ColdLeft > 0
	if !gone && e.same(&n) && !colder {
		e.Sequence = n.Sequence
		return
	}
	if n.Born.Equal(e.Born) {
		n.ColdUntil = later(n.ColdUntil, e.ColdUntil)
	}
	*e = entry{
		Endpoint: n,
		version:  max(c.Version, e.version),
	}
	r.changes++
}

// older reports whether a is an earlier report than b of the same name.
func older(a, b *Endpoint) bool {
	if !a.Born.Equal(b.Born) {
		return a.Born.Before(b.Born)
	}
	return a.Sequence < b.Sequence
}

func (r *Registry) remove(id string, version uint64, now time.Time) {
	e := r.endpoints[id]
	if e == nil || !e.removed.IsZero() || version < e.version {
		return
	}
	e.version = version
	r.changes++
	if now.Before(r.awayUntil) && !e.Leaving {
		if e.missing.IsZero() {
			e.missing = r.awayUntil
		}
		return
	}
	e.removed = now
}

// miss takes in that another host believes an endpoint for a while that is missing from
// the platform's records. It does not believe it for longer.
func (r *Registry) miss(id string, version uint64, until time.Time) {
	e := r.endpoints[id]
	if e == nil || !e.removed.IsZero() || version < e.version || (version == e.version && !e.missing.IsZero()) {
		return
	}
	if e.missing.IsZero() || until.Before(e.missing) {
		e.missing = until
	}
	e.version = version
	r.changes++
}

// dropMissing removes what a whole reading does not hold.
func (r *Registry) dropMissing(u Update, now time.Time) {
	seen := map[string]bool{}
	zones := map[string]bool{}
	for i := range u.Records {
		if e := u.Records[i].Endpoint; e != nil {
			seen[e.ID] = true
		}
		zones[u.Records[i].EmptiedZone] = true
	}
	if u.Part == Endpoints {
		for id := range r.endpoints {
			if !seen[id] {
				r.remove(id, u.Version, now)
			}
		}
		return
	}
	for z, v := range r.emptied {
		if v.value && !zones[z] {
			r.empty(&Record{
				Version:     u.Version,
				Removed:     true,
				EmptiedZone: z,
			}, now)
		}
	}
}

// Expire removes entries that were not listed again in time and forgets old
// removals. It reports whether anything changed that matters to traffic.
func (r *Registry) Expire(now time.Time) bool {
	before := r.changes
	for id, e := range r.endpoints {
		if !e.missing.IsZero() && !now.Before(e.missing) {
			e.missing = time.Time{}
			e.removed = now
			r.changes++
		}
		if !e.removed.IsZero() && now.Sub(e.removed) > tombstoneAge {
			r.forgotten = max(r.forgotten, e.version)
			delete(r.endpoints, id)
		}
	}
	return r.changes != before
}

// Since returns what changed in a part after the version, as of now, or all of
// it if removals since then may be forgotten.
func (r *Registry) Since(p Part, version uint64, now time.Time) Update {
	u := Update{
		Part:    p,
		Since:   version,
		Version: r.states[p].version,
	}
	if p == Orders {
		u.Records = r.ordersSince(version)
		return u
	}
	u.Whole = version < r.forgotten
	for _, e := range r.endpoints {
		if (u.Whole && e.removed.IsZero()) || (!u.Whole && e.version > version) {
			u.Records = append(u.Records, e.record(now))
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
		Version:  e.version,
		Removed:  !e.removed.IsZero(),
		Endpoint: &x,
	}
	switch {
	case c.Removed:
		c.Endpoint = &Endpoint{
			ID: e.ID,
		}
	case !e.missing.IsZero():
		c.GoneIn = max(time.Millisecond, e.missing.Sub(now))
	}
	return c
}

func (r *Registry) ordersSince(version uint64) []Record {
	s := []Record{}
	if d := r.declaration; d != nil && d.version > version {
		s = append(s, Record{
			Version:     d.version,
			Declaration: d.value,
		})
	}
	for n, z := range r.emptied {
		if z.version > version {
			s = append(s, Record{
				Version:     z.version,
				Removed:     !z.value,
				EmptiedZone: n,
			})
		}
	}
	sort.Slice(s, func(i, j int) bool {
		return s[i].EmptiedZone < s[j].EmptiedZone
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

// Usable returns the endpoints that may get work, ordered by name.
func (r *Registry) Usable() []Endpoint {
	s := []Endpoint{}
	for _, e := range r.endpoints {
		if !e.removed.IsZero() || e.Leaving || r.Emptied(e.Zone) {
			continue
		}
		s = append(s, e.Endpoint)
	}
	sort.Slice(s, func(i, j int) bool {
		return s[i].ID < s[j].ID
	})
	return s
}

// Emptied reports whether the endpoints of a zone get no work.
func (r *Registry) Emptied(zone string) bool {
	z := r.emptied[zone]
	return z != nil && z.value
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
