package admission

import (
	"math"
	"time"

	"heatherford/core/lookup"
)

// originWindow is the time constant of the decayed counts of the requests' origins.
const originWindow = 3 * time.Second

// Load returns the load that this host reports to other hosts, with the origins of requests
// in the given number of zones. Each call lets the origins counted before weigh less.
func (g *Controller) Load(zones int) lookup.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	own, now := g.update()
	decay := math.Exp(-float64(now.Sub(g.reportedAt)) / float64(originWindow))
	g.reportedAt = now
	l := lookup.Load{
		Slots:       g.slots(own, now),
		ServiceTime: g.ranks.meanService(),
		Demand:      make([]float64, len(g.ranks)),
		Origins:     make([][]float64, len(g.ranks)),
	}
	for i := range g.ranks {
		r := &g.ranks[i]
		// A refused request would have held a slot for the service time.
		l.Demand[i] = r.use + r.queued + r.refused*g.ranks.serviceOf(i).Seconds()
		if zones > 0 {
			r.origins = append(r.origins, make([]float64, max(0, zones-len(r.origins)))...)[:zones]
		}
		l.Origins[i] = r.originShares(decay)
	}
	return l
}

// InFlight adds the requests in flight at each endpoint to counts, by endpoint name.
func (g *Controller) InFlight(counts map[string]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.endpoints {
		counts[s.name] += s.used(g.updatedAt)
	}
}
