package report_test

import (
	"time"

	"heatherford/core/code"
	"heatherford/core/outcome"
	"heatherford/core/report"
	"heatherford/core/rollup"
	"heatherford/core/timeline"
)

// day drives the keepers of some hosts through a day, minute by minute, and
// keeps what they write.
type day struct {
	now time.Time
	// down is true while the platform is.
	down bool
	// listed are the hosts that the platform lists.
	listed []string
	// unknown is the minute in which a request ends with an unknown outcome.
	unknown int
	hosts   map[string]*rollup.Keeper
	objects map[string][]byte
}

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func newDay() *day {
	return &day{
		now:     noon,
		hosts:   map[string]*rollup.Keeper{},
		objects: map[string][]byte{},
	}
}

func (d *day) start(host, incarnation string) {
	d.hosts[host] = rollup.New(rollup.Options{
		Host:        host,
		Region:      "ulaanbaatar",
		Incarnation: incarnation,
		Interval:    5 * time.Second,
		Now: func() time.Time {
			return d.now
		},
	})
	d.listed = append(d.listed, host)
	d.hosts[host].Hosts(d.listed)
}

func (d *day) event(host string, k timeline.Kind, p timeline.Phase, subject, text string) {
	d.hosts[host].Event(timeline.Event{
		At: timeline.Stamp{
			Wall: d.now.UnixNano(),
		},
		Kind:    k,
		Phase:   p,
		Subject: subject,
		Text:    text,
	})
}

// run lets all hosts carry requests and write until the time after noon.
func (d *day) run(until time.Duration) {
	for d.now.Before(noon.Add(until)) {
		d.now = d.now.Add(time.Minute)
		n := int(d.now.Sub(noon) / time.Minute)
		for _, h := range []string{"h1", "h2", "h3"} {
			if d.hosts[h] != nil {
				d.minute(h, n)
			}
		}
	}
}

// minute carries the host's requests of minute n.
func (d *day) minute(host string, n int) {
	k := d.hosts[host]
	for i := range 6 + n/20%4 {
		k.Result(d.lookup(time.Duration(8+i*i) * time.Millisecond))
	}
	k.Result(d.charge(n))
	k.Sample([]rollup.Load{
		{
			Bound:    rollup.BoundRegion,
			Name:     "ulaanbaatar",
			Cap:      9,
			InFlight: n % 4,
		},
		{
			Bound:    rollup.BoundShift,
			Name:     "monday",
			Cap:      2,
			InFlight: n % 9 / 8,
		},
	})
	k.Hosts(d.listed)
	const writing = 10
	if n%writing == 0 {
		d.write(host)
	}
}

func (d *day) lookup(elapsed time.Duration) outcome.Result {
	return outcome.Result{
		Kind:       "waiver-lookup",
		Rank:       "urgent",
		Repeatable: true,
		Weight:     5,
		Target:     0.99,
		Code:       code.Answered,
		Correct:    true,
		At:         d.now,
		Elapsed:    elapsed,
	}
}

// charge is answered but every 30th time, when no endpoint is there, and once
// with an unknown outcome.
func (d *day) charge(n int) outcome.Result {
	const every = 30
	x := outcome.Result{
		Kind:      "deposit-charge",
		Rank:      "standard",
		RankIndex: 1,
		Weight:    4,
		Target:    0.9,
		Code:      code.Answered,
		Correct:   true,
		At:        d.now,
		Elapsed:   40 * time.Millisecond,
	}
	switch {
	case n == d.unknown:
		x.Code, x.Correct = code.OutcomeUnknown, false
	case n%every == 0:
		x.Code, x.Correct = code.NoEndpoint, false
	}
	return x
}

func (d *day) write(host string) {
	s, err := d.hosts[host].Objects()
	if err != nil {
		panic(err)
	}
	if d.down {
		return
	}
	for _, o := range s {
		d.objects[o.Name] = o.Data
		d.hosts[host].Wrote(o)
	}
}

// kill ends the host without a word.
func (d *day) kill(host string) {
	delete(d.hosts, host)
}

