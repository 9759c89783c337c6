package edge

import (
	"time"

	"heatherford/core/balance"
	"heatherford/core/fleet"
	"heatherford/core/registry"
)

const (
	// coldZoneShare is the part of a cold endpoint's allowance that the hosts of its
	// zone use together. The rest is left to hosts that do not hear each other.
	coldZoneShare = 0.7
	// limitZoneShare is what owners in an endpoint's own zone may send of its limit in
	// all parts of a split zone together, and of which each sends the limit at most;
	// limitRegionShare that of owners in its region while the zone has none, and
	// limitFarShare that of all hosts while they see none in the region. Endpoints bear
	// 1.5 times what they state, which is their sum.
	limitZoneShare   = 1.2
	limitRegionShare = 0.2
	limitFarShare    = 0.1
)

// placements returns a function that returns this host's role for an endpoint. It
// looks up the hosts of each zone once.
func (c *control) placements(now time.Time) func(e *registry.Endpoint) balance.Placement {
	zones := map[string][]fleet.Member{}
	limitShares := map[string]float64{}
	budgetHosts := c.fleet.BudgetHostsByZone(now)
	return func(e *registry.Endpoint) balance.Placement {
		hosts, ok := zones[e.Zone]
		if !ok {
			hosts = ownerCandidates(c.live, c.edge.options.Zones, e.Zone)
			zones[e.Zone] = hosts
			limitShares[e.Zone] = c.limitShare(e.Zone, budgetHosts)
		}
		m := c.placement(e, hosts, budgetHosts[e.Zone]-c.isolatedHosts(e.Zone))
		m.LimitShare = limitShares[e.Zone]
		return m
	}
}

// limitShare returns the share of an endpoint's limit that this host may send if it
// owns endpoints of a zone. BudgetHosts are the hosts of each zone, silent ones
// included: a host that hears few of them may not be the only one that counts itself
// the owner.
func (c *control) limitShare(zone string, budgetHosts map[string]int) float64 {
	zones := c.edge.options.Zones
	ownLive, regionLive, regionKnown, known := 0, 0, 0, 0
	for z, n := range budgetHosts {
		live := len(fleet.InZone(c.live, z))
		known += n
		switch {
		case z == zone:
			ownLive = len(fleet.Reaching(fleet.NotLeaving(fleet.InZone(c.live, z))))
		case zones[z] == zones[zone]:
			regionLive += live
			regionKnown += n
		}
	}
	switch {
	case ownLive > 0:
		return limitPart(limitZoneShare, len(fleet.InZone(c.live, zone)), budgetHosts[zone])
	case regionLive > 0 && budgetHosts[zone] <= c.isolatedHosts(zone):
		return limitPart(limitZoneShare, regionLive, regionKnown)
	case regionLive > 0:
		return limitPart(limitRegionShare, regionLive, regionKnown)
	default:
		return limitPart(limitFarShare, 1, known)
	}
}

// isolatedHosts returns the number of live hosts of a zone that send to no endpoint, by
// their own word.
func (c *control) isolatedHosts(zone string) int {
	s := fleet.InZone(c.live, zone)
	return len(s) - len(fleet.Reaching(s))
}

// limitPart returns the part of a share for live hosts of the known ones.
func limitPart(share float64, live, known int) float64 {
	return min(1, share*float64(live)/float64(max(1, live, known)))
}

// placement returns this host's role for an endpoint that the given hosts send to.
// BudgetHosts is the number of hosts that may count themselves among these, silent
// ones included: together they keep the allowance of a cold endpoint.
func (c *control) placement(e *registry.Endpoint, hosts []fleet.Member, budgetHosts int) balance.Placement {
	self := c.fleet.Self()
	budgetHosts = max(1, budgetHosts, len(hosts))
	m := balance.Placement{
		OwnerColdShare: coldZoneShare * float64(len(hosts)) / float64(budgetHosts),
	}
	for i := range hosts {
		if hosts[i].Name == self.Name {
			m.ForwardColdShare = coldZoneShare / float64(budgetHosts)
		}
	}
	m.Owner = fleet.Owner(hosts, e.ID)
	if m.Owner == "" && self.Isolated {
		// Another host sends this host's requests to the endpoint.
		m.Owner = fleet.Owner(fleet.Reaching(fleet.NotLeaving(c.live)), e.ID)
	}
	if m.Owner == "" || len(hosts) == 0 {
		m.OwnerColdShare = 0
	}
	if m.Owner == "" {
		// No host is near the endpoint: each host sends its own requests to it.
		m.Owner = self.Name
		m.Unowned = true
	}
	m.OwnerRegion = c.regionOf(m.Owner)
	return m
}

// regionOf returns the region of a live host, or an empty string.
func (c *control) regionOf(host string) string {
	for i := range c.live {
		if c.live[i].Name == host {
			return c.live[i].Region
		}
	}
	return ""
}

// ownerCandidates returns those of the hosts that send to the endpoints of a zone: those of the
// zone that reach endpoints and are not leaving, or those of its region if the zone has
// none. While no host reaches any endpoint, all count: the endpoints may be down. Zones holds the
// region of each zone.
func ownerCandidates(hosts []fleet.Member, zones map[string]string, zone string) []fleet.Member {
	all := fleet.NotLeaving(hosts)
	if s := fleet.Reaching(all); len(s) > 0 {
		all = s
	}
	s := fleet.InZone(all, zone)
	if len(s) > 0 {
		return s
	}
	for _, m := range all {
		if m.Region == zones[zone] {
			s = append(s, m)
		}
	}
	return s
}
