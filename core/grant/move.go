package grant

import (
	"time"

	"heatherford/core/intent"
)

// move begins the planned hand-over of an endpoint that another host should own.
func (m *Machine) move(now time.Time) {
	if now.Before(m.nextMove) {
		return
	}
	m.nextMove = now.Add(m.options.Timing.Move)
	if m.leaving {
		m.leave(now)
		return
	}
	if m.assigned {
		return
	}
	for _, h := range m.held {
		if h.moving != "" {
			return
		}
	}
	m.forgive(now)
	m.assigned = len(m.silent) == 0
	chosen := Assign(m.version.Declaration, m.answering(now), m.Owners())
	for _, e := range sortedKeys(m.held) {
		to := chosen[e]
		if to == "" || to == m.options.Self {
			continue
		}
		m.assigned = false
		if m.movable(m.held[e], now) {
			m.offer(e, to)
			return
		}
	}
}

// forgive forgets the hosts that may get offers again.
func (m *Machine) forgive(now time.Time) {
	for h, t := range m.silent {
		if !now.Before(t) {
			delete(m.silent, h)
		}
	}
}

// leave begins the hand-over of all endpoints. Those that no other host can take
// are given up.
func (m *Machine) leave(now time.Time) {
	hosts := without(m.answering(now), m.options.Self)
	chosen := Assign(m.version.Declaration, hosts, m.Owners())
	for _, e := range sortedKeys(m.held) {
		h := m.held[e]
		to := chosen[e]
		if to == "" {
			to = chooseStandby(m.version.Declaration, intent.Endpoint{}, hosts, m.options.Self)
		}
		switch {
		case h.ending || h.moving != "":
		case to != "":
			m.offer(e, to)
		default:
			h.ending = true
			h.changed = true
			m.apply(e)
		}
	}
}

func (m *Machine) offer(e, to string) {
	m.held[e].moving = to
	m.emit(Effect{
		Offer: &Offer{
			Host:     to,
			Endpoint: e,
		},
	})
}

// movable reports whether the holding's row is at rest.
func (m *Machine) movable(h *holding, now time.Time) bool {
	return now.Before(h.until) && len(h.ceded) == 0 && h.row.Version == m.version.Number
}

// Offered tells a host's answer to an offer. Without one, ok is false.
func (m *Machine) Offered(o Offer, incarnation string, ok bool, now time.Time) {
	if !ok {
		m.silent[o.Host] = now.Add(m.options.Timing.Silence)
	}
	h := m.held[o.Endpoint]
	if h == nil || h.moving != o.Host || h.ending {
		return
	}
	if !ok {
		h.moving = ""
		return
	}
	h.incarnation = incarnation
	h.ending = true
	h.changed = true
	m.apply(o.Endpoint)
}

// Accepts answers another host's offer.
func (m *Machine) Accepts() Reply {
	return m.reply(!m.leaving && !m.surveyed.IsZero())
}

func (m *Machine) reply(ok bool) Reply {
	return Reply{
		Incarnation: m.options.Incarnation,
		OK:          ok,
	}
}

// Left reports whether a host that leaves has nothing more to hand over. Without
// the leases that it would need for that, it cedes what it can.
func (m *Machine) Left(now time.Time) bool {
	for e, h := range m.held {
		if now.Before(h.until) || !m.options.Ledger(e).Drained(now) || h.ceding > 0 || m.cedes(e, h, now) {
			return false
		}
	}
	return true
}