// stop ends the host by plan. In an outage another host keeps its roll-ups.
func (d *day) stop(host, other string) {
	k := d.hosts[host]
	k.Stop()
	d.write(host)
	s, err := k.Objects()
	if err != nil {
		panic(err)
	}
	if n := d.hosts[other].Take(s); n != len(s) {
		panic("not all taken")
	}
	delete(d.hosts, host)
}

func (d *day) report() *report.Report {
	in := report.Input{
		Day:      "2026-12-04",
		From:     noon.Add(-12 * time.Hour),
		To:       noon.Add(12 * time.Hour),
		Now:      d.now,
		Location: time.UTC,
	}
	for _, b := range d.objects {
		r, err := rollup.Decode(b)
		if err != nil {
			panic(err)
		}
		in.Rolls = append(in.Rolls, r)
	}
	return report.Build(in)
}

// goodDay is a day on which all went well up to its end.
func goodDay() *day {
	d := newDay()
	d.start("h1", "a")
	d.start("h2", "b")
	d.run(2 * time.Hour)
	d.event("h1", timeline.KindConfig, timeline.PhaseBegun, "4", "version confirmed")
	for _, h := range []string{"h1", "h2"} {
		d.now = d.now.Add(700 * time.Millisecond)
		d.event(h, timeline.KindConfig, timeline.PhaseEnded, "4", "version in force")
	}
	d.event("h1", timeline.KindDrain, timeline.PhaseBegun, "till-3", "the endpoint is leaving")
	d.now = d.now.Add(1200 * time.Millisecond)
	d.event("h1", timeline.KindDrain, timeline.PhaseEnded, "till-3", "no request is left at the endpoint")
	d.start("h3", "c")
	d.event("h3", timeline.KindConfig, timeline.PhaseEnded, "4", "version in force")
	d.run(12 * time.Hour)
	return d
}

// badDay has an outage of the platform, in which h2 dies and h3 is stopped by
// plan, an unknown outcome, a drain that fails and a version that one host never
// takes.
func badDay() *day {
	d := newDay()
	d.unknown = 205
	d.start("h1", "a")
	d.start("h2", "b")
	d.start("h3", "c")
	d.run(2 * time.Hour)
	d.event("h1", timeline.KindConfig, timeline.PhaseBegun, "4", "version confirmed")
	d.now = d.now.Add(900 * time.Millisecond)
	d.event("h1", timeline.KindConfig, timeline.PhaseEnded, "4", "version in force")
	d.event("h2", timeline.KindConfig, timeline.PhaseEnded, "4", "version in force")
	d.event("h3", timeline.KindShift, timeline.PhaseBegun, "monday", "share 0.1 becomes 0.5")
	d.run(3*time.Hour - 10*time.Minute)
	d.down = true
	for _, h := range []string{"h1", "h2", "h3"} {
		d.now = d.now.Add(300 * time.Millisecond)
		d.event(h, timeline.KindPlatform, timeline.PhaseBegun, "", "the platform does not answer")
	}
	d.run(3*time.Hour + 20*time.Minute)
	d.kill("h2")
	d.now = d.now.Add(4 * time.Second)
	d.event("h1", timeline.KindMember, timeline.PhaseFailed, "h2", "no heartbeat for 4s")
	d.event("h3", timeline.KindMember, timeline.PhaseFailed, "h2", "no heartbeat for 4s")
	d.run(4 * time.Hour)
	d.event("h3", timeline.KindShift, timeline.PhaseEnded, "monday", "the share has reached 0.5")
	d.event("h3", timeline.KindDrain, timeline.PhaseFailed, "desk-2", "the deadline came with 1 request in flight")
	d.event("h3", timeline.KindStop, timeline.PhaseBegun, "h3", "planned stop begun")
	d.event("h3", timeline.KindDrain, timeline.PhaseBegun, "h3", "host is leaving by host leaving")
	d.now = d.now.Add(2 * time.Second)
	d.event("h3", timeline.KindStop, timeline.PhaseEnded, "h3", "no request is in flight any more")
	d.stop("h3", "h1")
	d.event("h1", timeline.KindMember, timeline.PhaseFailed, "h3", "is dead")
	d.listed = []string{"h1"}
	d.run(4*time.Hour + 10*time.Minute)
	d.down = false
	d.event("h1", timeline.KindPlatform, timeline.PhaseEnded, "", "the platform answers again")
	d.run(5 * time.Hour)
	return d
}
