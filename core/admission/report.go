package admission

import "heatherford/core/lookup"

// Load returns what the gate tells other hosts of itself.
func (g *Gate) Load() lookup.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	own, now := g.begin()
	l := lookup.Load{
		Slots:   g.slots(own, now),
		Service: g.ranks.meanService(),
		Use:     make([]float64, len(g.ranks)),
	}
	for i := range g.ranks {
		r := &g.ranks[i]
		// A refused request would have held a slot for the service time.
		l.Use[i] = r.use + r.queued + r.refused*g.ranks.serviceOf(i).Seconds()
	}
	return l
}

// InFlight adds the requests in flight at each endpoint to counts.
func (g *Gate) InFlight(counts map[string]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.seats {
		counts[s.name] += s.inFlight
	}
}
