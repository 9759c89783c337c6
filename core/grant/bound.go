package grant

import "heatherford/core/quota"

// left returns what the bound leaves beside the reservations.
func (h *holding) left() quota.Limits {
	return h.bound.Minus(h.row.reserved()).Minus(sum(h.ceded))
}

// boundOf returns what this host may use of a row whose limits are of another
// version than its own. Lower limits hold from the moment that their version is
// known; an older version than the row's says nothing.
//
// Hosts that know of a version between the two may rely on its limits, which
// this host does not know. So it leaves all that the other rows allow, or may
// come to allow.
func (m *Machine) boundOf(row Row) quota.Limits {
	if m.version == nil || m.version.Number < row.Version {
		return row.Limits
	}
	l := m.limits[row.Endpoint]
	if m.version.Number > row.Version+1 {
		l = l.Min(m.beside(row))
	}
	return l
}

// beside returns what the caps that bound the endpoint leave beside all other
// rows.
func (m *Machine) beside(row Row) quota.Limits {
	if m.surveyed.IsZero() {
		return quota.Limits{}
	}
	l := m.whole(row.Endpoint)
	for n, o := range m.others(row) {
		l.Slots = max(l.Slots-o.Slots, 0)
		bound, divided := m.limits[n]
		for i, p := range l.Parts {
			// A row that is known not to be under the cap does not count.
			if !divided || bound.Has(p.Name) {
				l.Parts[i].Limit = max(p.Limit-o.Of(p.Name), 0)
			}
		}
	}
	return l
}

// whole returns the undivided caps that bound the endpoint.
func (m *Machine) whole(endpoint string) quota.Limits {
	d := m.version.Declaration
	l := quota.Limits{}
	for _, r := range d.Regions {
		if r.Name == m.regionOf(endpoint) {
			l.Slots = r.Cap
		}
	}
	caps := quota.Caps(d)
	for _, p := range m.limits[endpoint].Parts {
		l.Parts = append(l.Parts, quota.Part{
			Name:  p.Name,
			Limit: caps[p.Name],
		})
	}
	return l
}

// others returns what the other rows of the region allow at most until all rows
// have left the row's version: those that have left it are raised no more, the
// others may be raised to all slots.
func (m *Machine) others(row Row) map[string]quota.Limits {
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
