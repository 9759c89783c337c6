package intent

import (
	"fmt"
	"math"
	"slices"
)

// Load is the present load.
type Load struct {
	// Endpoints are the requests in flight at each endpoint, on average.
	Endpoints map[string]float64
	// Leaving are endpoints that take no work, whatever the declaration says.
	Leaving map[string]bool
	// Missing are the hosts whose part of the load is not known.
	Missing []string
}

// Headroom is what a region bears and carries.
type Headroom struct {
	Region string `json:"region"`
	// Cap is the region's cap, Slots the slots of its endpoints that take work.
	Cap   int `json:"cap"`
	Slots int `json:"slots"`
	// Load is the requests in flight of late, After what it would become.
	Load  int `json:"load"`
	After int `json:"after"`
}

// limit is the most requests in flight that the region bears.
func (h Headroom) limit() int {
	return min(h.Cap, h.Slots)
}

// Left returns the requests in flight that the region could take besides.
func (h Headroom) Left() int {
	return h.limit() - h.After
}

// Assessment is what a change of the declaration means for the load.
type Assessment struct {
	Headroom []Headroom `json:"headroom"`
	// Moves say which work goes elsewhere.
	Moves []string `json:"moves,omitempty"`
	// Warnings say what the operator should look at.
	Warnings []string `json:"warnings,omitempty"`
	// Overloads say why the change may not be made.
	Overloads []string `json:"overloads,omitempty"`
}

// Assess returns what a change from old to next means under the load. A nil old
// stands for no declaration.
func Assess(old, next *Declaration, load Load) Assessment {
	if old == nil {
		old = &Declaration{}
	}
	a := &assessor{
		old:    old,
		next:   next,
		before: tally(old, load),
		now:    tally(next, load),
		index:  map[string]int{},
	}
	a.regions()
	for _, u := range next.Upstreams {
		a.spill(u.Name)
	}
	for _, s := range next.Shifts {
		a.shift(s)
	}
	a.checkRegions()
	a.checkShiftCaps()
	a.checkDrains()
	for _, h := range load.Missing {
		a.warn("host %s gives no report: the load may be greater than shown", h)
	}
	return a.result
}

// tallied are the load and the slots of endpoints that take work, by upstream and
// region.
type tallied struct {
	load  map[string]map[string]int
	slots map[string]map[string]int
}

func tally(d *Declaration, load Load) tallied {
	t := tallied{
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
	// before has the load at the old endpoints, now the slots of the new ones.
	before, now tallied
	// index maps regions to positions in the result's headroom.
	index  map[string]int
	result Assessment
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

func (a *assessor) regions() {
	for i, r := range a.next.Regions {
		h := Headroom{
			Region: r.Name,
			Cap:    r.Cap,
		}
		for u := range a.now.slots {
			h.Slots += a.now.slots[u][r.Name]
		}
		for u := range a.before.load {
			h.Load += a.before.load[u][r.Name]
		}
		h.After = h.Load
		a.index[r.Name] = i
		a.result.Headroom = append(a.result.Headroom, h)
	}
}

func (a *assessor) region(name string) *Headroom {
	return &a.result.Headroom[a.index[name]]
}

// spill moves the load that the upstream's remaining slots in a region cannot
// carry to the regions with the most room.
func (a *assessor) spill(upstream string) {
	load := a.before.load[upstream]
	slots := a.now.slots[upstream]
	carried := map[string]int{}
	over := map[string]int{}
	for _, r := range a.next.Regions {
		carried[r.Name] = min(load[r.Name], slots[r.Name])
		over[r.Name] = load[r.Name] - carried[r.Name]
		a.region(r.Name).After -= over[r.Name]
	}
	for _, r := range a.next.Regions {
		excess := over[r.Name]
		for excess > 0 {
			to, room := a.roomiest(slots, carried)
			if room <= 0 {
				a.overload("upstream %s: %d requests in flight of late in region %s, %d of them would find no slot anywhere", upstream, load[r.Name], r.Name, excess)
				break
			}
			n := min(room, excess)
			carried[to] += n
			a.region(to).After += n
			excess -= n
			a.move("about %d requests in flight of %s move from %s to %s", n, upstream, r.Name, to)
		}
	}
}

// roomiest returns the region with the most room for an upstream with the slots,
// of which some carry work.
func (a *assessor) roomiest(slots, carried map[string]int) (string, int) {
	best := ""
	most := math.MinInt
	for _, r := range a.next.Regions {
		n := min(slots[r.Name]-carried[r.Name], a.region(r.Name).Left())
		if n > most {
			best, most = r.Name, n
		}
	}
	return best, most
}

// shift adds what the shift moves besides what its old form moves already.
func (a *assessor) shift(s Shift) {
	i := slices.IndexFunc(a.old.Shifts, func(o Shift) bool {
		return o.Name == s.Name && o.Upstream == s.Upstream && o.From == s.From && o.To == s.To
	})
	o := Shift{}
	if i >= 0 {
		o = a.old.Shifts[i]
	}
	load := a.before.load[s.Upstream][s.From]
	moved := 0
	if o.Share > 0 && o.Share < 1 {
		moved = min(o.Cap, int(math.Ceil(float64(load)*o.Share/(1-o.Share))))
	}
	n := min(s.Cap, int(math.Ceil(float64(load+moved)*s.Share))) - moved
	if n == 0 {
		return
	}
	a.region(s.From).After -= n
	a.region(s.To).After += n
	if n > 0 {
		a.move("about %d requests in flight of %s move from %s to %s by shift %s", n, s.Upstream, s.From, s.To, s.Name)
	} else {
		a.move("about %d requests in flight of %s move back from %s to %s by shift %s", -n, s.Upstream, s.To, s.From, s.Name)
	}
}

// checkRegions refuses to bring a region over its limit and warns of a cap that
// is under the present load.
func (a *assessor) checkRegions() {
	for _, h := range a.result.Headroom {
		if h.After > h.Load && h.After > h.limit() {
			a.overload("region %s would carry %d requests in flight, its limit is %d", h.Region, h.After, h.limit())
		}
		if h.Cap < h.After {
			a.warn("cap %d of region %s is under its load of %d: what is over it goes elsewhere or is refused", h.Cap, h.Region, h.After)
		}
	}
}

// checkShiftCaps refuses shifts that could bring more work to a region than its
// endpoints or its cap bear, whatever the present load.
func (a *assessor) checkShiftCaps() {
	sums := map[string]int{}
	for _, s := range a.next.Shifts {
		if s.Share == 0 {
			continue
		}
		sums[s.To] += s.Cap
		if n := a.now.slots[s.Upstream][s.To]; s.Cap > n {
			a.overload("shift %s may cause %d requests in flight in region %s, where %s has %d slots", s.Name, s.Cap, s.To, s.Upstream, n)
		}
	}
	for _, h := range a.result.Headroom {
		if n := sums[h.Region]; n > h.limit() {
			a.overload("shifts may cause %d requests in flight in region %s, its limit is %d", n, h.Region, h.limit())
		}
	}
}

// checkDrains warns of drains that end and of upstreams without endpoints.
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
		for _, s := range a.now.slots[k.Upstream] {
			n += s
		}
		if n == 0 {
			a.warn("no endpoint of %s takes work: every request of kind %s will be refused", k.Upstream, k.Name)
		}
	}
}
