package lookup

import (
	"math/rand/v2"
	"sort"

	"heatherford/core/store"
)

// owner is a host that owns endpoints of an upstream.
type owner struct {
	host *store.Host
	load Load
}

// draw is a set of hosts with weights.
type draw struct {
	hosts []*store.Host
	// sums holds the running totals of the hosts' weights.
	sums []uint32
	// backups holds all owners, the nearest first, whatever their load. The
	// first regional ones are in the callers' region.
	backups  []*store.Host
	regional int
}

// unit is the weight that stands for all of a zone's work.
const unit = 1 << 20

func (d *draw) add(h *store.Host, weight float64) {
	w := uint32(weight * unit)
	if w == 0 {
		return
	}
	if n := len(d.sums); n > 0 {
		w += d.sums[n-1]
	}
	d.hosts = append(d.hosts, h)
	d.sums = append(d.sums, w)
}

// pick returns a host drawn by weight, or nil if there is none.
func (d *draw) pick() *store.Host {
	if len(d.sums) == 0 {
		return nil
	}
	n := rand.Uint32N(d.sums[len(d.sums)-1])
	i := sort.Search(len(d.sums), func(i int) bool {
		return d.sums[i] > n
	})
	return d.hosts[i]
}

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

// newRoute spreads the work of a zone's callers over the owners. The nearest
// owners take what they have room for, the next nearest of the rest what they
// have room for, and so on; what nobody has room for stays with the nearest.
// Within a tier, work goes by the requests per second that each owner bears.
func newRoute(owners []owner, zone, region string, use func(l Load) float64) draw {
	tiers := [nearnessCount][]owner{}
	for _, o := range owners {
		n := near(o.host, zone, region)
		tiers[n] = append(tiers[n], o)
	}
	d := draw{}
	left := 1.0
	nearest := []owner(nil)
	for i, t := range tiers {
		if len(t) == 0 {
			continue
		}
		for _, o := range t {
			d.backups = append(d.backups, o.host)
		}
		if nearness(i) < elsewhere {
			d.regional += len(t)
		}
		if nearest == nil {
			nearest = t
		}
		left -= spread(&d, t, left, func(o owner) float64 {
			return room(use(o.load))
		})
	}
	spread(&d, nearest, left, func(owner) float64 {
		return 1
	})
	return d
}

// spread gives the owners of a tier a part of the work, in proportion to what
// they bear and their room, and returns how much it gave away.
func spread(d *draw, tier []owner, work float64, room func(o owner) float64) float64 {
	total := 0.0
	for _, o := range tier {
		total += bears(o.load)
	}
	if total == 0 {
		return 0
	}
	given := 0.0
	for _, o := range tier {
		w := work * room(o) * bears(o.load) / total
		d.add(o.host, w)
		given += w
	}
	return given
}

// bears returns the requests per second that an owner bears, in proportion to
// others of the same upstream. An owner of cold endpoints bears less.
func bears(l Load) float64 {
	if l.Service == 0 {
		return float64(l.Slots)
	}
	return float64(l.Slots) / l.Service.Seconds()
}

// newSpare weighs the owners that a request may be passed on to from the zone
// when its own host has no free slot: by free slots and nearness.
func newSpare(owners []owner, self, zone, region string) draw {
	// Farther owners have to have more free slots.
	discount := [nearnessCount]float64{1, 0.7, 0.25}
	d := draw{}
	for _, o := range owners {
		if o.host.Name == self {
			continue
		}
		free := 1 - o.load.total()
		if free <= 0 {
			continue
		}
		const scale = 1.0 / 64
		d.add(o.host, free*float64(o.load.Slots)*scale*discount[near(o.host, zone, region)])
	}
	return d
}
