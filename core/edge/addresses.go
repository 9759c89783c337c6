package edge

import (
	"net/netip"

	"heatherford/core/fleet"
	"heatherford/core/registry"
)

// hostAddresses returns the addresses at which this host listens, and at which the other live
// ones do as far as it knows them.
func (c *control) hostAddresses() map[netip.AddrPort]bool {
	m := map[netip.AddrPort]bool{}
	add := func(h fleet.Member, s ...netip.AddrPort) {
		for _, a := range s {
			if a.Addr().IsUnspecified() {
				// The host listens at all of its addresses.
				a = netip.AddrPortFrom(h.PeerAddr.Addr(), a.Port())
			}
			m[unmapped(a)] = true
		}
	}
	self := c.fleet.Self()
	add(self, self.CallerAddr, self.PeerAddr)
	add(self, c.edge.options.Listeners...)
	for _, h := range c.live {
		add(h, h.CallerAddr, h.PeerAddr)
	}
	// Hosts without an address.
	delete(m, netip.AddrPort{})
	return m
}

func unmapped(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// exceptHosts leaves out the endpoints whose address is that of a host: another writer has
// listed them, and a request would come back.
func (c *control) exceptHosts(s []registry.Endpoint) []registry.Endpoint {
	hosts := c.hostAddresses()
	before := c.atHosts
	c.atHosts = map[string]bool{}
	left := s[:0]
	for _, e := range s {
		if !hosts[unmapped(e.Address)] {
			left = append(left, e)
			continue
		}
		c.atHosts[e.ID] = true
		if !before[e.ID] {
			c.edge.options.Log("endpoint", "endpoint", e.ID, "upstream", e.Upstream, "zone", e.Zone, "state", "at a host",
				"address", e.Address)
		}
	}
	return left
}
