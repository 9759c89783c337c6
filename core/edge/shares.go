package edge

import (
	"time"

	"heatherford/core/balance"
	"heatherford/core/registry"
)

// startShares sets the shares of upstreams that are new.
func (c *control) startShares(s []registry.Endpoint) {
	zones, region := c.places()
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
		if !c.edge.balancer.Started(n) {
			m[n] = balance.StartShares(x[0], x[1], x[2], zones, region)
		}
	}
	c.edge.balancer.SetShares(m)
}

// places returns the number of zones, and of those of the own region.
func (c *control) places() (zones, region int) {
	for _, r := range c.edge.options.Zones {
		zones++
		if r == c.fleet.Self().Region {
			region++
		}
	}
	return zones, region
}

// adjustShares moves the shares of the zone by the uses of slots, if this host
// is its relay.
func (c *control) adjustShares(now time.Time) {
	if !c.relay() {
		return
	}
	m := c.edge.balancer.Shares()
	for n, u := range c.edge.balancer.Uses() {
		region, far := c.elsewhere(n, now)
		m[n] = m[n].Step(balance.Uses{
			Zone:       u.Share(),
			Region:     region.Share(),
			Far:        far.Share(),
			ZoneMisses: u.Misses(),
			FarMisses:  far.Misses(),
		}, shareInterval)
	}
	c.edge.balancer.SetShares(m)
	c.logShares(m, now)
}

// logShares writes a line for each upstream from time to time.
func (c *control) logShares(m map[string]balance.Shares, now time.Time) {
	if now.Before(c.sharesLog) {
		return
	}
	c.sharesLog = now.Add(sharesLogInterval)
	for n, u := range c.edge.balancer.Uses() {
		region, far := c.elsewhere(n, now)
		c.edge.options.Log("shares", "upstream", n, "near", m[n].Near, "far", m[n].Far, "zone_use", u.Share(), "zone_misses", u.Misses(),
			"region_use", region.Share(), "far_use", far.Share(), "far_misses", far.Misses())
	}
}

// elsewhere returns the uses of an upstream's slots in the other zones of the
// region, and in the other regions.
func (c *control) elsewhere(upstream string, now time.Time) (region, far balance.Use) {
	for z, s := range c.zones {
		if now.Sub(s.at) > zoneAge {
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
