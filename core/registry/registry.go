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
	// compacted holds, by part, a version up to which removals may not be remembered.
	compacted [NumParts]Version
	// gaps holds, by part, the versions between which records may have come and gone unseen.
	gaps [NumParts][]gap
	// unconfirmed holds records of the platform's copy that contradict what is known.
	unconfirmed map[subject]unconfirmed
	// accepted holds until when other hosts are told that such a record was taken over. It
	// has a version that they may know already.
	accepted map[subject]time.Time
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

// gap is a range of versions in which records may have been written and removed without
// being seen: a whole part does not show them, and changes show only the newest state of a
// record. A host whose version lies within may know of such a record.
type gap struct {
	after Version
	until Version
	// seenAt is when the update was applied.
	seenAt time.Time
}

// absent reports whether the endpoint was removed or is missing from the platform's records.
func (e *entry) absent() bool {
	return !e.removedAt.IsZero() || !e.goneAt.IsZero()
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
		accepted:     map[subject]time.Time{},
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
			r.compacted[Endpoints] = r.compacted[Endpoints].later(e.Version)
			delete(r.endpoints, id)
		}
	}
	r.closeGaps(now)
	r.acceptUnconfirmed(now)
	return r.revision != before
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
