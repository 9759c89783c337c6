package balance

import (
	"slices"
	"time"

	"heatherford/core/code"
	"heatherford/core/registry"
)

const (
	// leavingMemory is how long it is remembered of an endpoint that is not listed that
	// it leaves. The platform may list it again, such as after its return from a copy.
	leavingMemory = 10 * time.Minute
	// noEndpointRetryDelay is when a client may come back of an upstream that has no
	// endpoint: the platform has to list a new one first.
	noEndpointRetryDelay = time.Second
)

// leavingWord is the word of an incarnation of an endpoint that it leaves. Whatever the
// platform says, that incarnation gets no further requests.
type leavingWord struct {
	startedAt time.Time
	// upstream is that of the listed endpoint, or empty.
	upstream string
	// listed is true while the platform lists the incarnation as usable, and listedAt is
	// when it last did, or when the word was taken in.
	listed   bool
	listedAt time.Time
}

// RecordLeaving records that endpoints leave, by the words of their incarnations, which are
// identified by the times of their starts.
func (b *Balancer) RecordLeaving(m map[string]time.Time, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, t := range m {
		b.recordLeaving(id, t, now)
	}
}

func (b *Balancer) recordLeaving(id string, startedAt, now time.Time) {
	if w := b.leaving[id]; w != nil && !w.startedAt.Before(startedAt) {
		return
	}
	w := &leavingWord{
		startedAt: startedAt,
		listedAt:  now,
	}
	b.leaving[id] = w
	s := b.endpoints[id]
	if s == nil || s.StartedAt.After(startedAt) {
		return
	}
	w.listed = true
	w.upstream = s.Upstream
	delete(b.endpoints, id)
	p := b.pools[s.Upstream]
	p.endpoints[s.level] = slices.DeleteFunc(p.endpoints[s.level], func(x *endpoint) bool {
		return x == s
	})
	s.refuseAll(refuse(code.NoEndpoint, now.Add(minRetryDelay), "endpoint %s leaves", id))
}

// observeLeaving takes in that the answer to a request said that the endpoint leaves. If it
// came from another endpoint, that is the one listed at the address.
func (b *Balancer) observeLeaving(s *endpoint, o Outcome, now time.Time) {
	if o != WrongEndpoint {
		b.recordLeaving(s.ID, s.StartedAt, now)
		return
	}
	newest := (*endpoint)(nil)
	for _, x := range b.endpoints {
		if x.Address == s.Address && x.ID != s.ID && (newest == nil || x.StartedAt.After(newest.StartedAt)) {
			newest = x
		}
	}
	if newest != nil {
		b.recordLeaving(newest.ID, newest.StartedAt, now)
	}
}

// takeLeaving reports whether a listed endpoint leaves by its own word, and notes that it
// is listed.
func (b *Balancer) takeLeaving(e *registry.Endpoint, now time.Time) bool {
	w := b.leaving[e.ID]
	if w == nil || e.StartedAt.After(w.startedAt) {
		return false
	}
	w.listed = true
	w.listedAt = now
	w.upstream = e.Upstream
	return true
}

// unlistLeaving begins a new list of endpoints.
func (b *Balancer) unlistLeaving() {
	for _, w := range b.leaving {
		w.listed = false
	}
}

// ListedLeaving returns the endpoints that the platform lists as usable and that leave by
// their own word, with the times of their starts. It forgets those that have not been
// listed for long.
func (b *Balancer) ListedLeaving(now time.Time) map[string]time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := map[string]time.Time{}
	for id, w := range b.leaving {
		switch {
		case w.listed:
			m[id] = w.startedAt
		case now.Sub(w.listedAt) > leavingMemory:
			delete(b.leaving, id)
		}
	}
	return m
}

// Leaving returns all that is known of endpoints that leave by their own word, with the
// times of their starts.
func (b *Balancer) Leaving() map[string]time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := map[string]time.Time{}
	for id, w := range b.leaving {
		m[id] = w.startedAt
	}
	return m
}

// LeavingOf is Leaving for one endpoint. It returns nil if the endpoint has not said that it
// leaves.
func (b *Balancer) LeavingOf(id string) map[string]time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.leaving[id]
	if w == nil {
		return nil
	}
	return map[string]time.Time{
		id: w.startedAt,
	}
}

// WithoutLeaving returns those of the endpoints that have not said that they leave.
func (b *Balancer) WithoutLeaving(s []registry.Endpoint) []registry.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s), func(e registry.Endpoint) bool {
		w := b.leaving[e.ID]
		return w != nil && !e.StartedAt.After(w.startedAt)
	})
}

// hasEndpoints reports whether the pool holds any endpoint.
func (p *pool) hasEndpoints() bool {
	for _, s := range p.endpoints {
		if len(s) > 0 {
			return true
		}
	}
	return false
}
