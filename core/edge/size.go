package edge

import (
	"sync"

	"heatherford/core/route"
)

const (
	// wideBytes is the size of a request and its answer up to which it may go to
	// another availability zone as a matter of course. Traffic between zones
	// costs by its bytes; an object that one endpoint of the region serves is
	// ready sooner there than at one endpoint of each zone.
	wideBytes = 3000.0
	// wideBand is the part by which the mean size has to pass the bound for a
	// route to change its placement.
	wideBand = 0.2
	// sizeWeight is the weight of the newest size in the mean.
	sizeWeight = 0.05
	// sizeLeast is the number of sizes from which on the mean is used.
	sizeLeast = 4
)

// sizes follows how many bytes the requests of each route move. It is safe for
// concurrent use.
type sizes struct {
	mu     sync.Mutex
	routes map[string]*size
}

type size struct {
	mean  float64
	count int
	wide  bool
}

// observe takes in the size of a request and its answer.
func (s *sizes) observe(r *route.Route, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes == nil {
		s.routes = map[string]*size{}
	}
	x := s.routes[r.Name]
	if x == nil {
		x = &size{
			mean: float64(bytes),
		}
		s.routes[r.Name] = x
	}
	x.count++
	x.mean += max(sizeWeight, 1/float64(x.count)) * (float64(bytes) - x.mean)
	switch {
	case x.count < sizeLeast:
	case x.mean < wideBytes*(1-wideBand):
		x.wide = true
	case x.mean > wideBytes*(1+wideBand):
		x.wide = false
	}
}

// wide reports whether requests of a route are placed over the region: the most
// urgent ones, and those that move few bytes.
func (s *sizes) wide(r *route.Route) bool {
	if r.Rank == 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.routes[r.Name]
	return x != nil && x.wide
}
