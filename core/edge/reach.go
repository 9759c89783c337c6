package edge

import (
	"context"
	"sync"
	"time"

	"heatherford/core/balance"
	"heatherford/core/reach"
	"heatherford/core/registry"
)

const (
	// probeTimeout bounds a probe: several times the way to another region and back.
	probeTimeout = 300 * time.Millisecond
	// starvedGap is the gap between two steps from which on a host was too slow for its
	// probes to tell anything.
	starvedGap = 4 * stepInterval
)

// recordReach records what a request showed of this host's way to the endpoints.
func (e *Edge) recordReach(o balance.Outcome, c *ForwardResult) {
	switch {
	case c.Reply != nil:
		e.reach.RecordAnswer(time.Now())
	case o == balance.Unreachable, o == balance.Broken:
		e.reach.RecordFailure(time.Now())
	}
}

// recordIsolated records that another host said that it reaches no endpoint, to a request
// that was forwarded at the given time. Its heartbeats since then count more.
func (e *Edge) recordIsolated(host string, forwardedAt time.Time) {
	e.markUnreachable(host)
	e.post(context.Background(), func(c *control) {
		now := time.Now()
		c.fleet.RecordIsolation(host, forwardedAt)
		c.updateLive(now)
		c.publish(now)
	})
}

// checkReach probes endpoints if this host may be cut off from them, or was.
func (c *control) checkReach(now time.Time) {
	if !c.edge.reach.Begin(c.edge.balancer.WaitingSince(), now) {
		return
	}
	c.probeRound++
	targets := targetsOf(reach.Targets(c.usableEndpoints(), c.probeRound))
	c.background(func() func(c *control) {
		n := c.edge.countAccepting(targets)
		return func(c *control) {
			end := time.Now()
			if c.starvedAt.After(now) || end.Sub(c.lastStep) > starvedGap {
				c.endProbes(0, 0, end)
				return
			}
			c.endProbes(len(targets), n, end)
		}
	})
}

func (c *control) usableEndpoints() []registry.Endpoint {
	s := []registry.Endpoint{}
	for _, e := range c.usable {
		s = append(s, e)
	}
	return s
}

func targetsOf(s []registry.Endpoint) []balance.Target {
	t := []balance.Target{}
	for _, e := range s {
		t = append(t, balance.Target{
			ID:        e.ID,
			Upstream:  e.Upstream,
			Software:  e.Software,
			Zone:      e.Zone,
			Address:   e.Address.String(),
			StartedAt: e.StartedAt,
		})
	}
	return t
}

// probeAll probes endpoints at the same time. The results are as many as the endpoints.
func (e *shared) probeAll(ctx context.Context, targets []balance.Target) <-chan ProbeResult {
	results := make(chan ProbeResult, len(targets))
	for _, t := range targets {
		go func() {
			r := ProbeSilent
			// A probe that panics counts as one that failed.
			_ = e.contain("probe", func() error {
				r = e.options.Transport.Probe(ctx, t)
				return nil
			})
			results <- r
		}()
	}
	return results
}

// countAccepting probes endpoints and returns how many took the connection.
func (e *shared) countAccepting(targets []balance.Target) int {
	ctx, cancel := context.WithTimeout(e.tomb.Context(context.Background()), probeTimeout)
	defer cancel()
	results := e.probeAll(ctx, targets)
	n := 0
	for range targets {
		if <-results == ProbeAccepted {
			n++
		}
	}
	return n
}

// anyAccepts reports whether an endpoint takes a connection before ctx ends. It does not
// wait for the others.
func (e *shared) anyAccepts(ctx context.Context, targets []balance.Target) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := e.probeAll(ctx, targets)
	for range targets {
		select {
		case r := <-results:
			if r == ProbeAccepted {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// endProbes takes in the result of a round of probes.
func (c *control) endProbes(probed, accepted int, now time.Time) {
	since := c.edge.reach.IsolatedSince()
	if !c.edge.reach.EndRound(probed, accepted, now) {
		return
	}
	isolated := since.IsZero()
	answer := ageOf(c.edge.reach.LastAnswer(), now)
	c.fleet.SetIsolated(isolated)
	c.edge.balancer.SetIsolated(isolated, now)
	if isolated {
		c.edge.options.Log("reach", "state", "isolated", "probed", probed, "accepted", accepted, "last_answer", answer)
		if answer > reach.Silence || answer < 0 {
			c.edge.silentSends.cancel()
		}
	} else {
		c.edge.options.Log("reach", "state", "back", "probed", probed, "accepted", accepted, "took", now.Sub(since))
	}
	c.updateLive(now)
	c.publish(now)
	c.announceChange(now)
	c.sendRemoteHeartbeat(now)
}

// reachesOthers reports whether an endpoint other than the named one takes a connection of
// this host, or whether there is none that could show that.
func (e *Edge) reachesOthers(ctx context.Context, except string) bool {
	answer := make(chan []balance.Target, 1)
	e.post(ctx, func(c *control) {
		s := []registry.Endpoint{}
		for _, x := range c.usableEndpoints() {
			if x.ID != except {
				s = append(s, x)
			}
		}
		c.probeRound++
		answer <- targetsOf(reach.Targets(s, c.probeRound))
	})
	select {
	case t := <-answer:
		return len(t) == 0 || e.anyAccepts(ctx, t)
	case <-ctx.Done():
		return false
	}
}

// cancelGroup ends the sends of requests that may be repeated once it is known that no
// answer comes. The zero value is ready. It is safe for concurrent use.
type cancelGroup struct {
	mu      sync.Mutex
	next    int
	cancels map[int]context.CancelFunc
}

// context returns a context that the group cancels, if the send is to be among them, and a
// function that ends it.
func (g *cancelGroup) context(ctx context.Context, member bool) (context.Context, context.CancelFunc) {
	if !member {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cancels == nil {
		g.cancels = map[int]context.CancelFunc{}
	}
	g.next++
	n := g.next
	g.cancels[n] = cancel
	return ctx, func() {
		cancel()
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.cancels, n)
	}
}

// cancel cancels the contexts in use.
func (g *cancelGroup) cancel() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, f := range g.cancels {
		f()
	}
}
