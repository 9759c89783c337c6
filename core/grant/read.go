package grant

import (
	"slices"
	"time"

	"heatherford/core/store"
)

// read asks for the rows that this host has to know now.
func (m *Machine) read(now time.Time) {
	if !m.surveying && !now.Before(m.nextAll) {
		m.surveying = true
		m.surveySent = now
		m.nextAll = now.Add(m.options.Timing.Resurvey)
		if !m.atRest() {
			m.nextAll = now.Add(m.options.Timing.Survey)
		}
		m.emit(Effect{
			Read: &Read{
				All: true,
				Query: store.Query{
					Prefixes: []string{Prefix},
				},
			},
		})
	}
	if m.reading || now.Before(m.nextRead) {
		return
	}
	m.nextRead = now.Add(m.options.Timing.Watch)
	keys := m.watched()
	if len(keys) == 0 {
		return
	}
	m.reading = true
	m.readSent = now
	m.emit(Effect{
		Read: &Read{
			Query: store.Query{
				Keys: keys,
			},
		},
	})
}

// atRest reports whether, as far as this host knows, every endpoint has an owner
// and all that the version allows it.
func (m *Machine) atRest() bool {
	for e, l := range m.limits {
		s := m.rows[e]
		if s == nil || s.row.Owner == "" || s.row.Version != m.version.Number ||
			!s.row.Limits.Equal(l) || len(s.row.Reserved) > 0 {
			return false
		}
	}
	return true
}

// list asks for the platform's list, which is read seldom otherwise, while it
// may be that a host has left it and so frees a part or an endpoint.
func (m *Machine) list(now time.Time) {
	if now.Before(m.nextList) || !m.needsList(now) {
		return
	}
	m.nextList = now.Add(m.options.Timing.List)
	m.emit(Effect{
		List: true,
	})
}

func (m *Machine) needsList(now time.Time) bool {
	if len(m.hosts) == 0 {
		return true
	}
	for _, h := range m.held {
		if len(h.row.Reserved) > 0 {
			return true
		}
	}
	for e, s := range m.rows {
		if m.held[e] == nil && s.row.Owner != "" && now.After(m.lapsed(s).Add(m.options.Timing.List)) {
			return true
		}
	}
	return false
}

// watched returns the keys of the rows that this host may have to take over
// soon, and of its own while they are unsettled.
func (m *Machine) watched() []string {
	keys := []string{}
	for _, e := range sortedKeys(m.rows) {
		s := m.rows[e]
		switch {
		case m.held[e] != nil:
			if m.unsettled {
				keys = append(keys, Key(e))
			}
		case s.row.Standby == m.options.Self:
			keys = append(keys, Key(e))
		}
	}
	return keys
}

// ReadFailed tells that a read got no answer.
func (m *Machine) ReadFailed(r Read, now time.Time) {
	m.readEnded(r)
	if r.All {
		m.learn(now)
	}
}

func (m *Machine) readEnded(r Read) {
	if r.All {
		m.surveying = false
	} else {
		m.reading = false
	}
}

// RowsRead tells the result of a read.
func (m *Machine) RowsRead(r Read, rows []store.Row, now time.Time) {
	sent := m.readSent
	if r.All {
		sent = m.surveySent
	}
	m.readEnded(r)
	if !sent.After(m.forgotten) {
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
		m.see(row, w.Version, now)
	}
	if r.All {
		m.forgetAbsent(present, sent, now)
		m.surveyed = sent
	}
	if m.unsettled && sent.After(m.unsettledAt) && m.coversHeld(r) {
		m.unsettled = false
	}
	for e, h := range m.held {
		if m.raisable(e, h) {
			h.changed = true
		}
	}
}

// coversHeld reports whether the read was of all rows of this host.
func (m *Machine) coversHeld(r Read) bool {
	if r.All {
		return true
	}
	for e := range m.held {
		if !slices.Contains(r.Query.Keys, Key(e)) {
			return false
		}
	}
	return true
}

// forgetAbsent forgets the rows that a survey did not find.
func (m *Machine) forgetAbsent(present map[string]bool, sent, now time.Time) {
	for _, e := range sortedKeys(m.rows) {
		if present[e] || !m.rows[e].at.Before(sent) {
			continue
		}
		m.forget(e, now)
	}
}

// forget forgets a row that is no longer in the table. Reads that were sent
// earlier may still have found it, so they are not heeded.
func (m *Machine) forget(e string, now time.Time) {
	m.forgotten = now
	m.serving = nil
	m.assigned = false
	delete(m.rows, e)
	delete(m.acknowledged, e)
	m.drop(e)
}

// see takes a row that was in the table after a read or commit had been sent.
func (m *Machine) see(row Row, version uint64, now time.Time) {
	e := row.Endpoint
	if s := m.rows[e]; s != nil && version <= s.version {
		return
	}
	m.revision++
	s := &seenRow{
		row:     row,
		version: version,
		at:      now,
		renewed: m.rows[e] != nil,
	}
	m.compare(m.rows[e], s)
	m.rows[e] = s
	m.outdate(e, row.Epoch, version)
	if row.Owner != "" {
		delete(m.unowned, e)
	}
	delete(m.doubts, e)
	mine := row.Owner == m.options.Self && row.Incarnation == m.options.Incarnation
	h := m.held[e]
	switch {
	case h != nil && mine:
		m.confirm(e, row, version, now)
	case h != nil:
		m.drop(e)
		m.note(e, lost(row))
	case mine && row.Epoch > m.acknowledged[e].epoch:
		m.hold(row, version, now)
	case m.received[e].Epoch < row.Epoch:
		delete(m.received, e)
		m.apply(e)
	}
}

// compare drops what was derived from a row if that differs in the next one. Most
// differ in the renewal only.
func (m *Machine) compare(old, next *seenRow) {
	if old == nil || old.row.Owner != next.row.Owner || old.row.Version != next.row.Version {
		m.assigned = false
	}
	if old == nil || old.row.Owner != next.row.Owner || serves(old) != serves(next) {
		m.serving = nil
	}
}

func lost(row Row) string {
	if row.Owner == "" {
		return "given up"
	}
	return "now owned by " + row.Owner
}

// hold begins a holding with a row that names this incarnation.
func (m *Machine) hold(row Row, version uint64, now time.Time) {
	e := row.Endpoint
	delete(m.claims, e)
	delete(m.received, e)
	m.held[e] = &holding{
		row:     row,
		version: version,
		until:   m.deadline(row),
		adopted: now,
		since:   now,
		bound:   m.boundOf(row),
		ended:   map[reservationKey]bool{},
		changed: true,
	}
	m.nextAll = now
	m.apply(e)
	m.note(e, "owned")
	if row.Renewal != 0 && row.Epoch > 1 {
		m.tellAll(m.ownership(e), now)
	}
}

// confirm takes a row of a holding that is known to be in the table.
func (m *Machine) confirm(e string, row Row, version uint64, now time.Time) {
	h := m.held[e]
	if row.Version != h.row.Version {
		h.adopted = now
		m.nextAll = now
	}
	if d := m.deadline(row); d.After(h.until) {
		h.until = d
	}
	h.row = row
	h.version = version
	if m.version != nil && row.Version == m.version.Number {
		h.bound = m.boundOf(row)
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
	m.apply(e)
}

// deadline returns until when the row's write gives this incarnation a lease: a
// term from before the write was sent. It is zero for a write of another.
func (m *Machine) deadline(row Row) time.Time {
	t, ok := m.sent[row.Renewal]
	if !ok {
		return time.Time{}
	}
	return t.Add(row.Term.Std())
}
