package grant

import (
	"slices"
	"time"

	"heatherford/core/quota"
	"heatherford/core/store"
	"heatherford/core/strict"
)

// fewSlots is the most slots of which none is kept free of requests that may
// outlast the lease.
const fewSlots = 3

// renew writes all held rows in one transaction if that is due. A second one is
// begun only after the effect of the first is known.
func (m *Machine) renew(now time.Time) {
	if m.batch != 0 || m.unsettled || len(m.held) == 0 || !m.renewalDue(now) {
		return
	}
	m.nextRenew = now.Add(m.options.Timing.Renew)
	m.batch = m.number(now)
	t := store.Transaction{}
	for _, e := range sortedKeys(m.held) {
		h := m.held[e]
		h.changed = false
		a := m.next(e, h, now)
		h.pending = append(h.pending, a)
		m.apply(e)
		t.Conditions = append(t.Conditions, store.Condition{
			Key:     Key(e),
			Version: h.version,
		})
		w := store.Write{
			Key:    Key(e),
			Delete: a.removal,
		}
		if !a.removal {
			w.Value = a.row.encode()
		}
		t.Writes = append(t.Writes, w)
	}
	m.emit(Effect{
		Commit: &Commit{
			Attempt:     m.batch,
			Transaction: t,
		},
	})
}

func (m *Machine) renewalDue(now time.Time) bool {
	if !now.Before(m.nextRenew) {
		return true
	}
	for e, h := range m.held {
		if h.changed || (h.shortened && m.pressed(e, now)) {
			return true
		}
	}
	return false
}

// next returns what the batch writes for the endpoint.
func (m *Machine) next(e string, h *holding, now time.Time) attempted {
	r := h.row
	r.Renewal = m.batch
	r.Term = strict.Duration(m.options.Timing.Term)
	r.Reserved = m.nextReserved(h, now)
	l := m.options.Ledger(e)
	r.Longest = m.longestOf(e)
	if !l.Drained(now) || len(r.Reserved) > 0 {
		r.Longest = max(r.Longest, h.row.Longest)
	}
	endpoint, declared := m.version.Declaration.Endpoint(e)
	if s := chooseStandby(m.version.Declaration, endpoint, m.answering(now), m.options.Self); s != "" {
		r.Standby = s
	}
	m.nextLimits(e, h, &r, now)
	m.nextLasting(e, h, &r, now)
	a := attempted{
		attempt: m.batch,
		row:     r,
	}
	switch {
	case !l.Drained(now):
	case !declared && r.Version == m.version.Number && len(r.Reserved) == 0:
		a.removal = true
		a.row.Limits = m.limits[e]
	case h.ending:
		a.row.Owner = h.moving
		a.row.Standby = chooseStandby(m.version.Declaration, endpoint, m.answering(now), h.moving)
		a.row.Incarnation = h.incarnation
		a.row.Epoch++
		// The successor knows no attempt of this number.
		a.row.Renewal = 0
	}
	return a
}

// nextLimits moves the row to the newest version, first with what both the old
// and the new version allow; then, once every row is there, to the new limits.
func (m *Machine) nextLimits(e string, h *holding, r *Row, now time.Time) {
	if m.raisable(e, h) {
		r.Limits = m.limits[e]
		return
	}
	if m.version.Number <= r.Version {
		return
	}
	l := r.Limits.Min(h.bound)
	if m.options.Ledger(e).Fits(now, time.Time{}, l.Minus(sum(r.Reserved))) {
		r.Limits = l
		r.Version = m.version.Number
	}
}

// raisable reports whether the row's limits are below the version's and every
// row is known to have moved to the version since this one has.
func (m *Machine) raisable(e string, h *holding) bool {
	if m.version == nil || h.row.Version != m.version.Number || h.row.Limits.Equal(m.limits[e]) {
		return false
	}
	if !m.surveyed.After(h.adopted) {
		return false
	}
	for _, s := range m.rows {
		if s.row.Version != m.version.Number || !s.row.Limits.Covers(s.row.reserved()) {
			return false
		}
	}
	return true
}

// nextLasting lets more requests outlast the lease than the part that needs none,
// while that is too small for them: all but one slot, so that the standby has one
// as soon as the lease has lapsed; all of an endpoint with few slots, which would
// miss that one too much.
func (m *Machine) nextLasting(e string, h *holding, r *Row, now time.Time) {
	own := r.Own()
	r.Lasting = own.Smaller()
	if m.pressed(e, now) {
		h.shortened = false
		r.Lasting = own
		if own.Slots > fewSlots {
			r.Lasting = own.Minus(quota.Limits{
				Slots: 1,
			}).Max(own.Smaller())
		}
		return
	}
	h.shortened = true
	m.apply(e)
	if !m.options.Ledger(e).Fits(now, h.until, m.right(e).Smaller) {
		r.Lasting = h.row.Lasting
	}
}

func (m *Machine) pressed(e string, now time.Time) bool {
	return now.Before(m.options.Ledger(e).PressedAt().Add(m.options.Timing.Extension))
}

// nextReserved returns the reservations that have not ended, and those of the
// parts that were ceded meanwhile.
func (m *Machine) nextReserved(h *holding, now time.Time) []Reservation {
	s := []Reservation{}
	for _, v := range h.row.Reserved {
		if h.ended[v.key()] {
			continue
		}
		if v.Later != nil && !now.Before(h.since.Add(m.guarded(h.row.Longest.Std()))) {
			v.Limits = *v.Later
			v.Later = nil
		}
		s = append(s, v)
	}
	return append(s, h.ceded...)
}

// Committed tells that an attempt took effect and gave the rows the version.
func (m *Machine) Committed(attempt, version uint64, now time.Time) {
	if attempt != m.batch {
		for e, r := range m.claims {
			if r.Renewal == attempt {
				m.see(r, version, now)
				delete(m.claims, e)
			}
		}
		return
	}
	m.batch = 0
	for _, e := range sortedKeys(m.held) {
		for _, a := range m.held[e].pending {
			if a.attempt != attempt {
				continue
			}
			if a.removal {
				m.forget(e, now)
				m.note(e, "removed")
			} else {
				m.see(a.row, version, now)
				if a.row.Owner != m.options.Self {
					m.tellAll(m.ownership(e), now)
				}
			}
			break
		}
	}
}

// claimFailed ends a claim. Unless it had no effect, it stays in doubt.
func (m *Machine) claimFailed(attempt uint64, r result) {
	for _, e := range sortedKeys(m.claims) {
		if m.claims[e].Renewal != attempt {
			continue
		}
		delete(m.claims, e)
		if r == unknown {
			continue
		}
		m.doubts[e] = slices.DeleteFunc(m.doubts[e], func(row Row) bool {
			return row.Renewal == attempt
		})
		m.apply(e)
	}
}

// CommitFailed tells that an attempt ended with an error.
func (m *Machine) CommitFailed(attempt uint64, err error, now time.Time) {
	r := resultOf(err)
	if attempt != m.batch {
		m.claimFailed(attempt, r)
		if r != failed {
			m.nextAll = now
		}
		return
	}
	m.batch = 0
	if r != failed {
		m.unsettled = true
		m.unsettledAt = now
		m.nextRead = now
	}
	if r == unknown {
		return
	}
	for e, h := range m.held {
		h.pending = slices.DeleteFunc(h.pending, func(a attempted) bool {
			return a.attempt == attempt
		})
		m.apply(e)
	}
}
