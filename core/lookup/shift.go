package lookup

import (
	"math"
	"math/rand/v2"
	"net/netip"

	"heatherford/core/store"
)

// Shift is a shift of work: it sends a share of one upstream's look-ups by callers
// in one region to the owners in another.
type Shift struct {
	Upstream string
	// From and To are the names of the regions.
	From string
	To   string
	// Share is the part of the look-ups that is shifted, between 0 and 1.
	Share float64
}

// shiftRoute is the share of a route's look-ups that name the owners in another
// region.
type shiftRoute struct {
	// portion is the share in units of 1/math.MaxUint32.
	portion uint32
	// to is the route that answers them.
	to *route
}

// applyShifts adds the shifts of the upstream to the routes of the zones in the
// regions that they come from. A shift to a region without owners has no effect.
func (b *builder) applyShifts(upstream string, owners []owner, routes []route) {
	for _, s := range b.options.Shifts {
		if s.Upstream != upstream || s.Share <= 0 {
			continue
		}
		target := route{}
		for _, o := range owners {
			if o.host.Region == s.To {
				target.add(o.host, o.load.capacity())
				target.fallbacks = append(target.fallbacks, o.host)
			}
		}
		if len(target.hosts) == 0 {
			continue
		}
		target.regional = len(target.fallbacks)
		for z, n := range b.options.Blocks.names {
			if b.options.Declaration.RegionOf(n) == s.From {
				routes[z].shifts = append(routes[z].shifts, shiftRoute{
					portion: uint32(min(s.Share, 1) * math.MaxUint32),
					to:      &target,
				})
			}
		}
	}
}

// RegionalOwner returns an owner in the caller's region, drawn with equal
// probability whatever its load, or nil if the region has none or the kind does
// not exist.
func (t *Table) RegionalOwner(kind string, caller netip.Addr) *store.Host {
	k, ok := t.kinds[kind]
	if !ok {
		return nil
	}
	r := &k.routes[t.blocks.zoneOf(caller, t.home)]
	if r.regional == 0 {
		return nil
	}
	return r.fallbacks[rand.IntN(r.regional)]
}

// choose draws the route that answers one look-up: the route of a shift with the
// probability of its share, else d.
func (d *route) choose() *route {
	if len(d.shifts) == 0 {
		return d
	}
	x := rand.Uint32()
	for _, m := range d.shifts {
		if x < m.portion {
			return m.to
		}
		x -= m.portion
	}
	return d
}
