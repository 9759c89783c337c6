package registry

import (
	"sort"
	"time"
)

// Since returns what changed in a part after the version, as of now. It returns the whole
// part if removals after the version may be unknown, and to a host of an earlier era, which
// may know of changes that the platform lost.
func (r *Registry) Since(p Part, version Version, now time.Time) Update {
	u := Update{
		Part:    p,
		Since:   version,
		Version: r.states[p].version,
		Full:    version.Era < r.states[p].version.Era || r.lacksRemovals(p, version),
	}
	if p == OperatorRecords {
		u.Records = r.operatorRecordsSince(version, u.Full)
		return u
	}
	for _, e := range r.endpoints {
		if u.Full || e.After(version) {
			c := e.record(now)
			if c.Removed {
				r.contradict(&c)
			}
			u.Records = append(u.Records, c)
		}
	}
	sort.Slice(u.Records, func(i, j int) bool {
		return u.Records[i].Endpoint.ID < u.Records[j].Endpoint.ID
	})
	return u
}

// Kept returns what is in force of a part though the platform's copy contradicts it, or did
// so until lately, as of now. It adds to what a host of the part's version knows, and says
// nothing of other changes.
func (r *Registry) Kept(p Part, now time.Time) Update {
	v := r.states[p].version
	u := Update{
		Part:    p,
		Since:   v,
		Version: v,
	}
	for s := range r.unconfirmed {
		if c, ok := r.recordOf(s, now); ok && s.part() == p {
			r.contradict(&c)
			u.Records = append(u.Records, c)
		}
	}
	for s := range r.accepted {
		if c, ok := r.recordOf(s, now); ok && s.part() == p {
			u.Records = append(u.Records, c)
		}
	}
	if p != Endpoints {
		return u
	}
	for _, e := range r.endpoints {
		if e.Leaving && e.removedAt.IsZero() && e.Era < v.Era {
			u.Records = append(u.Records, e.record(now))
		}
	}
	return u
}

// recordOf returns the record in force of a subject, if there is one.
func (r *Registry) recordOf(s subject, now time.Time) (c Record, ok bool) {
	if e := r.endpoints[s.endpoint]; e != nil {
		return e.record(now), true
	}
	if z := r.drainedZones[s.zone]; z != nil {
		return zoneRecord(s.zone, z), true
	}
	return Record{}, false
}

// lacksRemovals reports whether removals after the version may be unknown of records that a
// host of that version knows.
func (r *Registry) lacksRemovals(p Part, version Version) bool {
	if version.Before(r.compacted[p]) {
		return true
	}
	for _, g := range r.gaps[p] {
		if version.After(g.after) && version.Before(g.until) {
			return true
		}
	}
	return false
}

// closeGaps forgets gaps when the removals of their time are forgotten as well.
func (r *Registry) closeGaps(now time.Time) {
	for p, s := range r.gaps {
		for len(s) > 0 && now.Sub(s[0].seenAt) > tombstoneTTL {
			r.compacted[p] = r.compacted[p].later(s[0].until)
			s = s[1:]
		}
		r.gaps[p] = s
	}
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

// zoneRecord returns the record of a zone by its name.
func zoneRecord(zone string, z *versioned[bool]) Record {
	return Record{
		Version:     z.Version,
		Listed:      z.listed,
		Removed:     !z.value,
		DrainedZone: zone,
	}
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
			c := zoneRecord(n, z)
			r.contradict(&c)
			s = append(s, c)
		}
	}
	sort.Slice(s, func(i, j int) bool {
		return s[i].DrainedZone < s[j].DrainedZone
	})
	return s
}
