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
// this host does not know. So it leaves all that the other rows allow.
func (m *Machine) boundOf(row Row) quota.Limits {
	if m.version == nil || m.version.Number < row.Version {
		return row.Limits
	}
	l := m.limits[row.Endpoint]
	if m.version.Number > row.Version+1 {
		l = l.Min(m.beside(row.Endpoint))
	}
	return l
}

// beside returns what the caps that bound the endpoint leave beside the limits
// of all other rows.
func (m *Machine) beside(endpoint string) quota.Limits {
	d := m.version.Declaration
	e, _ := d.Endpoint(endpoint)
	l := quota.Limits{}
	for _, r := range d.Regions {
		if r.Name == d.RegionOf(e.Zone) {
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
	for n, s := range m.rows {
		o, declared := d.Endpoint(n)
		if n == endpoint || (declared && d.RegionOf(o.Zone) != d.RegionOf(e.Zone)) {
			continue
		}
		l.Slots = max(l.Slots-s.row.Limits.Slots, 0)
		bound, divided := m.limits[n]
		for i, p := range l.Parts {
			// A row that is known not to be under the cap does not count.
			if !divided || bound.Has(p.Name) {
				l.Parts[i].Limit = max(p.Limit-s.row.Limits.Of(p.Name), 0)
			}
		}
	}
	return l
}
