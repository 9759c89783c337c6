package dispatch

import (
	"heatherford/core/admission"
	"heatherford/core/budget"
	"heatherford/core/intent"
	"heatherford/core/lookup"
	"heatherford/core/quota"
	"heatherford/core/snapshot"
)

// controller returns the admission controller of an upstream of which this host owns endpoints.
func (d *Dispatcher) controller(upstream string) *admission.Controller {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.controllers[upstream]
	if !ok {
		c = admission.New(admission.Options{
			Own: func() []snapshot.Own {
				return d.options.Snapshot().Owned[upstream]
			},
			Ranks: func() []intent.Rank {
				return d.options.Snapshot().Version.Declaration.Ranks
			},
			Now: d.options.Now,
		})
		d.controllers[upstream] = c
	}
	return c
}

// allControllers returns a copy of the map of admission controllers, by upstream.
func (d *Dispatcher) allControllers() map[string]*admission.Controller {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := make(map[string]*admission.Controller, len(d.controllers))
	for u, c := range d.controllers {
		m[u] = c
	}
	return m
}

// budget returns the budget for retries and hedges of an upstream's work.
func (d *Dispatcher) budget(upstream string) *budget.Budget {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := d.budgets[upstream]
	if !ok {
		b = budget.New()
		d.budgets[upstream] = b
	}
	return b
}

// Refresh admits queued requests after the endpoints that this host owns, or their
// limits, have changed. It does nothing before the first declaration is known.
func (d *Dispatcher) Refresh() {
	for _, c := range d.allControllers() {
		c.Refresh()
	}
}

// Loads returns the load of the endpoints that this host owns, by upstream.
func (d *Dispatcher) Loads() map[string]lookup.Load {
	m := map[string]lookup.Load{}
	s := d.options.Snapshot()
	if s.Table == nil {
		return m
	}
	for u := range s.Owned {
		m[u] = d.controller(u).Load(s.Table.ZoneCount())
	}
	return m
}

// InFlight returns the number of requests in flight at each endpoint that this host
// owns or has owned, by the endpoint's name.
func (d *Dispatcher) InFlight() map[string]int {
	m := map[string]int{}
	for _, c := range d.allControllers() {
		c.InFlight(m)
	}
	return m
}

// CapCounts returns, for each cap of a shift or a link, the number of requests in
// flight that count against it.
func (d *Dispatcher) CapCounts() map[quota.CapName]int {
	m := map[quota.CapName]int{}
	d.ledgers.Range(func(_, l any) bool {
		l.(*quota.Ledger).Counts(m)
		return true
	})
	return m
}
