package quota

import (
	"cmp"
	"slices"

	"heatherford/core/intent"
)

// Divide returns the limits of every endpoint of d, by name. The slots of a
// region's endpoints sum to at most the region's cap, and the parts of a link or
// a shift to at most its cap. Leaving endpoints get nothing.
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
		divideCap(m, Link(l.From, l.To), l.Cap, all)
	}
	for _, s := range d.Shifts {
		for _, u := range d.Upstreams {
			if u.Name == s.Upstream {
				divideCap(m, Shift(s.Name), s.Cap, inRegion(d, u, s.To))
			}
		}
	}
	return m
}

// Caps returns the caps of d on links and shifts, by name.
func Caps(d *intent.Declaration) map[Name]int {
	m := map[Name]int{}
	for _, l := range d.Links {
		m[Link(l.From, l.To)] = l.Cap
	}
	for _, s := range d.Shifts {
		m[Shift(s.Name)] = s.Cap
	}
	return m
}

// divideRegion divides the cap over the region's upstreams and each part over
// the upstream's endpoints, so that a small cap leaves no upstream without any.
func divideRegion(m map[string]Limits, d *intent.Declaration, r intent.Region) {
	sums := make([]int, len(d.Upstreams))
	for i, u := range d.Upstreams {
		for _, e := range inRegion(d, u, r.Name) {
			sums[i] += e.Slots
		}
	}
	for i, n := range share(r.Cap, sums) {
		s := inRegion(d, d.Upstreams[i], r.Name)
		slots := make([]int, len(s))
		for j, e := range s {
			slots[j] = e.Slots
		}
		for j, k := range share(n, slots) {
			m[s[j].Name] = Limits{
				Slots: k,
			}
		}
	}
}

// divideCap adds the parts of a cap to the endpoints' limits.
func divideCap(m map[string]Limits, n Name, total int, endpoints []intent.Endpoint) {
	slots := make([]int, len(endpoints))
	for i, e := range endpoints {
		slots[i] = m[e.Name].Slots
	}
	for i, k := range share(total, slots) {
		l := m[endpoints[i].Name]
		l.Parts = append(slices.Clone(l.Parts), Part{
			Name:  n,
			Limit: k,
		})
		slices.SortFunc(l.Parts, func(a, b Part) int {
			return cmp.Compare(a.Name, b.Name)
		})
		m[endpoints[i].Name] = l
	}
}

// inRegion returns u's endpoints in the region, without those that leave.
func inRegion(d *intent.Declaration, u intent.Upstream, region string) []intent.Endpoint {
	s := []intent.Endpoint{}
	for _, e := range u.Endpoints {
		if !e.Leaving && d.RegionOf(e.Zone) == region {
			s = append(s, e)
		}
	}
	return s
}

// share divides total into whole parts, none above its weight: one for each
// weight above zero while total lasts, the rest in proportion to the weights.
// The parts sum to total, or to all weights if those are less.
func share(total int, weights []int) []int {
	parts := make([]int, len(weights))
	rest := slices.Clone(weights)
	for _, i := range heaviest(weights) {
		if total > 0 && weights[i] > 0 {
			parts[i]++
			rest[i]--
			total--
		}
	}
	for i, n := range proportion(total, rest) {
		parts[i] += n
	}
	return parts
}

// proportion divides total in proportion to the weights. What rounding leaves
// over goes to the parts that lost most by it.
func proportion(total int, weights []int) []int {
	sum := 0
	for _, w := range weights {
		sum += w
	}
	if total >= sum {
		return weights
	}
	parts := make([]int, len(weights))
	lost := make([]int, len(weights))
	left := total
	for i, w := range weights {
		parts[i] = total * w / sum
		lost[i] = total * w % sum
		left -= parts[i]
	}
	for _, i := range heaviest(lost)[:left] {
		parts[i]++
	}
	return parts
}

// heaviest returns the indexes of the weights, the greatest first.
func heaviest(weights []int) []int {
	s := make([]int, len(weights))
	for i := range s {
		s[i] = i
	}
	slices.SortStableFunc(s, func(a, b int) int {
		return cmp.Compare(weights[b], weights[a])
	})
	return s
}
