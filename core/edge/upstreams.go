package edge

import (
	"time"

	"heatherford/core/balance"
)

// Upstream is what a host knows of an upstream.
type Upstream struct {
	balance.Summary
	// RetriesLeft is the number of retries and hedges that the host may send now.
	RetriesLeft int
}

// Upstreams returns what this host knows of each upstream.
func (e *Edge) Upstreams(now time.Time) map[string]Upstream {
	m := map[string]Upstream{}
	hosts := e.View().BudgetHosts
	for n, s := range e.balancer.Summaries(now) {
		m[n] = Upstream{
			Summary:     s,
			RetriesLeft: e.retryBudget(n).Remaining(now, hosts),
		}
	}
	return m
}
