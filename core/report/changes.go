package report

import (
	"cmp"
	"slices"
	"time"

	"heatherford/core/rollup"
)

// startTime is how long a host may take after its start to learn the version in
// force. A version that hosts took at their start alone is no change of the day.
const startTime = time.Minute

// learned is when an incarnation first had each version in force, ordered by
// version.
type learned struct {
	life     *life
	versions []rollup.Version
}

// from returns when the host had version n or a later one in force.
func (l *learned) from(n uint64) (time.Time, bool) {
	i, _ := slices.BinarySearchFunc(l.versions, n, func(v rollup.Version, n uint64) int {
		return cmp.Compare(v.Number, n)
	})
	if i == len(l.versions) {
		return time.Time{}, false
	}
	return l.versions[i].InForceAt, true
}

// changes finds the versions of the day and how long each took.
func (b *builder) changes() {
	hosts := []*learned{}
	confirmed := map[uint64]time.Time{}
	first := map[uint64]time.Time{}
	for _, l := range b.lives() {
		h := &learned{
			life: l,
		}
		for _, r := range l.rolls {
			h.take(r, confirmed, first)
		}
		slices.SortFunc(h.versions, func(x, y rollup.Version) int {
			return cmp.Or(cmp.Compare(x.Number, y.Number), x.InForceAt.Compare(y.InForceAt))
		})
		hosts = append(hosts, h)
	}
	for n, t := range first {
		if c, ok := confirmed[n]; ok {
			t = c
		}
		b.report.Changes = append(b.report.Changes, newChange(n, confirmed[n], t, hosts))
	}
	slices.SortFunc(b.report.Changes, func(x, y Change) int {
		return cmp.Compare(x.Version, y.Version)
	})
}

// take adds what r says: to confirmed the confirmations, and to first when each
// version that is a change of the day was first seen.
func (l *learned) take(r *rollup.Roll, confirmed, first map[uint64]time.Time) {
	see := func(n uint64, t time.Time) {
		if o, ok := first[n]; !ok || t.Before(o) {
			first[n] = t
		}
	}
	for _, v := range r.Versions {
		if !v.ConfirmedAt.IsZero() {
			confirmed[v.Number] = v.ConfirmedAt
			see(v.Number, v.ConfirmedAt)
		}
		if v.InForceAt.IsZero() {
			continue
		}
		l.versions = append(l.versions, v)
		if v.InForceAt.Sub(l.life.started) > startTime {
			see(v.Number, v.InForceAt)
		}
	}
}

// newChange says which of the hosts that ran at the time begun had version n in
// force, and when the last one did.
func newChange(n uint64, confirmed, begun time.Time, hosts []*learned) Change {
	c := Change{
		Version:     n,
		ConfirmedAt: confirmed,
		Without:     []string{},
		Unknown:     []string{},
	}
	last := time.Time{}
	for _, h := range hosts {
		if !h.life.covers(begun) {
			continue
		}
		c.Hosts++
		t, ok := h.from(n)
		switch {
		case ok && t.After(last):
			last = t
		case ok:
		case endedBefore(h.life, begun.Add(changeTarget)):
			c.Unknown = append(c.Unknown, h.life.host)
		default:
			c.Without = append(c.Without, h.life.host)
		}
	}
	if len(c.Without) == 0 && len(c.Unknown) == 0 {
		c.EverywhereAt = last
	}
	return c
}

// endedBefore reports whether l's roll-ups end before t.
func endedBefore(l *life, t time.Time) bool {
	return l.last().To.Before(t)
}
