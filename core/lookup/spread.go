package lookup

import "heatherford/core/store"

const (
	// easyUse is the share of its slots up to which an owner takes work before
	// farther ones do.
	easyUse = 0.8
	// fullUse is the share up to which it takes what is left after that.
	fullUse = 1.0
	// leastDemand is assumed of zones that ask for nothing, so that their next
	// callers have a route.
	leastDemand = 0.01
)

// nearness orders owners as a caller's zone sees them.
type nearness int

const (
	sameZone nearness = iota
	sameRegion
	elsewhere
	nearnessCount
)

func near(h *store.Host, zone, region string) nearness {
	switch {
	case h.Zone == zone:
		return sameZone
	case h.Region == region:
		return sameRegion
	default:
		return elsewhere
	}
}

// owner is a host that owns endpoints of an upstream.
type owner struct {
	host *store.Host
	load Load
	// known is false if the owner has told nothing: it takes the work of its
	// zone, and nothing is passed on to it.
	known bool
	// near holds for each zone how near the owner is.
	near []nearness
}

// spread divides what the zones ask for over the owners. It looks only at where
// callers are, which routing does not change, so that it settles however late
// loads are.
type spread struct {
	owners []owner
	// left holds for each zone the slots that are asked for and not yet given.
	left []float64
	// taken holds for each owner the slots that were given to zones.
	taken []float64
	// given holds for each zone and owner the slots that the zone was given.
	given [][]float64
}

// newSpread gives each zone slots of the nearest owners up to their easy use,
// then of the next nearest, and so on; then the same up to their full use. What
// nobody has room for stays with the nearest owners.
func newSpread(owners []owner, demand []float64) *spread {
	s := &spread{
		owners: owners,
		left:   make([]float64, len(demand)),
		taken:  make([]float64, len(owners)),
	}
	for z, d := range demand {
		s.left[z] = max(d, leastDemand)
		s.given = append(s.given, make([]float64, len(owners)))
	}
	for _, use := range []float64{easyUse, fullUse} {
		for n := range nearnessCount {
			s.fill(n, use)
		}
	}
	for z := range s.left {
		s.stay(z)
	}
	return s
}

// fill gives slots of the owners at the distance n, as far as they are used
// less than use. An owner that is asked for more than it has left gives every
// zone the same part of what it asks for.
func (s *spread) fill(n nearness, use float64) {
	asked := make([][]float64, len(s.left))
	sums := make([]float64, len(s.owners))
	for z := range s.left {
		asked[z] = s.ask(z, n, use)
		for i, a := range asked[z] {
			sums[i] += a
		}
	}
	for z := range s.left {
		for i, a := range asked[z] {
			if a == 0 {
				continue
			}
			s.give(z, i, a*min(1, s.room(i, use)/sums[i]))
		}
	}
}

// ask divides what is left of a zone over the owners at the distance n, by what
// they bear. It asks none for more than its room.
func (s *spread) ask(z int, n nearness, use float64) []float64 {
	w := make([]float64, len(s.owners))
	total := 0.0
	for i, o := range s.owners {
		if o.near[z] == n && s.room(i, use) > 0 {
			// Room counts too, else the first owner to be full would turn work
			// away that its neighbours have room for.
			w[i] = s.room(i, use) * o.load.bears()
			total += w[i]
		}
	}
	for i := range w {
		if w[i] > 0 {
			w[i] = min(s.room(i, use), s.left[z]*w[i]/total)
		}
	}
	return w
}

func (s *spread) room(i int, use float64) float64 {
	return max(0, use*float64(s.owners[i].load.Slots)-s.taken[i])
}

func (s *spread) give(z, i int, slots float64) {
	s.given[z][i] += slots
	s.taken[i] += slots
	s.left[z] = max(0, s.left[z]-slots)
}

// stay gives what is left of a zone to its nearest owners.
func (s *spread) stay(z int) {
	nearest := nearnessCount
	for _, o := range s.owners {
		if o.load.Slots > 0 {
			nearest = min(nearest, o.near[z])
		}
	}
	total := 0.0
	for _, o := range s.owners {
		if o.near[z] == nearest {
			total += o.load.bears()
		}
	}
	if total == 0 {
		return
	}
	left := s.left[z]
	for i, o := range s.owners {
		if o.near[z] == nearest {
			s.give(z, i, left*o.load.bears()/total)
		}
	}
}
