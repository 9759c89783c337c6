package report

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"heatherford/core/rollup"
	"heatherford/core/timeline"
)

const (
	// graceIntervals is how many intervals a host may be late with a roll-up
	// before the page takes it for missing.
	graceIntervals = 3
	graceExtra     = time.Second
	// maxGapTexts bounds the gaps that are told one by one.
	maxGapTexts = 200
	// stopLag is how long others may take to see that a stopped host is gone.
	stopLag = time.Minute
	// listLag is how long the platform may list a host that has stopped.
	listLag = 10 * time.Minute
)

// life is one incarnation of a host.
type life struct {
	host    string
	started time.Time
	// rolls are ordered by hour.
	rolls []*rollup.Roll
}

func (l *life) last() *rollup.Roll {
	return l.rolls[len(l.rolls)-1]
}

// covers reports whether l's roll-ups cover the time t.
func (l *life) covers(t time.Time) bool {
	for _, r := range l.rolls {
		if !t.Before(r.From) && t.Before(r.To) {
			return true
		}
	}
	return false
}

// lives returns the incarnations of all hosts, ordered by host and start.
func (b *builder) lives() []*life {
	m := map[string]*life{}
	s := []*life{}
	for _, r := range b.rolls {
		key := r.Host + "/" + r.Incarnation
		l := m[key]
		if l == nil {
			l = &life{
				host:    r.Host,
				started: r.Started,
			}
			m[key] = l
			s = append(s, l)
		}
		l.rolls = append(l.rolls, r)
	}
	for _, l := range s {
		slices.SortFunc(l.rolls, func(x, y *rollup.Roll) int {
			return x.Hour.Compare(y.Hour)
		})
	}
	slices.SortFunc(s, func(x, y *life) int {
		return cmp.Or(cmp.Compare(x.host, y.host), x.started.Compare(y.started))
	})
	return s
}

// coverage finds the times for which counts are missing.
func (b *builder) coverage() {
	lives := b.lives()
	for i, l := range lives {
		next := time.Time{}
		if i+1 < len(lives) && lives[i+1].host == l.host {
			next = lives[i+1].started
		}
		b.coverLife(l, next)
		if r := l.last(); r.Stopped {
			b.report.Stops = append(b.report.Stops, Stop{
				Host: l.host,
				At:   r.To,
			})
		}
		b.losses(l)
	}
	b.unheard(lives)
	slices.SortStableFunc(b.report.Gaps, func(x, y Gap) int {
		return cmp.Or(x.From.Compare(y.From), cmp.Compare(x.Host, y.Host))
	})
	slices.SortStableFunc(b.report.Stops, func(x, y Stop) int {
		return x.At.Compare(y.At)
	})
	b.report.Failures = slices.DeleteFunc(b.report.Failures, b.planned)
	b.report.Drains = withoutStops(b.report.Drains)
	b.tellGaps()
}

// withoutStops leaves out the drains of hosts that are a part of their planned
// stops, which stand among the drains by themselves.
func withoutStops(drains []Span) []Span {
	return slices.DeleteFunc(slices.Clone(drains), func(s Span) bool {
		return s.Kind == timeline.KindDrain && slices.ContainsFunc(drains, func(x Span) bool {
			return x.Kind == timeline.KindStop && x.Subject == s.Subject && s.begin().Sub(x.begin()).Abs() < stopLag
		})
	})
}

// planned reports whether the others only saw the end of a host's planned stop.
func (b *builder) planned(s Span) bool {
	return s.Kind == timeline.KindMember && slices.ContainsFunc(b.report.Stops, func(x Stop) bool {
		return x.Host == s.Subject && s.begin().Sub(x.At).Abs() < stopLag
	})
}

// coverLife finds the gaps in l, which was followed by another incarnation at
// the time next if that is not zero.
func (b *builder) coverLife(l *life, next time.Time) {
	at := l.started
	if at.Before(b.in.From) {
		at = b.in.From
	}
	for _, r := range l.rolls {
		if r.From.Sub(at) > time.Second {
			b.gap(l.host, at, r.From, "no roll-up covers the time between")
		}
		at = r.To
	}
	r := l.last()
	end := b.in.Now
	if end.After(b.in.To) {
		end = b.in.To
	}
	grace := graceIntervals*r.Interval.Std() + graceExtra
	if r.Stopped || end.Sub(at) <= grace {
		return
	}
	text := "it ended without a planned stop, or could not write its counts"
	if !next.IsZero() {
		text = "it ended without a planned stop, and was started again"
	}
	b.gap(l.host, at, next, text)
}

func (b *builder) gap(host string, from, to time.Time, text string) {
	b.report.Gaps = append(b.report.Gaps, Gap{
		Host: host,
		From: from,
		To:   to,
		Text: text,
	})
}

// losses tells what a host itself says it left out.
func (b *builder) losses(l *life) {
	omitted := 0
	for _, r := range l.rolls {
		omitted += r.Omitted
	}
	if omitted > 0 {
		b.miss(fmt.Sprintf("Host %s left out %s, since its list was full.", l.host, count(uint64(omitted), "incident")))
	}
	if n := l.last().Lost; n > 0 {
		b.miss(fmt.Sprintf("Host %s dropped %s that it could not write.", l.host, count(uint64(n), "roll-up")))
	}
}

// unheard finds hosts that the platform listed in an hour of which they have no
// roll-up.
func (b *builder) unheard(lives []*life) {
	known := map[string][]*life{}
	for _, l := range lives {
		known[l.host] = append(known[l.host], l)
	}
	for h, hours := range b.listed() {
		for _, t := range hours {
			if !b.accounted(known[h], t) {
				b.gap(h, t, t.Add(rollup.HourLength), "the platform listed it, but it wrote no roll-up")
			}
		}
	}
}

// listed returns the hours in which each host was listed, as far as they are
// over, ordered.
func (b *builder) listed() map[string][]time.Time {
	m := map[string][]time.Time{}
	for _, r := range b.rolls {
		if b.in.Now.Sub(r.Hour) < rollup.HourLength+graceExtra {
			continue
		}
		for _, h := range r.Listed {
			if !slices.ContainsFunc(m[h], r.Hour.Equal) {
				m[h] = append(m[h], r.Hour)
			}
		}
	}
	for _, s := range m {
		slices.SortFunc(s, time.Time.Compare)
	}
	return m
}

// accounted reports whether the host's lives explain that or why there is no
// roll-up for the hour: one covers it, or one ended before, which coverLife has
// told.
func (b *builder) accounted(lives []*life, hour time.Time) bool {
	for _, l := range lives {
		for _, r := range l.rolls {
			if r.Hour.Equal(hour) {
				return true
			}
		}
		r := l.last()
		if r.Stopped && !r.To.After(hour) && hour.Sub(r.To) < listLag {
			return true
		}
		if !r.Stopped && !r.To.After(hour) {
			return true
		}
	}
	return false
}

func (b *builder) tellGaps() {
	for i, g := range b.report.Gaps {
		if i == maxGapTexts {
			b.miss(fmt.Sprintf("%d more times of hosts are missing; the JSON has them all.", len(b.report.Gaps)-i))
			return
		}
		b.miss(b.gapText(g))
	}
}

func (b *builder) gapText(g Gap) string {
	until := "on"
	if !g.To.IsZero() {
		until = "to " + b.clock(g.To)
	}
	return fmt.Sprintf("Host %s: nothing is known from %s %s: %s. What it counted then is missing here, not zero.",
		g.Host, b.clock(g.From), until, g.Text)
}
