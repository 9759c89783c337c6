package intent

import (
	"fmt"
	"math"
	"slices"
)

// Load is the current load of the endpoints.
type Load struct {
	// Endpoints is the mean number of requests in flight at each endpoint.
	Endpoints map[string]float64
	// Leaving holds endpoints that take no work, whatever the declaration says.
	Leaving map[string]bool
	// MissingHosts lists the hosts whose share of the load is not known.
	MissingHosts []string
}

// Headroom compares the load of a region with what the region can take.
type Headroom struct {
	Region string `json:"region"`
	// Cap is the region's cap. Slots is the sum of the slots of its endpoints
	// that take work.
	Cap   int `json:"cap"`
	Slots int `json:"slots"`
	// Load is the mean number of requests in flight before the change, After the
	// expected number after it.
	Load  int `json:"load"`
	After int `json:"after"`
}

// limit returns the most requests in flight that the region can take.
func (h Headroom) limit() int {
	return min(h.Cap, h.Slots)
}

// Spare returns how many more requests in flight the region could take after the
// change. It is negative if the region is over its limit.
func (h Headroom) Spare() int {
	return h.limit() - h.After
}

// Assessment is the expected effect of a change of the declaration on the load.
type Assessment struct {
	Headroom []Headroom `json:"headroom"`
	// Moves describe the work that goes to other regions.
	Moves []string `json:"moves,omitempty"`
	// Warnings describe what the operator should check.
	Warnings []string `json:"warnings,omitempty"`
	// Overloads are the reasons why the change must not be made.
	Overloads []string `json:"overloads,omitempty"`
}

// Assess returns the expected effect of a change from old to next under the load.
// A nil old stands for an empty declaration.
func Assess(old, next *Declaration, load Load) Assessment {
	if old == nil {
		old = &Declaration{}
	}
	a := &assessor{
		old:         old,
		next:        next,
		oldTotals:   sumTotals(old, load),
		newTotals:   sumTotals(next, load),
		regionIndex: map[string]int{},
	}
	a.addRegions()
	for _, u := range next.Upstreams {
		a.spillOver(u.Name)
	}
	for _, s := range next.Shifts {
		a.addShift(s)
	}
	a.checkRegions()
	a.checkShiftCaps()
	a.checkDrains()
	for _, h := range load.MissingHosts {
		a.warn("host %s sent no report: the load may be greater than shown", h)
	}
	return a.result
}

// totals are the load of all endpoints and the slots of those that take work, by
// upstream and region.
type totals struct {
	load  map[string]map[string]int
	slots map[string]map[string]int
}

func sumTotals(d *Declaration, load Load) totals {
	t := totals{
		load:  map[string]map[string]int{},
		slots: map[string]map[string]int{},
	}
	for _, u := range d.Upstreams {
		t.load[u.Name] = map[string]int{}
		t.slots[u.Name] = map[string]int{}
		sums := map[string]float64{}
		for _, e := range u.Endpoints {
			r := d.RegionOf(e.Zone)
			sums[r] += load.Endpoints[e.Name]
			if !e.Leaving && !load.Leaving[e.Name] {
				t.slots[u.Name][r] += e.Slots
			}
		}
		for r, n := range sums {
			t.load[u.Name][r] = int(math.Ceil(n))
		}
	}
	return t
}

type assessor struct {
	old, next *Declaration
	// oldTotals has the load at the old endpoints, newTotals the slots of the new
	// ones.
	oldTotals, newTotals totals
	// regionIndex maps regions to positions in the result's Headroom.
	regionIndex map[string]int
	result      Assessment
}

func (a *assessor) warn(format string, args ...any) {
	a.result.Warnings = append(a.result.Warnings, fmt.Sprintf(format, args...))
}

func (a *assessor) overload(format string, args ...any) {
	a.result.Overloads = append(a.result.Overloads, fmt.Sprintf(format, args...))
}

func (a *assessor) move(format string, args ...any) {
	a.result.Moves = append(a.result.Moves, fmt.Sprintf(format, args...))
}

func (a *assessor) addRegions() {
	for i, r := range a.next.Regions {
		h := Headroom{
			Region: r.Name,
			Cap:    r.Cap,
		}
		for u := range a.newTotals.slots {
			h.Slots += a.newTotals.slots[u][r.Name]
		}
		for u := range a.oldTotals.load {
			h.Load += a.oldTotals.load[u][r.Name]
		}
		h.After = h.Load
		a.regionIndex[r.Name] = i
		a.result.Headroom = append(a.result.Headroom, h)
	}
}

func (a *assessor) headroom(name string) *Headroom {
	return &a.result.Headroom[a.regionIndex[name]]
}

