package grant

import "time"

// requestRevocations asks the hosts that have limits reserved to give them up,
// until each has acknowledged that or has left the platform's list.
func (m *Machine) requestRevocations(now time.Time) {
	if now.Before(m.nextRevoke) {
		return
	}
	m.nextRevoke = now.Add(m.options.Timing.RevokeInterval)
	for _, e := range sortedKeys(m.owned) {
		h := m.owned[e]
		for _, v := range h.row.Reserved {
			switch {
			case h.ended[v.key()]:
			case m.reservationOver(h, v, now):
				h.ended[v.key()] = true
				h.writeDue = true
			case v.Host == m.options.Self || (v.Serial != 0 && h.cedesInFlight > 0):
			default:
				m.emit(Effect{
					Revoke: &Revoke{
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

// reservationOver reports whether the reservation's host has been off the
// platform's list for so long that its last requests have ended. If the host is
// this one, an earlier incarnation's requests have ended some time after the start.
func (m *Machine) reservationOver(h *ownedEndpoint, v Reservation, now time.Time) bool {
	longest := m.withClockMargin(max(h.row.MaxDuration.Std(), m.maxDurationOfAll))
	if v.Host == m.options.Self {
		return !now.Before(m.options.Started.Add(longest))
	}
	since, ok := m.unlistedSince[v.Host]
	if !ok && !m.mayBeListed(v.Host) {
		m.unlistedSince[v.Host] = now
		return false
	}
	return ok && !now.Before(since.Add(longest))
}

// Acknowledged handles a host's acknowledgement that a Revoke is done.
func (m *Machine) Acknowledged(q Revoke) {
	h := m.owned[q.Endpoint]
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
			h.writeDue = true
		}
	}
}

// HandleRevoke answers another host's Revoke. The allowances are given up at once and for
// good; the acknowledgement is done after the last request has ended.
func (m *Machine) HandleRevoke(q Revoke, now time.Time) Acknowledgement {
	e := q.Endpoint
	a := Acknowledgement{
		Incarnation: m.options.Incarnation,
	}
	if h := m.owned[e]; h != nil {
		if h.row.Epoch >= q.Epoch {
			return a
		}
		m.relinquish(e)
		m.note(e, "given up to a newer epoch")
	}
	if c, ok := m.received[e]; ok && (c.Epoch < q.Epoch || (c.Epoch == q.Epoch && c.Serial <= q.Serial)) {
		delete(m.received, e)
		m.updateLedger(e)
		m.note(e, "ceded part returned")
	}
	k := m.revoked[e]
	if q.Epoch > k.epoch {
		k = revocation{
			epoch: q.Epoch,
		}
	}
	if q.Epoch == k.epoch {
		k.serial = max(k.serial, q.Serial)
	}
	m.revoked[e] = k
	// Requests of an earlier incarnation may still be in flight.
	earlierEnded := m.version != nil && !now.Before(m.options.Started.Add(m.withClockMargin(m.maxDurationOfAll)))
	a.Done = m.options.Ledger(e).Drained(now) && (q.Incarnation == m.options.Incarnation || earlierEnded)
	return a
}

// cede offers the standby the limits that need a lease, for each endpoint whose
// lease has lapsed, so that all of its limits stay in use while the platform is
// down.
func (m *Machine) cede(now time.Time) {
	for _, e := range sortedKeys(m.owned) {
		h := m.owned[e]
		if !m.canCede(e, h, now) {
			continue
		}
		m.cedeSerial++
		h.nextCede = now.Add(m.options.Timing.RevokeInterval)
		c := Cede{
			Host:     h.row.Standby,
			Endpoint: e,
			Epoch:    h.row.Epoch,
			Serial:   m.cedeSerial,
			Version:  h.row.Version,
			Limits:   h.leased().Min(h.unreservedBound().Minus(h.reduced())),
		}
		h.cedesInFlight++
		h.ceded = append(h.ceded, Reservation{
			Host:   c.Host,
			Limits: c.Limits,
			Serial: c.Serial,
		})
		m.updateLedger(e)
		m.emit(Effect{
			Cede: &c,
		})
	}
}

func (m *Machine) canCede(e string, h *ownedEndpoint, now time.Time) bool {
	if h.leaseUntil.IsZero() || now.Before(h.leaseUntil) || now.Before(h.nextCede) {
		return false
	}
	if h.releasing || h.cedesInFlight > 0 || len(h.ceded) > 0 {
		return false
	}
	for i := range h.pending {
		if h.pending[i].row.Standby != h.row.Standby {
			return false
		}
	}
	l := h.leased().Min(h.unreservedBound().Minus(h.reduced()))
	return !l.IsZero() && m.mayBeListed(h.row.Standby) &&
		m.options.Ledger(e).Within(now, time.Time{}, m.allowance(e).Reduced)
}

// row returns what the receiver knows of the owner's row.
func (c *Cede) row() Row {
	return Row{
		Endpoint: c.Endpoint,
		Version:  c.Version,
		Limits:   c.Limits,
	}
}

// CedeEnded handles the end of a cession. The limits count as ceded unless the
// host has refused; without an answer its incarnation is empty.
func (m *Machine) CedeEnded(c Cede, incarnation string, refused bool) {
	h := m.owned[c.Endpoint]
	if h == nil || h.row.Epoch != c.Epoch {
		return
	}
	h.cedesInFlight--
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
	m.updateLedger(c.Endpoint)
}

// HandleCede answers another host's Cede. The limits are accepted unless they were
// revoked meanwhile, the epoch is old, or this host owns the endpoint or is
// leaving.
func (m *Machine) HandleCede(c Cede, now time.Time) Reply {
	e := c.Endpoint
	k := m.revoked[e]
	if c.Epoch < k.epoch || (c.Epoch == k.epoch && c.Serial <= k.serial) {
		return m.reply(false)
	}
	if s := m.rows[e]; s != nil && s.row.Epoch > c.Epoch {
		return m.reply(false)
	}
	if m.owned[e] != nil || m.received[e].Epoch > c.Epoch || m.leaving || m.version == nil {
		return m.reply(false)
	}
	c.bound = m.versionBound(c.row())
	m.received[e] = c
	m.updateLedger(e)
	m.note(e, "part taken from its owner")
	m.announce(Ownership{
		Endpoint: e,
		Host:     m.options.Self,
		Epoch:    c.Epoch,
		Ceded:    true,
	}, now)
	return m.reply(true)
}
