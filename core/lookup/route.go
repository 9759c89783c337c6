package lookup

import (
	"slices"

	"heatherford/core/store"
)

// route is a weighted set of hosts, of which look-ups of a zone's callers draw
// one at random.
type route struct {
	hosts []*store.Host
	// cumulative holds, for each host, the sum of the weights up to and including
	// its own.
	cumulative []uint32
	// fallbacks holds all owners, the nearest first, regardless of their load.
	fallbacks []*store.Host
	// regional is the number of fallbacks in the callers' region, which come
	// first.
	regional int
	// shifts are the shares of the look-ups that other routes answer. The shares
	// sum to at most 1.
	shifts []shiftRoute
}

// slotWeight is the integer weight of one slot. Smaller weights than 1 are
// dropped.
const slotWeight = 1 << 12

func (d *route) add(h *store.Host, slots float64) {
	w := uint32(slots * slotWeight)
	if w == 0 {
		return
	}
	if n := len(d.cumulative); n > 0 {
		w += d.cumulative[n-1]
	}
	d.hosts = append(d.hosts, h)
	d.cumulative = append(d.cumulative, w)
}

// pick returns the host that the random number selects by weight, or nil if the
// route has no hosts.
func (d *route) pick(random uint32) *store.Host {
	if len(d.cumulative) == 0 {
		return nil
	}
	n := scale(random, d.cumulative[len(d.cumulative)-1])
	i, found := slices.BinarySearch(d.cumulative, n)
	if found {
		i++
	}
	return d.hosts[i]
}

// scale maps a random number to the range from 0 to n-1.
func scale(random, n uint32) uint32 {
	const bits = 32
	return uint32(uint64(random) * uint64(n) >> bits)
}

// alternates fills in fallbacks other than h: first one in the callers' region,
// then hosts in other regions, since a whole region may fail. If there are no
// other regions, all are of the callers' region. The random number selects where
// to begin, so that the callers of a failed host do not all switch to the same
// host. Places without a host stay nil.
func (d *route) alternates(random uint32, h *store.Host, fill []*store.Host) {
	near, far := d.fallbacks[:d.regional], d.fallbacks[d.regional:]
	regional := 1
	if len(far) == 0 {
		regional = len(fill)
	}
	n := fillHosts(near, random, h, fill[:regional])
	fillHosts(far, random, h, fill[n:])
}

// fillHosts fills in hosts other than h in order, from a randomly selected one on,
// and returns how many it filled in.
func fillHosts(hosts []*store.Host, random uint32, h *store.Host, fill []*store.Host) int {
	n := 0
	i := int(scale(random, uint32(len(hosts))))
	for range hosts {
		if n == len(fill) {
			break
		}
		if hosts[i] != h {
			fill[n] = hosts[i]
			n++
		}
		i++
		if i == len(hosts) {
			i = 0
		}
	}
	return n
}

// newRoute returns the route for the callers of the zone z.
func newRoute(s *allocation, z int) route {
	d := route{}
	for i, o := range s.owners {
		d.add(o.host, s.zoneSlots[z][i])
	}
	for n := range distanceCount {
		for _, o := range s.owners {
			if o.distanceTo[z] == n {
				d.fallbacks = append(d.fallbacks, o.host)
			}
		}
		if n < otherRegion {
			d.regional = len(d.fallbacks)
		}
	}
	return d
}

// freeOwners returns the owners to which the host self, in the zone, may forward a
// request when it has no free slot itself. They are weighted by their free slots
// and their distance.
func freeOwners(owners []owner, self string, zone int32) route {
	// Farther owners need more free slots for the same weight.
	discount := [distanceCount]float64{1, 0.7, 0.25}
	d := route{}
	for _, o := range owners {
		free := 1 - o.load.Utilization()
		if o.host.Name == self || !o.known || free <= 0 {
			continue
		}
		d.add(o.host, free*float64(o.load.Slots)*discount[o.distanceTo[zone]])
	}
	return d
}
