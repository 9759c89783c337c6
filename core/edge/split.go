package edge

import (
	"sync"

	"heatherford/core/route"
)

// splitter distributes the requests of each route over its parts. It is safe for
// concurrent use.
type splitter struct {
	mu sync.Mutex
	// deficit holds, for each route and upstream, by how many requests the part is
	// below its weight.
	deficit map[string]map[string]float64
}

// next returns the upstream of the route's next request, such that each part stays
// within one request of its weight.
func (s *splitter) next(r *route.Route) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Upstream
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deficit == nil {
		s.deficit = map[string]map[string]float64{}
	}
	m := s.deficit[r.Name]
	if m == nil {
		m = map[string]float64{}
		s.deficit[r.Name] = m
	}
	total := 0.0
	for _, p := range r.Parts {
		total += p.Weight
	}
	best := ""
	for _, p := range r.Parts {
		m[p.Upstream] += p.Weight / total
		if p.Weight > 0 && (best == "" || m[p.Upstream] > m[best]) {
			best = p.Upstream
		}
	}
	m[best]--
	return best
}
