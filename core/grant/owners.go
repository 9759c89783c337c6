package grant

import (
	"time"

	"heatherford/core/store"
)

// Serving returns the hosts that may send something to their endpoints, by the
// endpoint's name: the owner or, if that is dead and has ceded a part, the host
// that has the part. The map is not changed afterwards.
func (m *Machine) Serving() map[string]string {
	if m.serving != nil {
		return m.serving
	}
	m.serving = map[string]string{}
	for e, s := range m.rows {
		if serves(s) {
			m.serving[e] = s.row.Owner
		}
	}
	for e, o := range m.told {
		m.serving[e] = o.Host
	}
	for e, o := range m.parts {
		if !m.mayLive(m.serving[e]) {
			m.serving[e] = o.Host
		}
	}
	return m.serving
}

func serves(s *seenRow) bool {
	return s != nil && s.row.Owner != "" && !s.row.Own().IsZero()
}

func (m *Machine) mayLive(host string) bool {
	return len(m.alive) == 0 || listed(m.alive, host)
}

// ownership returns what this host knows of the endpoint's row.
func (m *Machine) ownership(e string) Ownership {
	s := m.rows[e]
	return Ownership{
		Endpoint: e,
		Host:     s.row.Owner,
		Epoch:    s.row.Epoch,
		Version:  s.version,
	}
}

// Known returns what this host tells others of all owners, ordered by endpoint.
func (m *Machine) Known() []Ownership {
	all := []Ownership{}
	for _, e := range sortedKeys(m.rows) {
		if _, ok := m.told[e]; !ok && serves(m.rows[e]) {
			all = append(all, m.ownership(e))
		}
	}
	for _, e := range sortedKeys(m.told) {
		all = append(all, m.told[e])
	}
	for _, e := range sortedKeys(m.parts) {
		all = append(all, m.parts[e])
	}
	return all
}

// Told tells of a change that another host has seen.
func (m *Machine) Told(o Ownership, now time.Time) {
	m.nextAll = now
	m.Learned([]Ownership{o})
}

// Learned tells what another host knows of owners. It goes before this host's own
// knowledge if it is newer.
func (m *Machine) Learned(all []Ownership) {
	for _, o := range all {
		s := m.rows[o.Endpoint]
		switch {
		case o.Part:
			if (s == nil || s.row.Epoch <= o.Epoch) && m.parts[o.Endpoint].Epoch <= o.Epoch {
				m.parts[o.Endpoint] = o
			}
		case (s == nil || s.version < o.Version) && m.told[o.Endpoint].Version < o.Version:
			m.told[o.Endpoint] = o
		}
	}
	m.serving = nil
	m.revision++
}

// outdate forgets what others told of a row before the given version.
func (m *Machine) outdate(e string, epoch, version uint64) {
	if o, ok := m.told[e]; ok && o.Version <= version {
		delete(m.told, e)
		m.serving = nil
	}
	if o, ok := m.parts[e]; ok && o.Epoch < epoch {
		delete(m.parts, e)
		m.serving = nil
	}
}

// learn asks the next host for what it knows.
func (m *Machine) learn(now time.Time) {
	hosts := without(m.answering(now), m.options.Self)
	if len(hosts) == 0 {
		return
	}
	next := hosts[0].Name
	for _, h := range hosts {
		// The first after the last teacher, by name; after the last, the first.
		if h.Name > m.teacher && (next <= m.teacher || h.Name < next) {
			next = h.Name
		}
	}
	m.teacher = next
	m.emit(Effect{
		Learn: &Learn{
			Host: next,
		},
	})
}

// tellAll tells the other hosts, so that they need not wait for their next
// survey.
func (m *Machine) tellAll(o Ownership, now time.Time) {
	for _, h := range m.answering(now) {
		if h.Name == m.options.Self || h.State == store.HostLeaving {
			continue
		}
		m.emit(Effect{
			Tell: &Tell{
				Host:      h.Name,
				Ownership: o,
			},
		})
	}
}
