package grant

import (
	"time"

	"heatherford/core/store"
)

// Serving returns the host that may send to each endpoint, by the endpoint's name:
// the owner or, if that is dead and has ceded limits, the host that received them.
// The map is not changed afterwards.
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
	for e, o := range m.reportedOwners {
		m.serving[e] = o.Host
	}
	for e, o := range m.reportedCeded {
		if !m.mayBeLive(m.serving[e]) {
			m.serving[e] = o.Host
		}
	}
	return m.serving
}

func serves(s *seenRow) bool {
	return s != nil && s.row.Owner != "" && !s.row.OwnerLimits().IsZero()
}

func (m *Machine) mayBeLive(host string) bool {
	return len(m.live) == 0 || listed(m.live, host)
}

// ownership returns the owner that the endpoint's row names. There must be a row.
func (m *Machine) ownership(e string) Ownership {
	s := m.rows[e]
	return Ownership{
		Endpoint: e,
		Host:     s.row.Owner,
		Epoch:    s.row.Epoch,
		Version:  s.version,
	}
}

// KnownOwners returns the owners that this host reports to others: those from rows,
// those that others reported, and the receivers of ceded limits, each ordered by
// endpoint.
func (m *Machine) KnownOwners() []Ownership {
	all := []Ownership{}
	for _, e := range sortedKeys(m.rows) {
		if _, ok := m.reportedOwners[e]; !ok && serves(m.rows[e]) {
			all = append(all, m.ownership(e))
		}
	}
	for _, e := range sortedKeys(m.reportedOwners) {
		all = append(all, m.reportedOwners[e])
	}
	for _, e := range sortedKeys(m.reportedCeded) {
		all = append(all, m.reportedCeded[e])
	}
	return all
}

// HandleAnnounce handles a change of an owner that another host reports.
func (m *Machine) HandleAnnounce(o Ownership, now time.Time) {
	m.nextFullRead = now
	m.OwnersFetched([]Ownership{o})
}

// OwnersFetched merges the owners that another host knows. A report counts instead of
// this host's own row if it is newer.
func (m *Machine) OwnersFetched(all []Ownership) {
	for _, o := range all {
		s := m.rows[o.Endpoint]
		switch {
		case o.Ceded:
			if (s == nil || s.row.Epoch <= o.Epoch) && m.reportedCeded[o.Endpoint].Epoch <= o.Epoch {
				m.reportedCeded[o.Endpoint] = o
			}
		case (s == nil || s.version < o.Version) && m.reportedOwners[o.Endpoint].Version < o.Version:
			m.reportedOwners[o.Endpoint] = o
		}
	}
	m.serving = nil
	m.revision++
}

// dropOlderReports removes the reports that are not newer than the given version
// of a row, and reported cessions under epochs before the given one.
func (m *Machine) dropOlderReports(e string, epoch, version uint64) {
	if o, ok := m.reportedOwners[e]; ok && o.Version <= version {
		delete(m.reportedOwners, e)
		m.serving = nil
	}
	if o, ok := m.reportedCeded[e]; ok && o.Epoch < epoch {
		delete(m.reportedCeded, e)
		m.serving = nil
	}
}

// fetchOwners asks the next host, in a cycle by name, for the owners that it knows.
func (m *Machine) fetchOwners(now time.Time) {
	hosts := without(m.activeHosts(now), m.options.Self)
	if len(hosts) == 0 {
		return
	}
	next := hosts[0].Name
	for _, h := range hosts {
		// The first by name after the last one asked; after the last by name, the first.
		if h.Name > m.lastFetched && (next <= m.lastFetched || h.Name < next) {
			next = h.Name
		}
	}
	m.lastFetched = next
	m.emit(Effect{
		FetchOwners: &FetchOwners{
			Host: next,
		},
	})
}

// announce reports a change of an owner to the other hosts, so that they learn of
// it before their next full read.
func (m *Machine) announce(o Ownership, now time.Time) {
	for _, h := range m.activeHosts(now) {
		if h.Name == m.options.Self || h.State == store.HostLeaving {
			continue
		}
		m.emit(Effect{
			Announce: &Announce{
				Host:      h.Name,
				Ownership: o,
			},
		})
	}
}
