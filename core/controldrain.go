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

// withLeaving returns u with the endpoints marked as leaving for which there is a
// notice. It does not change u's endpoints.
func (c *control) withLeaving(u intent.Upstream) intent.Upstream {
	s := []intent.Endpoint(nil)
	for i, e := range u.Endpoints {
		_, leaving := c.notices.Leaving(endpointSubject(e.Name))
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

// offerNotice turns this host's own observation of a subject into a notice, if one is
// due: the state differs from the known one, or the notice needs renewal.
func (c *control) offerNotice(x drain.Subject, leaving bool, source string) {
	now := c.kernel.Now()
	if !c.notices.RenewalDue(now, x, leaving) {
		return
	}
	s := drain.Notice{
		Subject: x,
		Leaving: leaving,
		At:      c.kernel.Clock.Now(),
		Source:  source,
	}
	if !c.notices.Merge(now, s) {
		return
	}
	c.noticeChanged(s)
	for _, f := range c.kernel.onNotice {
		f()
	}
}

// noticeChanged logs the new state of a subject and makes the next snapshot show it.
func (c *control) noticeChanged(s drain.Notice) {
	c.changed = true
	c.noticeChanges++
	c.updateHosts()
	text := "is back"
	if s.Leaving {
		text = "is leaving"
	}
	level.Info(c.kernel.Log).Log("msg", fmt.Sprintf("drain: %s %s", s.Kind, text), "subject", s.Name, "source", s.Source)
}

// updateDrains updates the progress of all drains and records those that have begun or
// ended.
func (c *control) updateDrains(now time.Time) {
	begun, ended := c.drains.Observe(now, c.leaving())
	for _, p := range begun {
		c.recordDrain(p, timeline.PhaseBegun, fmt.Sprintf("%s is leaving by %s", p.Kind, p.Source))
	}
	for _, p := range ended {
		c.recordDrain(p, timeline.PhaseEnded, fmt.Sprintf("%s drained in %v", p.Kind, p.IdleAt.Sub(p.Since).Round(time.Millisecond)))
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

// leaving returns the endpoints that are leaving, with the number of requests that this
// host has in flight there. Of the hosts only this one is included, if it is leaving.
func (c *control) leaving() []drain.Leaving {
	s := []drain.Leaving{}
	if c.version == nil {
		return s
	}
	inFlight := c.kernel.Dispatcher.InFlight()
	for _, u := range c.version.Declaration.Upstreams {
		for _, e := range u.Endpoints {
			notice, noticed := c.notices.Leaving(endpointSubject(e.Name))
			if !noticed && !e.Leaving {
				continue
			}
			l := drain.Leaving{
				Subject:  endpointSubject(e.Name),
				Source:   drain.SourceDeclaration,
				InFlight: inFlight[e.Name],
			}
			if !e.Leaving {
				l.Source = notice.Source
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

// OfferNotice reports a plug-in's observation that an endpoint is leaving or is not. The
// source says what was observed.
func (k *Kernel) OfferNotice(endpoint string, leaving bool, source string) {
	k.post(func(c *control) {
		c.offerNotice(endpointSubject(endpoint), leaving, source)
	})
}

// OnNotice registers f to be called when this host itself has observed that an endpoint
// or a host is leaving or back. f runs on the control goroutine and must not block.
// OnNotice is called from Attach.
func (k *Kernel) OnNotice(f func()) {
	k.onNotice = append(k.onNotice, f)
}

// Drains returns the progress of all drains as this host sees it. It is safe for
// concurrent use.
func (k *Kernel) Drains() []drain.Progress {
	if s := k.drains.Load(); s != nil {
		return *s
	}
	return nil
}