// spillOver moves the upstream's load that exceeds its slots in a region to the
// regions with the most spare capacity.
func (a *assessor) spillOver(upstream string) {
	load := a.oldTotals.load[upstream]
	slots := a.newTotals.slots[upstream]
	placed := map[string]int{}
	unplaced := map[string]int{}
	for _, r := range a.next.Regions {
		placed[r.Name] = min(load[r.Name], slots[r.Name])
		unplaced[r.Name] = load[r.Name] - placed[r.Name]
		a.headroom(r.Name).After -= unplaced[r.Name]
	}
	for _, r := range a.next.Regions {
		excess := unplaced[r.Name]
		for excess > 0 {
			to, spare := a.mostSpare(slots, placed)
			if spare <= 0 {
				a.overload("upstream %s: %d requests in flight on average in region %s, %d of them would find no slot anywhere", upstream, load[r.Name], r.Name, excess)
				break
			}
			n := min(spare, excess)
			placed[to] += n
			a.headroom(to).After += n
			excess -= n
			a.move("about %d requests in flight of %s move from %s to %s", n, upstream, r.Name, to)
		}
	}
}

// mostSpare returns the region with the most spare capacity for an upstream, and
// that capacity. slots are the upstream's slots by region, placed those already
// in use.
func (a *assessor) mostSpare(slots, placed map[string]int) (string, int) {
	best := ""
	most := math.MinInt
	for _, r := range a.next.Regions {
		n := min(slots[r.Name]-placed[r.Name], a.headroom(r.Name).Spare())
		if n > most {
			best, most = r.Name, n
		}
	}
	return best, most
}

// addShift adds the work that the shift moves beyond what its old version already
// moves.
func (a *assessor) addShift(s Shift) {
	i := slices.IndexFunc(a.old.Shifts, func(o Shift) bool {
		return o.Name == s.Name && o.Upstream == s.Upstream && o.From == s.From && o.To == s.To
	})
	o := Shift{}
	if i >= 0 {
		o = a.old.Shifts[i]
	}
	load := a.oldTotals.load[s.Upstream][s.From]
	moved := 0
	if o.Share > 0 && o.Share < 1 {
		moved = min(o.Cap, int(math.Ceil(float64(load)*o.Share/(1-o.Share))))
	}
	n := min(s.Cap, int(math.Ceil(float64(load+moved)*s.Share))) - moved
	if n == 0 {
		return
	}
	a.headroom(s.From).After -= n
	a.headroom(s.To).After += n
	if n > 0 {
		a.move("about %d requests in flight of %s move from %s to %s by shift %s", n, s.Upstream, s.From, s.To, s.Name)
	} else {
		a.move("about %d requests in flight of %s move back from %s to %s by shift %s", -n, s.Upstream, s.To, s.From, s.Name)
	}
}

// checkRegions reports an overload if the change brings a region over its limit,
// and warns of a cap below the expected load.
func (a *assessor) checkRegions() {
	for _, h := range a.result.Headroom {
		if h.After > h.Load && h.After > h.limit() {
			a.overload("region %s would have %d requests in flight, its limit is %d", h.Region, h.After, h.limit())
		}
		if h.Cap < h.After {
			a.warn("cap %d of region %s is below its load of %d: the excess goes elsewhere or is refused", h.Cap, h.Region, h.After)
		}
	}
}

// checkShiftCaps reports an overload for shifts whose caps allow more work in a
// region than its endpoints or its cap can take, whatever the current load.
func (a *assessor) checkShiftCaps() {
	sums := map[string]int{}
	for _, s := range a.next.Shifts {
		if s.Share == 0 {
			continue
		}
		sums[s.To] += s.Cap
		if n := a.newTotals.slots[s.Upstream][s.To]; s.Cap > n {
			a.overload("shift %s may cause %d requests in flight in region %s, where %s has %d slots", s.Name, s.Cap, s.To, s.Upstream, n)
		}
	}
	for _, h := range a.result.Headroom {
		if n := sums[h.Region]; n > h.limit() {
			a.overload("shifts may cause %d requests in flight in region %s, its limit is %d", n, h.Region, h.limit())
		}
	}
}

// checkDrains warns of drains that end and of upstreams without endpoints that
// take work.
func (a *assessor) checkDrains() {
	for _, u := range a.old.Upstreams {
		for _, e := range u.Endpoints {
			if n, ok := a.next.Endpoint(e.Name); ok && e.Leaving && !n.Leaving {
				a.warn("endpoint %s was leaving and takes work again", e.Name)
			}
		}
	}
	for _, h := range a.old.LeavingHosts {
		if !slices.Contains(a.next.LeavingHosts, h) {
			a.warn("host %s was leaving and takes work again", h)
		}
	}
	for _, k := range a.next.Kinds {
		n := 0
		for _, s := range a.newTotals.slots[k.Upstream] {
			n += s
		}
		if n == 0 {
			a.warn("no endpoint of %s takes work: every request of kind %s will be refused", k.Upstream, k.Name)
		}
	}
}
