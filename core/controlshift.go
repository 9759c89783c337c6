package core

import (
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"heatherford/core/intent"
	"heatherford/core/lookup"
	"heatherford/core/shift"
	"heatherford/core/timeline"
)

// shiftInterval is how often the shares of shifts are decided.
const shiftInterval = time.Second

// stepShifts decides what share of each declared shift is in force, if that is
// due.
func (c *control) stepShifts() {
	now := c.kernel.Now()
	if c.version == nil || now.Before(c.nextShift) {
		return
	}
	c.nextShift = now.Add(shiftInterval)
	ramps := map[string]*shift.Ramp{}
	for _, s := range c.declaration().Shifts {
		r := c.ramps[s.Name]
		if r == nil {
			r = shift.New()
		}
		ramps[s.Name] = r
		c.stepShift(s, r, now)
	}
	if len(ramps) != len(c.ramps) {
		c.changed = true
	}
	c.ramps = ramps
}

func (c *control) stepShift(s intent.Shift, r *shift.Ramp, now time.Time) {
	share, phase, reason := r.Share, r.Phase, r.Reason
	r.Step(now, s.Share, c.measure(s.Upstream, s.From), c.measure(s.Upstream, s.To))
	if r.Share != share {
		c.changed = true
	}
	// Numbers in a reason change with every measurement.
	if r.Share == share && r.Phase == phase && (r.Reason == "") == (reason == "") {
		return
	}
	text := fmt.Sprintf("%s, share %.3f of %.3f", r.Phase, r.Share, s.Share)
	if r.Reason != "" {
		text += ": " + r.Reason
	}
	level.Info(c.kernel.Log).Log("msg", "shift: "+text, "subject", s.Name)
	c.kernel.Record(timeline.Event{
		Kind:    timeline.KindShift,
		Subject: s.Name,
		Text:    text,
	})
}

// measure sums what the owners in a region told of an upstream. It is as old as
// the oldest part, and nothing is known if an owner has told nothing.
func (c *control) measure(upstream, region string) shift.Measurement {
	hosts := map[string]bool{}
	owners := c.grants.Serving()
	for _, u := range c.declaration().Upstreams {
		for _, e := range u.Endpoints {
			if u.Name == upstream {
				hosts[owners[e.Name]] = true
			}
		}
	}
	m := shift.Measurement{}
	slots, use, busy := 0.0, 0.0, 0.0
	for _, h := range c.hosts {
		if h.Region != region || !hosts[h.Name] {
			continue
		}
		l, at := c.kernel.loads.get(lookup.Source{
			Host:     h.Name,
			Upstream: upstream,
		})
		if at.IsZero() {
			return shift.Measurement{}
		}
		if m.At.IsZero() || at.Before(m.At) {
			m.At = at
		}
		n := float64(l.Slots)
		slots += n
		use += n * l.Total()
		busy += n * float64(l.Service)
	}
	if slots > 0 {
		m.Use = use / slots
		m.Latency = time.Duration(busy / slots)
	}
	return m
}

// shares returns the shares of the shifts that are in force.
func (c *control) shares() []lookup.Share {
	s := []lookup.Share{}
	for _, x := range c.declaration().Shifts {
		r := c.ramps[x.Name]
		if r == nil || r.Share == 0 {
			continue
		}
		s = append(s, lookup.Share{
			Upstream: x.Upstream,
			From:     x.From,
			To:       x.To,
			Part:     min(r.Share, x.Share),
		})
	}
	return s
}
