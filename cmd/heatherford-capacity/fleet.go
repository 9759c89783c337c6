package main

import (
	"fmt"
	"net/netip"
	"time"

	"heatherford/core/intent"
	"heatherford/core/store"
	"heatherford/core/strict"
)

const (
	slots       = 6
	connections = 700
)

// newDeclaration returns a declaration for the plan's regions and zones.
func newDeclaration(blocks, sites, endpoints int) *intent.Declaration {
	d := &intent.Declaration{
		Format: intent.Format,
		Name:   "plan",
		Ranks: []intent.Rank{
			{
				Name:    "urgent",
				Planned: 0.5,
				Floor:   0.25,
			},
			{
				Name:    "standard",
				Planned: 0.4,
				Floor:   0.25,
			},
			{
				Name:    "batch",
				Planned: 0.2,
				Floor:   0.1,
			},
		},
	}
	for r := range planRegion {
		d.Regions = append(d.Regions, intent.Region{
			Name: fmt.Sprintf("region-%d", r),
			Cap:  endpoints * slots,
		})
	}
	for z := range planZones {
		r := &d.Regions[z%planRegion]
		r.Zones = append(r.Zones, zoneName(z))
	}
	addUpstreams(d, endpoints)
	for i := range sites {
		d.Sites = append(d.Sites, intent.Site{
			Name: fmt.Sprintf("site-%d", i),
			Zone: zoneName(i % planZones),
		})
	}
	for i := range blocks {
		d.Blocks = append(d.Blocks, intent.Block{
			Prefix: blockPrefix(i),
			Site:   fmt.Sprintf("site-%d", i%sites),
		})
	}
	return d
}

// upstreamNames are three services; each has one kind of work for every rank.
var upstreamNames = []string{"desk", "ledger", "till"}

func addUpstreams(d *intent.Declaration, endpoints int) {
	for _, n := range upstreamNames {
		d.Upstreams = append(d.Upstreams, intent.Upstream{
			Name: n,
		})
		for _, r := range d.Ranks {
			d.Kinds = append(d.Kinds, intent.Kind{
				Name:       n + "-" + r.Name,
				Rank:       r.Name,
				Upstream:   n,
				Repeatable: true,
				Deadline:   strict.Duration(time.Second),
				Weight:     1,
			})
		}
	}
	for i := range endpoints {
		u := &d.Upstreams[i%len(d.Upstreams)]
		u.Endpoints = append(u.Endpoints, intent.Endpoint{
			Name:        fmt.Sprintf("%s-%d", u.Name, i),
			Address:     address(i),
			Zone:        zoneName(i % planZones),
			Slots:       slots,
			Connections: connections,
		})
	}
}

func zoneName(i int) string {
	return fmt.Sprintf("zone-%d", i)
}

func address(i int) netip.AddrPort {
	const octet = 1 << 8
	a := netip.AddrFrom4([4]byte{10, byte(i / octet / octet), byte(i / octet), byte(i)})
	return netip.AddrPortFrom(a, 7000)
}

// blockPrefix returns the i-th block of 256 addresses from 20.0.0.0 on.
func blockPrefix(i int) netip.Prefix {
	const first, octet, bits = 20 << 16, 1 << 8, 24
	n := first + i
	a := netip.AddrFrom4([4]byte{byte(n / octet / octet), byte(n / octet), byte(n), 0})
	return netip.PrefixFrom(a, bits)
}

func newHosts(n int) []store.Host {
	s := make([]store.Host, 0, n)
	for i := range n {
		s = append(s, store.Host{
			Name:          hostName(i),
			Zone:          zoneName(i % planZones),
			Region:        fmt.Sprintf("region-%d", i%planZones%planRegion),
			State:         store.HostLive,
			CallerAddress: address(i),
			PeerAddress:   address(i),
		})
	}
	return s
}

func hostName(i int) string {
	return fmt.Sprintf("host-%04d", i)
}
