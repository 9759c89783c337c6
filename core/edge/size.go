package edge

import (
	"sync"

	"heatherford/core/route"
)

const (
	// regionWideBytes is the size of a request and its answer up to which it may go
	// to another availability zone at any time. Traffic between zones costs by its
	// bytes; an object that one endpoint of the region serves is ready sooner there
	// than at one endpoint of each zone.
	regionWideBytes = 3000.0
	// regionWideHysteresis is the part by which the mean size has to pass the bound
	// before a route changes its placement.
	regionWideHysteresis = 0.2
	// sizeWeight is the weight of the newest size in the weighted moving average.
	sizeWeight = 0.05
	// minSizes is the number of sizes from which on the average is used.
	minSizes = 4
)

// sizes tracks how many bytes the requests of each route move. It is safe for
// concurrent use.
type sizes struct {
	mu     sync.Mutex
	routes map[string]*size
}

// size is the weighted moving average of one route.
type size struct {
	mean       float64
	count      int
	regionWide bool
}

// observe adds the size of a request and its answer.
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
	case x.count < minSizes:
	case x.mean < regionWideBytes*(1-regionWideHysteresis):
		x.regionWide = true
	case x.mean > regionWideBytes*(1+regionWideHysteresis):
		x.regionWide = false
	}
}

// regionWide reports whether requests of a route are placed over the whole region:
// the most urgent ones, and those that move few bytes.
func (s *sizes) regionWide(r *route.Route) bool {
	if r.Rank == 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.routes[r.Name]
	return x != nil && x.regionWide
}
