package main

import (
	"time"

	"heatherford/core/intent"
	"heatherford/core/strict"
)

// connections is how many connections an endpoint takes.
const connections = 660

// declaration returns what the demo's operator wants: at first no shifts.
func (w *world) declaration() *intent.Declaration {
	d := &intent.Declaration{
		Format: intent.Format,
		Name:   "demo",
		Ranks: []intent.Rank{
			{
				Name:    "urgent",
				Planned: 0.6,
				Floor:   0.3,
			},
		},
		Kinds: []intent.Kind{
			{
				Name:       kindName,
				Rank:       "urgent",
				Upstream:   upstreamName,
				Repeatable: true,
				Deadline:   strict.Duration(time.Second),
				Weight:     1,
			},
		},
		Upstreams: []intent.Upstream{
			{
				Name: upstreamName,
			},
		},
		Shifts: w.shifts,
	}
	for i, r := range regionNames {
		d.Regions = append(d.Regions, intent.Region{
			Name:  r,
			Zones: []string{zoneName(r)},
			Cap:   endpointsPerRegion * endpointSlots,
		})
		d.Sites = append(d.Sites, intent.Site{
			Name: zoneName(r),
			Zone: zoneName(r),
		})
		d.Blocks = append(d.Blocks, intent.Block{
			Prefix: regionPrefix(i),
			Site:   zoneName(r),
		})
	}
	for _, e := range w.endpoints {
		u := &d.Upstreams[0]
		u.Endpoints = append(u.Endpoints, intent.Endpoint{
			Name:        e.name,
			Address:     e.address,
			Zone:        zoneName(e.region),
			Slots:       endpointSlots,
			Connections: connections,
		})
	}
	return d
}
