package registry

import "time"

// rewriteWait is how long a record of the platform's copy does not count if it contradicts
// what was known before: its writer may not have written again yet. An endpoint's record that
// nobody renews expires within three heartbeats, the operator writes within seconds.
const rewriteWait = 10 * time.Second

// acceptedTold is for how long other hosts are told that a record was taken over: several
// heartbeats.
const acceptedTold = 2 * time.Second

// subject names a record: either a zone or an endpoint.
type subject struct {
	zone     string
	endpoint string
}

// unconfirmed is a record of the platform's copy that contradicts what is known. It holds if
// its writer has not written anew by the time until.
type unconfirmed struct {
	record Record
	until  time.Time
}

// part returns the part that holds the record.
func (s subject) part() Part {
	if s.endpoint != "" {
		return Endpoints
	}
	return OperatorRecords
}

func subjectOf(c *Record) subject {
	if c.Endpoint != nil {
		return subject{
			endpoint: c.Endpoint.ID,
		}
	}
	return subject{
		zone: c.DrainedZone,
	}
}

// keep records that a known record stays in force though the update holds an older one.
func (r *Registry) keep(v Version) {
	r.effect.Kept = true
	r.effect.note(v)
}

// keepEndpoint keeps the known state of an endpoint against a record.
func (r *Registry) keepEndpoint(c *Record, e *entry, now time.Time) {
	if e.removedAt.IsZero() && e.equivalent(c.Endpoint) {
		return
	}
	r.keep(e.Version)
	if e.absent() && e.Era < r.era {
		r.setAside(c, now)
	}
}

// setContradictionAside sets the end of a drain aside that another host keeps against the
// platform's copy, unless the drain is known from the newest era.
func (r *Registry) setContradictionAside(c *Record, z *versioned[bool], now time.Time) {
	if c.Contradicted && !c.Removed && z.Era < r.era {
		r.setAside(&Record{
			Version:     c.Version,
			Removed:     true,
			DrainedZone: c.DrainedZone,
		}, now)
	}
}

// setAside stores a record that does not hold yet.
func (r *Registry) setAside(c *Record, now time.Time) {
	s := subjectOf(c)
	if _, ok := r.unconfirmed[s]; ok {
		return
	}
	r.unconfirmed[s] = unconfirmed{
		record: *c,
		until:  now.Add(rewriteWait),
	}
}

// contradict marks a record that the platform's copy contradicts. That of a removed endpoint
// then holds the report in the copy, for hosts that do not know it.
func (r *Registry) contradict(c *Record) {
	u, ok := r.unconfirmed[subjectOf(c)]
	c.Contradicted = ok
	if ok && c.Endpoint != nil {
		c.Endpoint = u.record.Endpoint
	}
}

// confirm drops what was set aside of a record about which the newest era says something
// else, by whichever way that is known.
func (r *Registry) confirm(c *Record) {
	if c.Version.Era == r.era {
		delete(r.unconfirmed, subjectOf(c))
	}
}

// dropUnconfirmed drops all that was set aside of a part.
func (r *Registry) dropUnconfirmed(p Part) {
	for s := range r.unconfirmed {
		if s.part() == p {
			delete(r.unconfirmed, s)
		}
	}
}

// endDrains takes in what another host keeps against the platform's copy, as Kept returns it:
// up to the update's version the newest era has no drain of these zones. One that is known
// from this era has ended.
func (r *Registry) endDrains(u Update, now time.Time) {
	for i := range u.Records {
		c := &u.Records[i]
		z := r.drainedZones[c.DrainedZone]
		if z != nil && z.value && c.Contradicted && !c.Removed && z.Era == u.Version.Era && !z.After(u.Version) {
			r.setZoneDrained(&Record{
				Version:     u.Version,
				Removed:     true,
				DrainedZone: c.DrainedZone,
			}, now)
		}
	}
}

// acceptUnconfirmed takes over what was set aside for rewriteWait, once a read shows that
// its writer has not written since.
func (r *Registry) acceptUnconfirmed(now time.Time) {
	for s, until := range r.accepted {
		if !now.Before(until) {
			delete(r.accepted, s)
		}
	}
	for s, u := range r.unconfirmed {
		p := s.part()
		if now.Before(u.until) || r.states[p].currentAt.Before(u.until) {
			continue
		}
		delete(r.unconfirmed, s)
		r.accepted[s] = now.Add(acceptedTold)
		// The version of the whole part places the record behind all earlier eras.
		u.record.Version = r.states[p].version
		u.record.Listed = false
		r.era = u.record.Version.Era
		r.apply(&u.record, now)
		r.states[p].changedVersion = r.states[p].version
	}
}
