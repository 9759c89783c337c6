package grant

import (
	"slices"
	"time"

	"heatherford/core/store"
)

// startReads asks for the reads that are due: of all rows, and of the rows that
// keysToRead names.
func (m *Machine) startReads(now time.Time) {
	if !m.fullReadPending && !now.Before(m.nextFullRead) {
		m.fullReadPending = true
		m.fullReadSent = now
		m.nextFullRead = now.Add(m.options.Timing.IdleFullReadInterval)
		if !m.allSettled() {
			m.nextFullRead = now.Add(m.options.Timing.FullReadInterval)
		}
		m.emit(Effect{
			Read: &Read{
				All: true,
				Query: store.Query{
					Prefixes: []string{RowPrefix},
				},
			},
		})
	}
	if m.keyReadPending || now.Before(m.nextKeyRead) {
		return
	}
	m.nextKeyRead = now.Add(m.options.Timing.KeyReadInterval)
	keys := m.keysToRead()
	if len(keys) == 0 {
		return
	}
	m.keyReadPending = true
	m.keyReadSent = now
	m.emit(Effect{
		Read: &Read{
			Query: store.Query{
				Keys: keys,
			},
		},
	})
}

// allSettled reports whether, as far as this host knows, every endpoint has an
// owner and all limits that the version allows it, with none reserved.
func (m *Machine) allSettled() bool {
	for e, l := range m.limits {
		s := m.rows[e]
		if s == nil || s.row.Owner == "" || s.row.Version != m.version.Number ||
			!s.row.Limits.Equal(l) || len(s.row.Reserved) > 0 {
			return false
		}
	}
	return true
}

// requestList asks for the platform's list while a host that has left it would
// free limits or an endpoint. The list is read seldom otherwise.
func (m *Machine) requestList(now time.Time) {
	if now.Before(m.nextList) || !m.needsList(now) {
		return
	}
	m.nextList = now.Add(m.options.Timing.ListInterval)
	m.emit(Effect{
		List: true,
	})
}

func (m *Machine) needsList(now time.Time) bool {
	if len(m.hosts) == 0 {
		return true
	}
	for _, h := range m.owned {
		if len(h.row.Reserved) > 0 {
			return true
		}
	}
	for e, s := range m.rows {
		if m.owned[e] == nil && s.row.Owner != "" && now.After(m.lapsedAt(s).Add(m.options.Timing.ListInterval)) {
			return true
		}
	}
	return false
}

// keysToRead returns the keys of the rows that this host is the standby for, and
// those of its own rows while the effect of a renewal is not known.
func (m *Machine) keysToRead() []string {
	keys := []string{}
	for _, e := range sortedKeys(m.rows) {
		s := m.rows[e]
		switch {
		case m.owned[e] != nil:
			if m.renewalUnknown {
				keys = append(keys, RowKey(e))
			}
		case s.row.Standby == m.options.Self:
			keys = append(keys, RowKey(e))
		}
	}
	return keys
}

// ReadFailed handles a read that got no answer.
func (m *Machine) ReadFailed(r Read, now time.Time) {
	m.endRead(r)
	if r.All {
		m.fetchOwners(now)
	}
}

func (m *Machine) endRead(r Read) {
	if r.All {
		m.fullReadPending = false
	} else {
		m.keyReadPending = false
	}
}

// RowsRead handles the result of a read. Rows that cannot be decoded are noted and
// left out.
func (m *Machine) RowsRead(r Read, rows []store.Row, now time.Time) {
	sent := m.keyReadSent
	if r.All {
		sent = m.fullReadSent
	}
	m.endRead(r)
	if !sent.After(m.rowGoneAt) {
		return
	}
	present := map[string]bool{}
	for _, w := range rows {
		row, err := decode(w.Key, w.Value)
		if err != nil {
			m.note("", err.Error())
			continue
		}
		present[row.Endpoint] = true
		m.recordRow(row, w.Version, now)
	}
	if r.All {
		m.removeAbsentRows(present, sent, now)
		m.fullReadAt = sent
	}
	if m.renewalUnknown && sent.After(m.renewalUnknownAt) && m.coversOwned(r) {
		m.renewalUnknown = false
	}
	for e, h := range m.owned {
		if m.raisable(e, h) {
			h.writeDue = true
		}
	}
}

// coversOwned reports whether the read covered all rows that this host owns.
func (m *Machine) coversOwned(r Read) bool {
	if r.All {
		return true
	}
	for e := range m.owned {
		if !slices.Contains(r.Query.Keys, RowKey(e)) {
			return false
		}
	}
	return true
}

