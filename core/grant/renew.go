package grant

import (
	"slices"
	"time"

	"heatherford/core/quota"
	"heatherford/core/store"
	"heatherford/core/strict"
)

// fewSlots is the highest number of slots at which no slot is kept free of
// requests that may outlast the lease.
const fewSlots = 3

// renew writes all owned rows in one transaction if that is due. The next renewal
// begins only after the effect of this one is known.
func (m *Machine) renew(now time.Time) {
	if m.batch != 0 || m.renewalUnknown || len(m.owned) == 0 || !m.renewalDue(now) {
		return
	}
	m.nextRenew = now.Add(m.options.Timing.RenewInterval)
	m.batch = m.newAttempt(now)
	t := store.Transaction{}
	for _, e := range sortedKeys(m.owned) {
		h := m.owned[e]
		h.writeDue = false
		a := m.nextRow(e, h, now)
		h.pending = append(h.pending, a)
		m.updateLedger(e)
		t.Conditions = append(t.Conditions, store.Condition{
			Key:     RowKey(e),
			Version: h.version,
		})
		w := store.Write{
			Key:    RowKey(e),
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
	for e, h := range m.owned {
		if h.writeDue || (h.reducedBeyondLease && m.needsBeyondLease(e, now)) {
			return true
		}
	}
	return false
}

// nextRow returns what the renewal writes for the endpoint.
func (m *Machine) nextRow(e string, h *ownedEndpoint, now time.Time) pendingRow {
	r := h.row
	r.Renewal = m.batch
	r.Term = strict.Duration(m.options.Timing.Term)
	r.Reserved = m.nextReserved(h, now)
	l := m.options.Ledger(e)
	r.MaxDuration = m.maxDuration(e)
	if !l.Drained(now) || len(r.Reserved) > 0 {
		r.MaxDuration = max(r.MaxDuration, h.row.MaxDuration)
	}
	endpoint, declared := m.version.Declaration.Endpoint(e)
	if s := chooseStandby(m.version.Declaration, endpoint, m.activeHosts(now), m.options.Self); s != "" {
		r.Standby = s
	}
	m.nextLimits(e, h, &r, now)
	m.nextBeyondLease(e, h, &r, now)
	a := pendingRow{
		attempt: m.batch,
		row:     r,
	}
	switch {
	case !l.Drained(now):
	case !declared && r.Version == m.version.Number && len(r.Reserved) == 0:
		a.removal = true
		a.row.Limits = m.limits[e]
	case h.releasing:
		a.row.Owner = h.successor
		a.row.Standby = chooseStandby(m.version.Declaration, endpoint, m.activeHosts(now), h.successor)
		a.row.Incarnation = h.successorIncarnation
		a.row.Epoch++
		// The successor has no attempt of this number.
		a.row.Renewal = 0
	}
	return a
}

// nextLimits moves the row to the newest version: first with the limits that both
// the old and the new version allow; then, once every row has that version, to the
// new limits.
func (m *Machine) nextLimits(e string, h *ownedEndpoint, r *Row, now time.Time) {
	if m.raisable(e, h) {
		r.Limits = m.limits[e]
		return
	}
	if m.version.Number <= r.Version {
		return
	}
	l := r.Limits.Min(h.bound)
	if m.options.Ledger(e).Within(now, time.Time{}, l.Minus(sumLimits(r.Reserved))) {
		r.Limits = l
		r.Version = m.version.Number
	}
}

// raisable reports whether the row's limits differ from the version's and every
// row is known to have moved to the version since this one has.
func (m *Machine) raisable(e string, h *ownedEndpoint) bool {
	if m.version == nil || h.row.Version != m.version.Number || h.row.Limits.Equal(m.limits[e]) {
		return false
	}
	if !m.fullReadAt.After(h.versionSince) {
		return false
	}
	for _, s := range m.rows {
		if s.row.Version != m.version.Number || !s.row.Limits.Covers(s.row.reserved()) {
			return false
		}
	}
	return true
}

// nextBeyondLease lets more requests than the reduced limits outlast the lease
// while those are too low for them: in all slots but one, so that the standby can
// use one slot as soon as the lease has lapsed. With few slots all may be used,
// since one of them would be too large a share to keep free.
func (m *Machine) nextBeyondLease(e string, h *ownedEndpoint, r *Row, now time.Time) {
	own := r.OwnerLimits()
	r.BeyondLease = own.Reduced()
	if m.needsBeyondLease(e, now) {
		h.reducedBeyondLease = false
		r.BeyondLease = own
		if own.Slots > fewSlots {
			r.BeyondLease = own.Minus(quota.Limits{
				Slots: 1,
			}).Max(own.Reduced())
		}
		return
	}
	h.reducedBeyondLease = true
	m.updateLedger(e)
	if !m.options.Ledger(e).Within(now, h.leaseUntil, m.allowance(e).Reduced) {
		r.BeyondLease = h.row.BeyondLease
	}
}

func (m *Machine) needsBeyondLease(e string, now time.Time) bool {
	return now.Before(m.options.Ledger(e).ReducedFullAt().Add(m.options.Timing.BeyondLeasePeriod))
}

// nextReserved returns the reservations that have not ended, and those of the
// limits ceded since the row was written.
func (m *Machine) nextReserved(h *ownedEndpoint, now time.Time) []Reservation {
	s := []Reservation{}
	for _, v := range h.row.Reserved {
		if h.ended[v.key()] {
			continue
		}
		if v.Later != nil && !now.Before(h.ownedSince.Add(m.withClockMargin(h.row.MaxDuration.Std()))) {
			v.Limits = *v.Later
			v.Later = nil
		}
		s = append(s, v)
	}
	return append(s, h.ceded...)
}

// Committed handles an attempt that took effect and gave the rows the version.
func (m *Machine) Committed(attempt, version uint64, now time.Time) {
	if attempt != m.batch {
		for e, r := range m.pendingClaims {
			if r.Renewal == attempt {
				m.recordRow(r, version, now)
				delete(m.pendingClaims, e)
			}
		}
		return
	}
	m.batch = 0
	for _, e := range sortedKeys(m.owned) {
		for _, a := range m.owned[e].pending {
			if a.attempt != attempt {
				continue
			}
			if a.removal {
				m.removeRow(e, now)
				m.note(e, "removed")
			} else {
				m.recordRow(a.row, version, now)
				if a.row.Owner != m.options.Self {
					m.announce(m.ownership(e), now)
				}
			}
			break
		}
	}
}

// claimFailed ends a pending claim. It stays unresolved if its effect is not known.
func (m *Machine) claimFailed(attempt uint64, r result) {
	for _, e := range sortedKeys(m.pendingClaims) {
		if m.pendingClaims[e].Renewal != attempt {
			continue
		}
		delete(m.pendingClaims, e)
		if r == unknown {
			continue
		}
		m.unresolvedClaims[e] = slices.DeleteFunc(m.unresolvedClaims[e], func(row Row) bool {
			return row.Renewal == attempt
		})
		m.updateLedger(e)
	}
}

// CommitFailed handles an attempt that ended with an error. The error's code says
// whether it may have taken effect.
func (m *Machine) CommitFailed(attempt uint64, err error, now time.Time) {
	r := resultOf(err)
	if attempt != m.batch {
		m.claimFailed(attempt, r)
		if r != failed {
			m.nextFullRead = now
		}
		return
	}
	m.batch = 0
	if r != failed {
		m.renewalUnknown = true
		m.renewalUnknownAt = now
		m.nextKeyRead = now
	}
	if r == unknown {
		return
	}
	for e, h := range m.owned {
		h.pending = slices.DeleteFunc(h.pending, func(a pendingRow) bool {
			return a.attempt == attempt
		})
		m.updateLedger(e)
	}
}
