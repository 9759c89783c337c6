package lookup

import "heatherford/core/store"

const (
	// targetUtilization is the share of its slots up to which an owner is filled
	// before work goes to farther owners.
	targetUtilization = 0.8
	// maxUtilization is the share up to which owners are filled once all owners
	// have reached targetUtilization.
	maxUtilization = 1.0
	// minDemand is the demand, in slots, that is assumed for zones without
	// demand, so that the next callers there have a route.
	minDemand = 0.01
)

// distance is how far an owner is from a caller's zone; less is nearer.
type distance int

const (
	sameZone distance = iota
	sameRegion
	otherRegion
	distanceCount
)

// distanceTo returns the distance of a host to a zone in a region.
func distanceTo(h *store.Host, zone, region string) distance {
	switch {
	case h.Zone == zone:
		return sameZone
	case h.Region == region:
		return sameRegion
	default:
		return otherRegion
	}
}

// owner is a host that owns endpoints of an upstream.
type owner struct {
	host *store.Host
	load Load
	// known is false if the owner has not reported a load. Its load then has all
	// slots free, so that look-ups name it, but no request is forwarded to it.
	known bool
	// distanceTo holds the owner's distance to each zone.
	distanceTo []distance
}

// allocation divides the demand of the zones over the owners. Its only input from
// measurements is the demand by the callers' zone, which routing does not change,
// so that it converges however old the loads are.
type allocation struct {
	owners []owner
	// remaining holds for each zone the demand that is not yet allocated, in
	// slots.
	remaining []float64
	// allocated holds for each owner the slots that are allocated to any zone.
	allocated []float64
	// zoneSlots holds for each zone and owner the slots that the zone was
	// allocated at the owner.
	zoneSlots [][]float64
}

// allocate gives each zone slots of the nearest owners up to targetUtilization,
// then of the next nearest owners, and so on, and then does the same up to
// maxUtilization. Demand beyond that is assigned to the nearest owners.
func allocate(owners []owner, demand []float64) *allocation {
	s := &allocation{
		owners:    owners,
		remaining: make([]float64, len(demand)),
		allocated: make([]float64, len(owners)),
	}
	for z, d := range demand {
		s.remaining[z] = max(d, minDemand)
		s.zoneSlots = append(s.zoneSlots, make([]float64, len(owners)))
	}
	for _, limit := range []float64{targetUtilization, maxUtilization} {
		for n := range distanceCount {
			s.allocateAt(n, limit)
		}
	}
	for z := range s.remaining {
		s.assignRest(z)
	}
	return s
}

// allocateAt allocates slots of the owners at the distance n up to the share limit
// of their slots. An owner with too few free slots gives all zones the same
// fraction of what they request.
func (s *allocation) allocateAt(n distance, limit float64) {
	requested := make([][]float64, len(s.remaining))
	totals := make([]float64, len(s.owners))
	for z := range s.remaining {
		requested[z] = s.request(z, n, limit)
		for i, a := range requested[z] {
			totals[i] += a
		}
	}
	for z := range s.remaining {
		for i, a := range requested[z] {
			if a == 0 {
				continue
			}
			s.assign(z, i, a*min(1, s.free(i, limit)/totals[i]))
		}
	}
}

// request divides the remaining demand of a zone over the owners at the distance
// n. It returns the slots to request of each owner, at most the free ones.
func (s *allocation) request(z int, n distance, limit float64) []float64 {
	slots := make([]float64, len(s.owners))
	total := 0.0
	for i, o := range s.owners {
		if o.distanceTo[z] == n && s.free(i, limit) > 0 {
			// The weight includes the free slots. By capacity alone, the
			// first owner to be full would leave demand unallocated for which
			// others have free slots.
			slots[i] = s.free(i, limit) * o.load.capacity()
			total += slots[i]
		}
	}
	for i := range slots {
		if slots[i] > 0 {
			slots[i] = min(s.free(i, limit), s.remaining[z]*slots[i]/total)
		}
	}
	return slots
}

// free returns the slots of an owner that are free below the share limit.
func (s *allocation) free(i int, limit float64) float64 {
	return max(0, limit*float64(s.owners[i].load.Slots)-s.allocated[i])
}

func (s *allocation) assign(z, i int, slots float64) {
	s.zoneSlots[z][i] += slots
	s.allocated[i] += slots
	s.remaining[z] = max(0, s.remaining[z]-slots)
}

// assignRest assigns the remaining demand of a zone to its nearest owners, in
// proportion to their capacity and regardless of their free slots.
func (s *allocation) assignRest(z int) {
	nearest := distanceCount
	for _, o := range s.owners {
		if o.load.Slots > 0 {
			nearest = min(nearest, o.distanceTo[z])
		}
	}
	total := 0.0
	for _, o := range s.owners {
		if o.distanceTo[z] == nearest {
			total += o.load.capacity()
		}
	}
	if total == 0 {
		return
	}
	remaining := s.remaining[z]
	for i, o := range s.owners {
		if o.distanceTo[z] == nearest {
			s.assign(z, i, remaining*o.load.capacity()/total)
		}
	}
}
