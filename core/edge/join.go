package edge

import (
	"context"
	"time"

	"heatherford/core/fleet"
	"heatherford/core/registry"
)

// settled reports whether this host serves by what it knows: another host has told it what
// the platform may have lost, or none did in time. What was told is out of date if that host
// was cut off; then this one waits for what others know.
func (c *control) settled(now time.Time) bool {
	return (c.learned && c.current(now)) || !now.Before(c.learnUntil)
}

// current reports whether what this host knows is as new as that of a host that hears the
// others.
func (c *control) current(now time.Time) bool {
	for p := range registry.NumParts {
		if now.Sub(c.registry.CurrentAt(p)) > staleAfter[p] {
			return false
		}
	}
	return true
}

// learnedAll notes that a host that serves has told this one all that it knows.
func (c *control) learnedAll(now time.Time) {
	if !c.learned {
		c.learned = true
		c.learnUntil = earlier(c.learnUntil, now.Add(learnDelay))
	}
}

// join adds the host to the platform's list of hosts, once. It retries after a
// failure.
func (c *control) join(now time.Time) {
	if c.joining || now.Before(c.nextJoin) || (c.joined && !c.enlistLive) {
		return
	}
	c.joining = true
	if c.joined {
		c.enlist()
		return
	}
	self := c.fleet.Self()
	c.background(func() func(c *control) {
		ctx, cancel := context.WithTimeout(c.edge.tomb.Context(context.Background()), joinTimeout)
		defer cancel()
		s := []fleet.Member{}
		err := c.edge.contain("join", func() (err error) {
			s, err = c.edge.options.Transport.Join(ctx, self)
			return err
		})
		return func(c *control) {
			c.joining = false
			c.nextJoin = time.Now().Add(joinRetryInterval)
			if err != nil {
				c.edge.options.Log("join", "outcome", "failed", "err", err)
				return
			}
			c.joined = true
			c.fleet.AddListed(s, time.Now())
			c.stopLearning(len(s), time.Now())
			c.firstRead = time.Now().Add(firstReadDelay)
			// Which host reads depends on the live hosts.
			c.updateLive(time.Now())
			c.edge.options.Log("join", "outcome", "joined", "hosts", len(s))
		}
	})
}

// stopLearning bounds the time in which a host that has joined learns from others. A host
// that is alone on the list has nobody to learn from.
func (c *control) stopLearning(listed int, now time.Time) {
	end := now.Add(learnDelay)
	if listed <= 1 {
		end = now
	}
	c.learnUntil = earlier(c.learnUntil, end)
}

// earlier returns the earlier one of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// enlist adds the live hosts to the platform's list, which may have lost them. It is
// repeated after a failure.
func (c *control) enlist() {
	live := fleet.NotLeaving(c.live)
	c.background(func() func(c *control) {
		ctx, cancel := context.WithTimeout(c.edge.tomb.Context(context.Background()), joinTimeout)
		defer cancel()
		err := c.edge.contain("enlist", func() error {
			return c.edge.options.Transport.Enlist(ctx, live)
		})
		return func(c *control) {
			c.joining = false
			c.nextJoin = time.Now().Add(joinRetryInterval)
			c.enlistLive = err != nil
			if err != nil {
				c.edge.options.Log("enlist", "outcome", "failed", "err", err)
				return
			}
			c.edge.options.Log("enlist", "outcome", "enlisted", "hosts", len(live))
		}
	})
}
