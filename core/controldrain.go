package core

import (
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"heatherford/core/drain"
	"heatherford/core/intent"
	"heatherford/core/store"
	"heatherford/core/timeline"
)

// overlay returns u with the endpoints marked that other signs than the
// declaration show to be leaving.
func (c *control) overlay(u intent.Upstream) intent.Upstream {
	s := []intent.Endpoint(nil)
	for i, e := range u.Endpoints {
		_, leaving := c.signs.Leaving(endpointSubject(e.Name))
		if !leaving || e.Leaving {
			continue
		}
		if s == nil {
			s = append([]intent.Endpoint{}, u.Endpoints...)
		}
		s[i].Leaving = true
	}
	if s != nil {
		u.Endpoints = s
	}
	return u
}

func endpointSubject(name string) drain.Subject {
	return drain.Subject{
		Kind: drain.Endpoint,
		Name: name,
	}
}

// offerSign takes this host's own observation of a subject.
func (c *control) offerSign(x drain.Subject, leaving bool, source string) {
	now := c.kernel.Now()
	if !c.signs.Due(now, x, leaving) {
		return
	}
	s := drain.Sign{
		Subject: x,
		Leaving: leaving,
		At:      c.kernel.Clock.Now(),
		Source:  source,
	}
	if !c.signs.Offer(now, s) {
		return
	}
	c.signChanged(s)
	for _, f := range c.kernel.onSign {
		f()
	}
}

// signChanged makes the new state of a subject visible.
func (c *control) signChanged(s drain.Sign) {
	c.changed = true
	c.signed++
	c.updateHosts()
	text := "is back"
	if s.Leaving {
		text = "is leaving"
	}
	level.Info(c.kernel.Log).Log("msg", fmt.Sprintf("drain: %s %s", s.Kind, text), "subject", s.Name, "source", s.Source)
}

// observeDrains brings the progress of all drains up to date.
func (c *control) observeDrains(now time.Time) {
	begun, ended := c.drains.Observe(now, c.leaving())
	for _, p := range begun {
		c.recordDrain(p, timeline.PhaseBegun, fmt.Sprintf("%s is leaving by %s", p.Kind, p.Source))
	}
	for _, p := range ended {
		c.recordDrain(p, timeline.PhaseEnded, fmt.Sprintf("%s drained in %v", p.Kind, p.QuietAt.Sub(p.Since).Round(time.Millisecond)))
	}
	all := c.drains.All()
	c.kernel.drains.Store(&all)
}

func (c *control) recordDrain(p drain.Progress, phase timeline.Phase, text string) {
	c.kernel.Record(timeline.Event{
		Kind:    timeline.KindDrain,
		Phase:   phase,
		Subject: p.Name,
		Text:    text,
	})
}

// leaving returns all that is leaving and what this host still has in flight
// there. Only this host itself counts among the hosts.
func (c *control) leaving() []drain.Leaving {
	s := []drain.Leaving{}
	if c.version == nil {
		return s
	}
	inFlight := c.kernel.Dispatcher.InFlight()
	for _, u := range c.version.Declaration.Upstreams {
		for _, e := range u.Endpoints {
			sign, signed := c.signs.Leaving(endpointSubject(e.Name))
			if !signed && !e.Leaving {
				continue
			}
			l := drain.Leaving{
				Subject:  endpointSubject(e.Name),
				Source:   drain.SourceDeclaration,
				InFlight: inFlight[e.Name],
			}
			if !e.Leaving {
				l.Source = sign.Source
			}
			s = append(s, l)
		}
	}
	for _, h := range c.hosts {
		if h.Name == c.kernel.Settings.Host && h.State == store.HostLeaving {
			s = append(s, drain.Leaving{
				Subject: drain.Subject{
					Kind: drain.Host,
					Name: h.Name,
				},
				Source:   "host leaving",
				InFlight: sum(inFlight),
			})
		}
	}
	return s
}

func sum(m map[string]int) int {
	n := 0
	for _, x := range m {
		n += x
	}
	return n
}

// OfferSign takes what a plug-in has seen of an endpoint.
func (k *Kernel) OfferSign(endpoint string, leaving bool, source string) {
	k.post(func(c *control) {
		c.offerSign(endpointSubject(endpoint), leaving, source)
	})
}

// OnSign registers f to be called on the control goroutine, where it must not
// block, when this host has seen that something is leaving or back. It is called
// from Attach.
func (k *Kernel) OnSign(f func()) {
	k.onSign = append(k.onSign, f)
}

// Drains returns the drains as this host sees them. It is safe for concurrent
// use.
func (k *Kernel) Drains() []drain.Progress {
	if s := k.drains.Load(); s != nil {
		return *s
	}
	return nil
}
