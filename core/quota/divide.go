package quota

import (
	"cmp"
	"slices"

	"heatherford/core/intent"
)

// Divide returns the limits of every endpoint of d, by endpoint name. The slots of a region's
// endpoints sum to at most the region's cap, and the shares of a link's or a traffic shift's
// cap to at most that cap. Leaving endpoints get nothing.
func Divide(d *intent.Declaration) map[string]Limits {
	m := map[string]Limits{}
	for _, r := range d.Regions {
		divideRegion(m, d, r)
	}
	for _, l := range d.Links {
		all := []intent.Endpoint{}
		for _, u := range d.Upstreams {
			all = append(all, inRegion(d, u, l.To)...)
		}
		divideCap(m, LinkCap(l.From, l.To), l.Cap, all)
	}
	for _, s := range d.Shifts {
		for _, u := range d.Upstreams {
			if u.Name == s.Upstream {
				divideCap(m, ShiftCap(s.Name), s.Cap, inRegion(d, u, s.To))
			}
		}
	}
	return m
}

// Caps returns the caps of d on links and traffic shifts, by name.
func Caps(d *intent.Declaration) map[CapName]int {
	m := map[CapName]int{}
	for _, l := range d.Links {
		m[LinkCap(l.From, l.To)] = l.Cap
	}
	for _, s := range d.Shifts {
		m[ShiftCap(s.Name)] = s.Cap
	}
	return m
}

// divideRegion divides a region's cap first over the upstreams, then each result over the
// upstream's endpoints, so that a small cap leaves no upstream without any slot.
func divideRegion(m map[string]Limits, d *intent.Declaration, r intent.Region) {
	sums := make([]int, len(d.Upstreams))
	for i, u := range d.Upstreams {
		for _, e := range inRegion(d, u, r.Name) {
			sums[i] += e.Slots
		}
	}
	for i, n := range apportion(r.Cap, sums) {
		s := inRegion(d, d.Upstreams[i], r.Name)
		slots := make([]int, len(s))
		for j, e := range s {
			slots[j] = e.Slots
		}
		for j, k := range apportion(n, slots) {
			m[s[j].Name] = Limits{
				Slots: k,
			}
		}
	}
}

// divideCap adds the shares of a cap to the endpoints' limits.
func divideCap(m map[string]Limits, n CapName, total int, endpoints []intent.Endpoint) {
	slots := make([]int, len(endpoints))
	for i, e := range endpoints {
		slots[i] = m[e.Name].Slots
	}
	for i, k := range apportion(total, slots) {
		l := m[endpoints[i].Name]
		l.Shares = append(slices.Clone(l.Shares), CapShare{
			Name:  n,
			Limit: k,
		})
		slices.SortFunc(l.Shares, func(a, b CapShare) int {
			return cmp.Compare(a.Name, b.Name)
		})
		m[endpoints[i].Name] = l
	}
}

// inRegion returns the upstream's endpoints in the region that are not leaving.
func inRegion(d *intent.Declaration, u intent.Upstream, region string) []intent.Endpoint {
	s := []intent.Endpoint{}
	for _, e := range u.Endpoints {
		if !e.Leaving && d.RegionOf(e.Zone) == region {
			s = append(s, e)
		}
	}
	return s
}

// apportion divides total into integers, none above its weight: one for each weight above
// zero, the greatest first, while total lasts, and the rest in proportion to the weights. The
// result sums to total, or to the sum of all weights if that is less.
func apportion(total int, weights []int) []int {
	parts := make([]int, len(weights))
	rest := slices.Clone(weights)
	for _, i := range descending(weights) {
		if total > 0 && weights[i] > 0 {
			parts[i]++
			rest[i]--
			total--
		}
	}
	for i, n := range apportionByWeight(total, rest) {
		parts[i] += n
	}
	return parts
}

// apportionByWeight divides total in proportion to the weights. What rounding down leaves
// over goes to the largest remainders.
func apportionByWeight(total int, weights []int) []int {
	sum := 0
	for _, w := range weights {
		sum += w
	}
	if total >= sum {
		return weights
	}
	parts := make([]int, len(weights))
	remainders := make([]int, len(weights))
	left := total
	for i, w := range weights {
		parts[i] = total * w / sum
		remainders[i] = total * w % sum
		left -= parts[i]
	}
	for _, i := range descending(remainders)[:left] {
		parts[i]++
	}
	return parts
}

// descending returns the indexes of the values, the greatest value first.
func descending(weights []int) []int {
	s := make([]int, len(weights))
	for i := range s {
		s[i] = i
	}
	slices.SortStableFunc(s, func(a, b int) int {
		return cmp.Compare(weights[b], weights[a])
	})
	return s
}
