package edge

import (
	"time"

	"heatherford/core/balance"
	"heatherford/core/registry"
)

// initShares sets the spillover shares of upstreams that have none yet.
func (c *control) initShares(s []registry.Endpoint) {
	zones, region := c.countZones()
	slots := map[string][3]float64{}
	for _, e := range s {
		x := slots[e.Upstream]
		x[2] += float64(e.Slots)
		if c.edge.options.Zones[e.Zone] == c.fleet.Self().Region {
			x[1] += float64(e.Slots)
		}
		if e.Zone == c.fleet.Self().Zone {
			x[0] += float64(e.Slots)
		}
		slots[e.Upstream] = x
	}
	m := map[string]balance.Shares{}
	for n, x := range slots {
		if !c.edge.balancer.HasShares(n) {
			m[n] = balance.InitialShares(x[0], x[1], x[2], zones, region)
		}
	}
	c.edge.balancer.SetShares(m)
}

// countZones returns the number of availability zones, and of those of the own
// region.
func (c *control) countZones() (zones, region int) {
	for _, r := range c.edge.options.Zones {
		zones++
		if r == c.fleet.Self().Region {
			region++
		}
	}
	return zones, region
}

// adjustShares adjusts the zone's spillover shares to the use of slots, if this is
// its relay host.
func (c *control) adjustShares(now time.Time) {
	if !c.isRelay() {
		return
	}
	m := c.edge.balancer.Shares()
	for n, u := range c.edge.balancer.SlotUses() {
		region, far := c.remoteUses(n, now)
		m[n] = m[n].Step(balance.Utilization{
			Zone:       u.Utilization(),
			Region:     region.Utilization(),
			Far:        far.Utilization(),
			ZoneMisses: u.Misses(),
			FarMisses:  far.Misses(),
		}, sharesInterval)
	}
	c.edge.balancer.SetShares(m)
	c.logShares(m, now)
}

// logShares logs the spillover shares and the use of slots of each upstream, every
// sharesLogInterval.
func (c *control) logShares(m map[string]balance.Shares, now time.Time) {
	if now.Before(c.nextSharesLog) {
		return
	}
	c.nextSharesLog = now.Add(sharesLogInterval)
	for n, u := range c.edge.balancer.SlotUses() {
		region, far := c.remoteUses(n, now)
		c.edge.options.Log("shares", "upstream", n, "near", m[n].Near, "far", m[n].Far, "zone_use", u.Utilization(), "zone_misses", u.Misses(),
			"region_use", region.Utilization(), "far_use", far.Utilization(), "far_misses", far.Misses())
	}
}

// remoteUses returns how many slots an upstream has in the other zones of the
// region, and in the other regions, and how many of them are in use.
func (c *control) remoteUses(upstream string, now time.Time) (region, far balance.SlotUse) {
	for z, s := range c.zones {
		if now.Sub(s.at) > maxZoneAge {
			continue
		}
		u := s.uses[upstream]
		if c.edge.options.Zones[z] == c.fleet.Self().Region {
			region = region.Add(u)
		} else {
			far = far.Add(u)
		}
	}
	return region, far
}
