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
	// maxForwards is the number of hosts with a free slot to which a request is
	// forwarded, one after another, before it waits for a slot. None of them
	// forwards it again.
	maxForwards = 2
	// refusalDelay is the time for which nothing is forwarded to a host that had no
	// free slot. The load known of it lags, so it may still look free.
	refusalDelay = 250 * time.Millisecond
)

// refusals records which hosts recently had no free slot. It is safe for concurrent
// use; the zero value is empty.
type refusals struct {
	mu sync.Mutex
	// until holds the times at which the refusals expire.
	until map[lookup.Source]time.Time
}

// add records a refusal by s at the time now.
func (x *refusals) add(s lookup.Source, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.until == nil {
		x.until = map[lookup.Source]time.Time{}
	}
	x.until[s] = now.Add(refusalDelay)
}

// recent reports whether s refused a request within the last refusalDelay.
func (x *refusals) recent(s lookup.Source, now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	t, ok := x.until[s]
	if ok && !now.Before(t) {
		delete(x.until, s)
		return false
	}
	return ok
}

// forwardToFree forwards r to a host that has a free slot by the last known loads. It
// returns an error with the code HopRefused if there is none or if all refuse.
func (d *Dispatcher) forwardToFree(ctx context.Context, s *snapshot.Snapshot, r *work.Request) (*work.Answer, error) {
	r.Immediate = true
	defer func() {
		r.Immediate = false
	}()
	for range maxForwards {
		h := d.freeHost(s, r)
		if h == nil {
			break
		}
		a, err := d.forward(ctx, *h, r)
		if !isRefusal(err) {
			return a, err
		}
		d.refusals.add(source(h, r), d.options.Now())
	}
	return nil, code.New(code.HopRefused, "dispatch: no host has a free slot for %q", r.Kind.Upstream)
}

// freeHost draws a host with a free slot. It returns nil if none has one, or if all
// that it drew refused a request recently.
func (d *Dispatcher) freeHost(s *snapshot.Snapshot, r *work.Request) *store.Host {
	const draws = 2
	for range draws {
		h := s.Table.FreeHost(r.Kind.Name)
		if h == nil || !d.refusals.recent(source(h, r), d.options.Now()) {
			return h
		}
	}
	return nil
}

// source returns the key of the host and of r's upstream in the refusals.
func source(h *store.Host, r *work.Request) lookup.Source {
	return lookup.Source{
		Host:     h.Name,
		Upstream: r.Kind.Upstream,
	}
}
