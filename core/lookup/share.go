package lookup

import (
	"math"
	"math/rand/v2"
	"net/netip"

	"heatherford/core/store"
)

// Share moves a part of one upstream's work from the callers of one region to
// the owners in another.
type Share struct {
	Upstream string
	From     string
	To       string
	// Part is between 0 and 1.
	Part float64
}

// moved is the part of a route's look-ups that another region answers.
type moved struct {
	// below is the random number below which a look-up is one of them.
	below uint32
	route *draw
}

// moveRoutes lets the routes of a region's zones name the owners in another
// region for the shares of the upstream. Without owners there, nothing moves.
func (b *builder) moveRoutes(upstream string, owners []owner, routes []draw) {
	for _, s := range b.options.Shares {
		if s.Upstream != upstream || s.Part <= 0 {
			continue
		}
		to := draw{}
		for _, o := range owners {
			if o.host.Region == s.To {
				to.add(o.host, o.load.bears())
				to.backups = append(to.backups, o.host)
			}
		}
		if len(to.hosts) == 0 {
			continue
		}
		to.regional = len(to.backups)
		for z, n := range b.options.Blocks.names {
			if b.options.Declaration.RegionOf(n) == s.From {
				routes[z].moves = append(routes[z].moves, moved{
					below: uint32(min(s.Part, 1) * math.MaxUint32),
					route: &to,
				})
			}
		}
	}
}

// Near returns an owner in the caller's region, drawn evenly, or nil if there is
// none.
func (t *Table) Near(kind string, caller netip.Addr) *store.Host {
	k, ok := t.kinds[kind]
	if !ok {
		return nil
	}
	r := &k.routes[t.blocks.zoneOf(caller, t.home)]
	if r.regional == 0 {
		return nil
	}
	return r.backups[rand.IntN(r.regional)]
}

// next returns the route that answers one look-up: that of a share, as often as
// its part says, or d.
func (d *draw) next() *draw {
	if len(d.moves) == 0 {
		return d
	}
	x := rand.Uint32()
	for _, m := range d.moves {
		if x < m.below {
			return m.route
		}
		x -= m.below
	}
	return d
}
