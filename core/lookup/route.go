package lookup

import (
	"slices"

	"heatherford/core/store"
)

// draw is a set of hosts with weights.
type draw struct {
	hosts []*store.Host
	// sums holds the running totals of the hosts' weights.
	sums []uint32
	// backups holds all owners, the nearest first, whatever their load. The
	// first regional ones are in the callers' region.
	backups  []*store.Host
	regional int
	// moves are parts of the look-ups that other routes answer. They sum to at
	// most all.
	moves []moved
}

// unit is the weight of one slot.
const unit = 1 << 12

func (d *draw) add(h *store.Host, slots float64) {
	w := uint32(slots * unit)
	if w == 0 {
		return
	}
	if n := len(d.sums); n > 0 {
		w += d.sums[n-1]
	}
	d.hosts = append(d.hosts, h)
	d.sums = append(d.sums, w)
}

// pick returns the host that the random number falls to, or nil if there is
// none.
func (d *draw) pick(random uint32) *store.Host {
	if len(d.sums) == 0 {
		return nil
	}
	n := scale(random, d.sums[len(d.sums)-1])
	i, found := slices.BinarySearch(d.sums, n)
	if found {
		i++
	}
	return d.hosts[i]
}

// scale maps a random number to one below n.
func scale(random, n uint32) uint32 {
	const bits = 32
	return uint32(uint64(random) * uint64(n) >> bits)
}

// others fills in hosts other than h: one of the route's region, then hosts of
// other regions, since a whole region may be lost. The random number says which
// is the first, so that the callers of a host that has failed do not all turn to
// the same one.
func (d *draw) others(random uint32, h *store.Host, fill []*store.Host) {
	near, far := d.backups[:d.regional], d.backups[d.regional:]
	regional := 1
	if len(far) == 0 {
		regional = len(fill)
	}
	n := take(near, random, h, fill[:regional])
	take(far, random, h, fill[n:])
}

// take fills in hosts other than h, from a random one on, and returns how many
// there were.
func take(hosts []*store.Host, random uint32, h *store.Host, fill []*store.Host) int {
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

// newRoute returns the route of a zone's callers.
func newRoute(s *spread, z int) draw {
	d := draw{}
	for i, o := range s.owners {
		d.add(o.host, s.given[z][i])
	}
	for n := range nearnessCount {
		for _, o := range s.owners {
			if o.near[z] == n {
				d.backups = append(d.backups, o.host)
			}
		}
		if n < elsewhere {
			d.regional = len(d.backups)
		}
	}
	return d
}

// newSpare weighs the owners that a request may be passed on to from the zone
// when its own host has no free slot: by free slots and nearness.
func newSpare(owners []owner, self string, zone int32) draw {
	// Farther owners have to have more free slots.
	discount := [nearnessCount]float64{1, 0.7, 0.25}
	d := draw{}
	for _, o := range owners {
		free := 1 - o.load.Total()
		if o.host.Name == self || !o.known || free <= 0 {
			continue
		}
		d.add(o.host, free*float64(o.load.Slots)*discount[o.near[zone]])
	}
	return d
}
