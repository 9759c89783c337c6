package edge

import (
	"sync"

	"heatherford/core/route"
)

// splits divides the requests of routes over their parts. It is safe for
// concurrent use.
type splits struct {
	mu sync.Mutex
	// owed holds, for each route and upstream, the requests that the part is
	// short of its weight.
	owed map[string]map[string]float64
}

// next returns the upstream of the route's next request, such that every part
// stays within one request of its weight.
func (s *splits) next(r *route.Route) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Upstream
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owed == nil {
		s.owed = map[string]map[string]float64{}
	}
	m := s.owed[r.Name]
	if m == nil {
		m = map[string]float64{}
		s.owed[r.Name] = m
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
