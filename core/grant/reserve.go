package grant

import "time"

// ask calls the hosts that have a part reserved, until each has said that it
// does not use it or has left the platform's list.
func (m *Machine) ask(now time.Time) {
	if now.Before(m.nextAsk) {
		return
	}
	m.nextAsk = now.Add(m.options.Timing.Ask)
	for _, e := range sortedKeys(m.held) {
		h := m.held[e]
		for _, v := range h.row.Reserved {
			switch {
			case h.ended[v.key()]:
			case m.over(h, v, now):
				h.ended[v.key()] = true
				h.changed = true
			case v.Host == m.options.Self || (v.Serial != 0 && h.ceding > 0):
			default:
				m.emit(Effect{
					Ask: &Ask{
						Host:        v.Host,
						Endpoint:    e,
						Epoch:       h.row.Epoch,
						Incarnation: v.Incarnation,
						Serial:      v.Serial,
					},
				})
			}
		}
	}
}

// over reports whether the reservation's host has been gone for so long that
// its last requests have ended.
func (m *Machine) over(h *holding, v Reservation, now time.Time) bool {
	longest := m.guarded(max(h.row.Longest.Std(), m.longest))
	if v.Host == m.options.Self {
		return !now.Before(m.options.Started.Add(longest))
	}
	since, ok := m.gone[v.Host]
	if !ok && !m.mayBeListed(v.Host) {
		m.gone[v.Host] = now
		return false
	}
	return ok && !now.Before(since.Add(longest))
}

// Acknowledged tells that a host has done what it was asked to.
func (m *Machine) Acknowledged(q Ask) {
	h := m.held[q.Endpoint]
	if h == nil || h.row.Epoch != q.Epoch {
		return
	}
	k := reservationKey{
		host:        q.Host,
		incarnation: q.Incarnation,
		serial:      q.Serial,
	}
	for _, v := range h.row.Reserved {
		if v.key() == k {
			h.ended[k] = true
			h.changed = true
		}
	}
}

// Asked answers another host's Ask. The rights are given up at once and for
// good; the acknowledgement is done after the last request has ended.
func (m *Machine) Asked(q Ask, now time.Time) Acknowledgement {
	e := q.Endpoint
	a := Acknowledgement{
		Incarnation: m.options.Incarnation,
	}
	if h := m.held[e]; h != nil {
		if h.row.Epoch >= q.Epoch {
			return a
		}
		m.drop(e)
		m.note(e, "given up to a newer epoch")
	}
	if c, ok := m.received[e]; ok && (c.Epoch < q.Epoch || (c.Epoch == q.Epoch && c.Serial <= q.Serial)) {
		delete(m.received, e)
		m.apply(e)
		m.note(e, "ceded part returned")
	}
	k := m.acknowledged[e]
	if q.Epoch > k.epoch {
		k = mark{
			epoch: q.Epoch,
		}
	}
	if q.Epoch == k.epoch {
		k.serial = max(k.serial, q.Serial)
	}
	m.acknowledged[e] = k
	// Requests of an earlier incarnation may still be in flight.
	aged := m.version != nil && !now.Before(m.options.Started.Add(m.guarded(m.longest)))
	a.Done = m.options.Ledger(e).Drained(now) && (q.Incarnation == m.options.Incarnation || aged)
	return a
}

// cede gives the standby the rest of each endpoint whose lease has lapsed, so
// that all of it stays in use while the platform is down.
func (m *Machine) cede(now time.Time) {
	for _, e := range sortedKeys(m.held) {
		h := m.held[e]
		if !m.cedes(e, h, now) {
			continue
		}
		m.serial++
		h.nextCede = now.Add(m.options.Timing.Ask)
		c := Cede{
			Host:     h.row.Standby,
			Endpoint: e,
			Epoch:    h.row.Epoch,
			Serial:   m.serial,
			Version:  h.row.Version,
			Limits:   h.rest().Min(h.left().Minus(h.smaller())),
		}
		h.ceding++
		h.ceded = append(h.ceded, Reservation{
			Host:   c.Host,
			Limits: c.Limits,
			Serial: c.Serial,
		})
		m.apply(e)
		m.emit(Effect{
			Cede: &c,
		})
	}
}

func (m *Machine) cedes(e string, h *holding, now time.Time) bool {
	if h.until.IsZero() || now.Before(h.until) || now.Before(h.nextCede) {
		return false
	}
	if h.ending || h.ceding > 0 || len(h.ceded) > 0 {
		return false
	}
	for i := range h.pending {
		if h.pending[i].row.Standby != h.row.Standby {
			return false
		}
	}
	l := h.rest().Min(h.left().Minus(h.smaller()))
	return !l.IsZero() && m.mayBeListed(h.row.Standby) &&
		m.options.Ledger(e).Fits(now, time.Time{}, m.right(e).Smaller)
}

// row returns what the receiver knows of the owner's row.
func (c *Cede) row() Row {
	return Row{
		Endpoint: c.Endpoint,
		Version:  c.Version,
		Limits:   c.Limits,
	}
}

// CedeEnded tells how a cession ended. It is taken unless the host has refused;
// without an answer its incarnation is empty.
func (m *Machine) CedeEnded(c Cede, incarnation string, refused bool) {
	h := m.held[c.Endpoint]
	if h == nil || h.row.Epoch != c.Epoch {
		return
	}
	h.ceding--
	ceded := []Reservation{}
	for _, v := range h.ceded {
		if v.Serial == c.Serial {
			if refused {
				continue
			}
			v.Incarnation = incarnation
		}
		ceded = append(ceded, v)
	}
	h.ceded = ceded
	m.apply(c.Endpoint)
}

// Ceded takes the part that an owner cedes, unless it was given up meanwhile.
func (m *Machine) Ceded(c Cede, now time.Time) Reply {
	e := c.Endpoint
	k := m.acknowledged[e]
	if c.Epoch < k.epoch || (c.Epoch == k.epoch && c.Serial <= k.serial) {
		return m.reply(false)
	}
	if s := m.rows[e]; s != nil && s.row.Epoch > c.Epoch {
		return m.reply(false)
	}
	if m.held[e] != nil || m.received[e].Epoch > c.Epoch || m.leaving || m.version == nil {
		return m.reply(false)
	}
	c.bound = m.boundOf(c.row())
	m.received[e] = c
	m.apply(e)
	m.note(e, "part taken from its owner")
	m.tellAll(Ownership{
		Endpoint: e,
		Host:     m.options.Self,
		Epoch:    c.Epoch,
		Part:     true,
	}, now)
	return m.reply(true)
}
