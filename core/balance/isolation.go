package balance

import (
	"time"

	"heatherford/core/code"
)

// isolatedRetryDelay is when a client may come back that no host could send to an
// endpoint: two rounds of the probes by which hosts find that they reach endpoints again.
const isolatedRetryDelay = time.Second

// SetIsolated sets whether this host reaches no endpoint. While it does not, it admits
// nothing, and what it meets counts against no endpoint.
func (b *Balancer) SetIsolated(isolated bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isolated = isolated
	for _, s := range b.endpoints {
		s.discardFailures(now)
		if isolated {
			s.refuseAll(b.isolatedRefusal(now))
		}
	}
}

// DiscardReports drops the failures that a host reported of the endpoints that it owns:
// they show that the host was isolated, and nothing of the endpoints.
func (b *Balancer) DiscardReports(host string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.endpoints {
		if s.owner == host {
			s.discardFailures(now)
		}
	}
}

// discardFailures drops the failures of the connections to the endpoint.
func (s *endpoint) discardFailures(now time.Time) {
	s.consecutiveFailures = 0
	s.suspendedUntil = time.Time{}
	s.failureRate = 0
	s.refusedUntil = time.Time{}
	s.discardedAt = now
}

func (b *Balancer) isolatedRefusal(now time.Time) *Refusal {
	return refuse(code.HostIsolated, b.retryAt(isolatedRetryDelay, now), "host %s reaches no endpoint", b.options.Self)
}

// mayPass reports whether a request may run in the endpoint's region and pass through its
// owner.
func (b *Balancer) mayPass(s *endpoint, a *Request) bool {
	if b.isolated && s.owner == b.options.Self {
		return false
	}
	if a.Allows == nil {
		return true
	}
	return a.Allows(s.region) && (s.owner == b.options.Self || s.ownerRegion == "" || a.Allows(s.ownerRegion))
}

// WaitingSince returns when the oldest request was sent that has no answer yet, or zero.
func (b *Balancer) WaitingSince() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	oldest := time.Time{}
	for _, s := range b.endpoints {
		for p := range s.inFlight {
			if oldest.IsZero() || p.sentAt.Before(oldest) {
				oldest = p.sentAt
			}
		}
	}
	return oldest
}