// removeAbsentRows removes the rows that a full read did not find.
func (m *Machine) removeAbsentRows(present map[string]bool, sent, now time.Time) {
	for _, e := range sortedKeys(m.rows) {
		if present[e] || !m.rows[e].seenAt.Before(sent) {
			continue
		}
		m.removeRow(e, now)
	}
}

// removeRow removes a row that is no longer in the table. Reads that were sent
// earlier may still have found it, so RowsRead ignores their results.
func (m *Machine) removeRow(e string, now time.Time) {
	m.rowGoneAt = now
	m.serving = nil
	m.balanced = false
	delete(m.rows, e)
	delete(m.revoked, e)
	m.relinquish(e)
}

// recordRow records a row that a read or commit showed to be in the table. Older
// versions than the one known are ignored.
func (m *Machine) recordRow(row Row, version uint64, now time.Time) {
	e := row.Endpoint
	if s := m.rows[e]; s != nil && version <= s.version {
		return
	}
	m.revision++
	s := &seenRow{
		row:        row,
		version:    version,
		seenAt:     now,
		seenBefore: m.rows[e] != nil,
	}
	m.invalidate(m.rows[e], s)
	m.rows[e] = s
	m.dropOlderReports(e, row.Epoch, version)
	if row.Owner != "" {
		delete(m.unownedSince, e)
	}
	delete(m.unresolvedClaims, e)
	mine := row.Owner == m.options.Self && row.Incarnation == m.options.Incarnation
	h := m.owned[e]
	switch {
	case h != nil && mine:
		m.updateOwned(e, row, version, now)
	case h != nil:
		m.relinquish(e)
		m.note(e, lossNote(row))
	case mine && row.Epoch > m.revoked[e].epoch:
		m.startOwning(row, version, now)
	case m.received[e].Epoch < row.Epoch:
		delete(m.received, e)
		m.updateLedger(e)
	}
}

// invalidate drops the results that were derived from a row if the next version
// changes them. Most versions differ in the renewal only.
func (m *Machine) invalidate(old, next *seenRow) {
	if old == nil || old.row.Owner != next.row.Owner || old.row.Version != next.row.Version {
		m.balanced = false
	}
	if old == nil || old.row.Owner != next.row.Owner || serves(old) != serves(next) {
		m.serving = nil
	}
}

func lossNote(row Row) string {
	if row.Owner == "" {
		return "given up"
	}
	return "now owned by " + row.Owner
}

// startOwning begins to own an endpoint whose row names this incarnation.
func (m *Machine) startOwning(row Row, version uint64, now time.Time) {
	e := row.Endpoint
	delete(m.pendingClaims, e)
	delete(m.received, e)
	m.owned[e] = &ownedEndpoint{
		row:          row,
		version:      version,
		leaseUntil:   m.deadline(row),
		versionSince: now,
		ownedSince:   now,
		bound:        m.versionBound(row),
		ended:        map[reservationKey]bool{},
		writeDue:     true,
	}
	m.nextFullRead = now
	m.updateLedger(e)
	m.note(e, "owned")
	if row.Renewal != 0 && row.Epoch > 1 {
		m.announce(m.ownership(e), now)
	}
}

// updateOwned takes over a newer row of an owned endpoint that is known to be in
// the table.
func (m *Machine) updateOwned(e string, row Row, version uint64, now time.Time) {
	h := m.owned[e]
	if row.Version != h.row.Version {
		h.versionSince = now
		m.nextFullRead = now
	}
	if d := m.deadline(row); d.After(h.leaseUntil) {
		h.leaseUntil = d
	}
	h.row = row
	h.version = version
	if m.version != nil && row.Version == m.version.Number {
		h.bound = m.versionBound(row)
	}
	h.pending = nil
	written := map[reservationKey]bool{}
	serials := map[uint64]bool{}
	for _, v := range row.Reserved {
		written[v.key()] = true
		serials[v.Serial] = true
	}
	ceded := []Reservation{}
	for _, v := range h.ceded {
		if !serials[v.Serial] {
			ceded = append(ceded, v)
		}
	}
	h.ceded = ceded
	for k := range h.ended {
		if !written[k] {
			delete(h.ended, k)
		}
	}
	m.updateLedger(e)
}

// deadline returns the end of the lease that the row's write gives this
// incarnation: one term after the time just before the write was sent. It is zero
// if this incarnation does not know the write.
func (m *Machine) deadline(row Row) time.Time {
	t, ok := m.sentAt[row.Renewal]
	if !ok {
		return time.Time{}
	}
	return t.Add(row.Term.Std())
}
