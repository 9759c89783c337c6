package grant

import "heatherford/core/quota"

// unreservedBound returns what the reservations leave of the bound.
func (h *ownedEndpoint) unreservedBound() quota.Limits {
	return h.bound.Minus(h.row.reserved()).Minus(sumLimits(h.ceded))
}

// versionBound returns what this host may use of a row whose limits are of another
// version than its own. Lower limits apply as soon as their version is known; a
// version older than the row's bounds nothing.
//
// Hosts that know of a version between the two may rely on its limits, which this
// host does not know. So it uses no more than what the caps leave beside all that
// the other rows allow, or may come to allow.
func (m *Machine) versionBound(row Row) quota.Limits {
	if m.version == nil || m.version.Number < row.Version {
		return row.Limits
	}
	l := m.limits[row.Endpoint]
	if m.version.Number > row.Version+1 {
		l = l.Min(m.capsLeft(row))
	}
	return l
}

// capsLeft returns what the caps that bound the endpoint leave beside all other
// rows. It is zero before the first full read.
func (m *Machine) capsLeft(row Row) quota.Limits {
	if m.fullReadAt.IsZero() {
		return quota.Limits{}
	}
	l := m.undividedCaps(row.Endpoint)
	for n, o := range m.otherLimits(row) {
		l.Slots = max(l.Slots-o.Slots, 0)
		bound, divided := m.limits[n]
		for i, p := range l.Shares {
			// A row that is known not to count against the cap is left out.
			if !divided || bound.Has(p.Name) {
				l.Shares[i].Limit = max(p.Limit-o.Of(p.Name), 0)
			}
		}
	}
	return l
}

// undividedCaps returns the caps that bound the endpoint, before they are divided
// among endpoints.
func (m *Machine) undividedCaps(endpoint string) quota.Limits {
	d := m.version.Declaration
	l := quota.Limits{}
	for _, r := range d.Regions {
		if r.Name == m.regionOf(endpoint) {
			l.Slots = r.Cap
		}
	}
	caps := quota.Caps(d)
	for _, p := range m.limits[endpoint].Shares {
		l.Shares = append(l.Shares, quota.CapShare{
			Name:  p.Name,
			Limit: caps[p.Name],
		})
	}
	return l
}

// otherLimits returns the most that the other rows of the region may allow until
// all rows have a version after the row's: those that already have one are not
// raised before that, the others may be raised to all slots.
func (m *Machine) otherLimits(row Row) map[string]quota.Limits {
	s := map[string]quota.Limits{}
	region := m.regionOf(row.Endpoint)
	for _, u := range m.version.Declaration.Upstreams {
		for _, e := range u.Endpoints {
			if m.regionOf(e.Name) == region {
				s[e.Name] = quota.Limits{
					Slots: e.Slots,
				}
			}
		}
	}
	for n, o := range m.rows {
		of := m.regionOf(n)
		switch {
		case of != region && of != "":
		case o.row.Version > row.Version:
			s[n] = o.row.Limits
		default:
			s[n] = quota.Limits{
				Slots: max(s[n].Slots, o.row.Limits.Slots),
			}
		}
	}
	delete(s, row.Endpoint)
	return s
}

// regionOf returns the endpoint's region, or an empty string if the version does
// not have the endpoint.
func (m *Machine) regionOf(endpoint string) string {
	e, _ := m.version.Declaration.Endpoint(endpoint)
	return m.version.Declaration.RegionOf(e.Zone)
}
