package admission

import (
	"math"
	"time"

	"heatherford/core/lookup"
)

// originWindow is the time constant over which the origins of requests are
// averaged.
const originWindow = 3 * time.Second

// Load returns what the gate tells other hosts of itself, with the origins of
// requests in the given number of zones.
func (g *Gate) Load(zones int) lookup.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	own, now := g.begin()
	decay := math.Exp(-float64(now.Sub(g.told)) / float64(originWindow))
	g.told = now
	l := lookup.Load{
		Slots:   g.slots(own, now),
		Service: g.ranks.meanService(),
		Use:     make([]float64, len(g.ranks)),
		Origins: make([][]float64, len(g.ranks)),
	}
	for i := range g.ranks {
		r := &g.ranks[i]
		// A refused request would have held a slot for the service time.
		l.Use[i] = r.use + r.queued + r.refused*g.ranks.serviceOf(i).Seconds()
		if zones > 0 {
			r.origins = append(r.origins, make([]float64, max(0, zones-len(r.origins)))...)[:zones]
		}
		l.Origins[i] = r.originShares(decay)
	}
	return l
}

// InFlight adds the requests in flight at each endpoint to counts.
func (g *Gate) InFlight(counts map[string]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.seats {
		counts[s.name] += s.used(g.changed)
	}
}
