package grant

import (
	"time"

	"heatherford/core/intent"
)

// startHandover offers an endpoint that another host should own to that host.
func (m *Machine) startHandover(now time.Time) {
	if now.Before(m.nextHandover) {
		return
	}
	m.nextHandover = now.Add(m.options.Timing.HandoverInterval)
	if m.leaving {
		m.handOverAll(now)
		return
	}
	if m.balanced {
		return
	}
	for _, h := range m.owned {
		if h.successor != "" {
			return
		}
	}
	m.endSuspensions(now)
	m.balanced = len(m.suspended) == 0
	chosen := Assign(m.version.Declaration, m.activeHosts(now), m.Owners())
	for _, e := range sortedKeys(m.owned) {
		to := chosen[e]
		if to == "" || to == m.options.Self {
			continue
		}
		m.balanced = false
		if m.canHandOver(m.owned[e], now) {
			m.offer(e, to)
			return
		}
	}
}

// endSuspensions removes the hosts whose suspension has ended.
func (m *Machine) endSuspensions(now time.Time) {
	for h, t := range m.suspended {
		if !now.Before(t) {
			delete(m.suspended, h)
		}
	}
}

// handOverAll offers all endpoints to other hosts. Those that no other host can
// own are given up.
func (m *Machine) handOverAll(now time.Time) {
	hosts := without(m.activeHosts(now), m.options.Self)
	chosen := Assign(m.version.Declaration, hosts, m.Owners())
	for _, e := range sortedKeys(m.owned) {
		h := m.owned[e]
		to := chosen[e]
		if to == "" {
			to = chooseStandby(m.version.Declaration, intent.Endpoint{}, hosts, m.options.Self)
		}
		switch {
		case h.releasing || h.successor != "":
		case to != "":
			m.offer(e, to)
		default:
			h.releasing = true
			h.writeDue = true
			m.updateLedger(e)
		}
	}
}

func (m *Machine) offer(e, to string) {
	m.owned[e].successor = to
	m.emit(Effect{
		Offer: &Offer{
			Host:     to,
			Endpoint: e,
		},
	})
}

// canHandOver reports whether the endpoint has a lease, no unwritten cession and
// the limits of the newest version.
func (m *Machine) canHandOver(h *ownedEndpoint, now time.Time) bool {
	return now.Before(h.leaseUntil) && len(h.ceded) == 0 && h.row.Version == m.version.Number
}

// Offered handles the answer to an offer. ok is false if the host refused or did
// not answer.
func (m *Machine) Offered(o Offer, incarnation string, ok bool, now time.Time) {
	if !ok {
		m.suspended[o.Host] = now.Add(m.options.Timing.OfferBackoff)
	}
	h := m.owned[o.Endpoint]
	if h == nil || h.successor != o.Host || h.releasing {
		return
	}
	if !ok {
		h.successor = ""
		return
	}
	h.successorIncarnation = incarnation
	h.releasing = true
	h.writeDue = true
	m.updateLedger(o.Endpoint)
}

// HandleOffer answers another host's offer.
func (m *Machine) HandleOffer() Reply {
	return m.reply(!m.leaving && !m.fullReadAt.IsZero())
}

func (m *Machine) reply(ok bool) Reply {
	return Reply{
		Incarnation: m.options.Incarnation,
		OK:          ok,
	}
}

// HandoverDone reports whether a leaving host has nothing more to hand over. An endpoint
// whose lease has lapsed can't be handed over; its limits are ceded instead.
func (m *Machine) HandoverDone(now time.Time) bool {
	for e, h := range m.owned {
		if now.Before(h.leaseUntil) || !m.options.Ledger(e).Drained(now) || h.cedesInFlight > 0 || m.canCede(e, h, now) {
			return false
		}
	}
	return true
}
