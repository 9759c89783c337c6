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

// shiftInterval is the time between updates of the shifts' shares.
const shiftInterval = time.Second

// stepShifts updates the current share of each declared shift if that is due.
func (c *control) stepShifts() {
	now := c.kernel.Now()
	if c.version == nil || now.Before(c.nextShiftStep) {
		return
	}
	c.nextShiftStep = now.Add(shiftInterval)
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

// stepShift updates the share of the shift s by the measurements of both regions, and
// logs and records what changed.
func (c *control) stepShift(s intent.Shift, r *shift.Ramp, now time.Time) {
	share, phase, reason := r.Share, r.Phase, r.Reason
	r.Step(now, s.Share, c.measure(s.Upstream, s.From), c.measure(s.Upstream, s.To))
	if r.Share != share {
		c.changed = true
	}
	// A reason contains numbers that change with every measurement, so only its
	// presence is compared.
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

// measure combines the loads that the owners of the upstream's endpoints in the region
// reported, weighted by slots. The measurement is as old as the oldest of them. It is
// the zero value if the load of an owner is unknown.
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
	slots, use, serviceTime := 0.0, 0.0, 0.0
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
		use += n * l.Utilization()
		serviceTime += n * float64(l.ServiceTime)
	}
	if slots > 0 {
		m.Use = use / slots
		m.Latency = time.Duration(serviceTime / slots)
	}
	return m
}

// shares returns the current shares of the declared shifts that are not 0.
func (c *control) shares() []lookup.Shift {
	s := []lookup.Shift{}
	for _, x := range c.declaration().Shifts {
		r := c.ramps[x.Name]
		if r == nil || r.Share == 0 {
			continue
		}
		s = append(s, lookup.Shift{
			Upstream: x.Upstream,
			From:     x.From,
			To:       x.To,
			Share:    min(r.Share, x.Share),
		})
	}
	return s
}
