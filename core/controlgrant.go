package core

import (
	"heatherford/core/grant"
	"heatherford/core/snapshot"
)

// publishGrants fills in the owners of all endpoints and what this host owns.
func (c *control) publishGrants(s *snapshot.Snapshot) {
	d := c.declaration()
	for _, u := range d.Upstreams {
		for _, e := range u.Endpoints {
			h := grant.Prefer(d, e, c.hosts)
			s.Owners[e.Name] = h
			if h != c.kernel.Settings.Host {
				continue
			}
			s.Owned[u.Name] = append(s.Owned[u.Name], snapshot.Own{
				Endpoint: e,
				Slots:    e.Slots,
				Reduced:  e.Slots,
			})
		}
	}
}
