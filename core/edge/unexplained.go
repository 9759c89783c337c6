package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"heatherford/core/balance"
	"heatherford/core/quarantine"
	"heatherford/core/registry"
)

// returnTime is how long the next incarnation of an endpoint shows that its connections
// broke by a crash. Crashed endpoints are back within seconds.
const returnTime = 10 * time.Second

// listingTime is the longest time from the return of an endpoint until this host sees its
// next incarnation listed: the endpoint registers, and the list is read and told.
const listingTime = 1500 * time.Millisecond

// unexplainedInterval is the interval at which an endpoint is probed whose connections broke
// for a reason that is not known.
const unexplainedInterval = 300 * time.Millisecond

// unexplained holds the breakages of endpoints that refuse connections as all others do, by
// endpoint: either this host is cut off from all of them, or they crashed at the same moment.
// An endpoint that only was cut off goes on; one that crashed comes back as the next
// incarnation. Edge.mu guards it.
type unexplained map[string]*breakage

// add keeps a breakage.
func (u unexplained) add(b *breakage) {
	u[b.target.ID] = b
}

// unanswered returns the endpoints that have not answered since their connections broke.
func (u unexplained) unanswered() []balance.Target {
	s := []balance.Target{}
	for _, b := range u {
		if b.answeredAt.IsZero() {
			s = append(s, b.target)
		}
	}
	return s
}

// answer records that an endpoint has answered a request or a probe that was sent at began.
func (u unexplained) answer(t balance.Target, began, now time.Time) {
	b := u[t.ID]
	if b != nil && b.answeredAt.IsZero() && began.After(b.at) && t.StartedAt.Equal(b.target.StartedAt) {
		b.answeredAt = now
	}
}

// survived reports whether the endpoint answered too long before its next incarnation was
// listed at now to be that one.
func (b *breakage) survived(now time.Time) bool {
	return !b.answeredAt.IsZero() && now.Sub(b.answeredAt) > listingTime
}

// recordRun records a run that a request has completed since: if the endpoint that ran it lives on,
// the request crashes none.
func (u unexplained) recordRun(f quarantine.Fingerprint, r quarantine.Run) {
	for _, b := range u {
		if !slices.Contains(b.requests, f) {
			continue
		}
		if b.runs == nil {
			b.runs = map[quarantine.Fingerprint]quarantine.Run{}
		}
		b.runs[f] = r
	}
}

// explain takes out and returns the breakages of endpoints whose next incarnation is listed,
// and drops those that are too old.
func (u unexplained) explain(listed map[string]registry.Endpoint, now time.Time) []*breakage {
	crashed := []*breakage{}
	for id, b := range u {
		x, ok := listed[id]
		switch {
		case now.Sub(b.at) > returnTime:
			delete(u, id)
		case ok && x.StartedAt.After(b.target.StartedAt):
			delete(u, id)
			if !b.survived(now) {
				crashed = append(crashed, b)
			}
		}
	}
	return crashed
}

// probeUnexplained probes the endpoints that have not answered since their connections broke:
// few requests may come to them.
func (c *control) probeUnexplained(now time.Time) {
	e := c.edge
	e.mu.Lock()
	targets := e.unexplained.unanswered()
	e.mu.Unlock()
	if len(targets) == 0 || now.Before(c.nextUnexplainedProbe) {
		return
	}
	c.nextUnexplainedProbe = now.Add(unexplainedInterval)
	e.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(e.tomb.Context(context.Background()), probeTimeout)
		defer cancel()
		group := sync.WaitGroup{}
		for _, t := range targets {
			group.Go(func() {
				if !e.anyAccepts(ctx, []balance.Target{t}) {
					return
				}
				e.mu.Lock()
				defer e.mu.Unlock()
				e.unexplained.answer(t, now, time.Now())
			})
		}
		group.Wait()
		return nil
	})
}

// explainBreakages records the crashes that endpoints' next incarnations show.
func (c *control) explainBreakages(now time.Time) {
	e := c.edge
	e.mu.Lock()
	crashed := e.unexplained.explain(c.usable, now)
	e.mu.Unlock()
	for _, b := range crashed {
		if len(b.requests) > 0 {
			e.recordCrash(b, "next_incarnation")
		}
	}
}
