package dispatch

import (
	"context"
	"sync"
	"time"

	"heatherford/core/code"
	"heatherford/core/lookup"
	"heatherford/core/snapshot"
	"heatherford/core/store"
	"heatherford/core/work"
)

const (
	// maxHops is the number of hosts that are asked for a free slot, one after
	// the other, before a request waits for one. None of them passes it on.
	maxHops = 2
	// refusalTime is how long a host that had no free slot is not asked again:
	// what is known of its load lags.
	refusalTime = 250 * time.Millisecond
)

// refusals remembers which hosts had no free slot. It is safe for concurrent
// use; the zero value remembers none.
type refusals struct {
	mu    sync.Mutex
	until map[lookup.Source]time.Time
}

// add notes a refusal at the time now.
func (x *refusals) add(s lookup.Source, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.until == nil {
		x.until = map[lookup.Source]time.Time{}
	}
	x.until[s] = now.Add(refusalTime)
}

// has reports whether s refused of late.
func (x *refusals) has(s lookup.Source, now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	t, ok := x.until[s]
	if ok && !now.Before(t) {
		delete(x.until, s)
		return false
	}
	return ok
}

// hopToSpare passes r on to a host that is thought to have a free slot. It
// returns an error of HopRefused if there is none.
func (d *Dispatcher) hopToSpare(ctx context.Context, s *snapshot.Snapshot, r *work.Request) (*work.Answer, error) {
	r.Immediate = true
	defer func() {
		r.Immediate = false
	}()
	for range maxHops {
		h := d.spare(s, r)
		if h == nil {
			break
		}
		a, err := d.carry(ctx, *h, r)
		if !refused(err) {
			return a, err
		}
		d.refusals.add(source(h, r), d.options.Now())
	}
	return nil, code.New(code.HopRefused, "dispatch: no host has a free slot for %q", r.Kind.Upstream)
}

// spare draws a host with a free slot that did not refuse of late, or nil.
func (d *Dispatcher) spare(s *snapshot.Snapshot, r *work.Request) *store.Host {
	const draws = 2
	for range draws {
		h := s.Table.Spare(r.Kind.Name)
		if h == nil || !d.refusals.has(source(h, r), d.options.Now()) {
			return h
		}
	}
	return nil
}

func source(h *store.Host, r *work.Request) lookup.Source {
	return lookup.Source{
		Host:     h.Name,
		Upstream: r.Kind.Upstream,
	}
}
