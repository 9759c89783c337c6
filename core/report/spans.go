package report

import (
	"cmp"
	"slices"
	"time"

	"heatherford/core/rollup"
	"heatherford/core/timeline"
)

// spanJoin is how far apart two hosts' views of one thing may be.
const spanJoin = 10 * time.Second

// seen is an incident as one host saw it.
type seen struct {
	rollup.Incident
	host string
}

// begin returns when the incident began, or its end if that alone is known.
func (s seen) begin() time.Time {
	if s.Begun.IsZero() {
		return s.Ended
	}
	return s.Begun
}

type spanKey struct {
	kind    timeline.Kind
	subject string
}

// spans joins the incidents that hosts saw into what the page lists.
func (b *builder) spans() {
	for k, s := range b.incidents() {
		for _, x := range joinSpans(k, s) {
			b.place(x)
		}
	}
	for _, s := range [][]Span{b.report.Shifts, b.report.Drains, b.report.Failures, b.report.Outages} {
		slices.SortFunc(s, func(x, y Span) int {
			return cmp.Or(x.begin().Compare(y.begin()), cmp.Compare(x.Subject, y.Subject))
		})
	}
}

func (s Span) begin() time.Time {
	if s.Begun.IsZero() {
		return s.Ended
	}
	return s.Begun
}

func (b *builder) place(s Span) {
	r := b.report
	switch s.Kind {
	case timeline.KindShift:
		r.Shifts = append(r.Shifts, s)
	case timeline.KindDrain, timeline.KindStop:
		r.Drains = append(r.Drains, s)
	case timeline.KindPlatform:
		r.Outages = append(r.Outages, s)
	default:
		r.Failures = append(r.Failures, s)
	}
}

// incidents returns what the hosts saw, each host's view of one thing once:
// one that lasts over the hour stands in several roll-ups.
func (b *builder) incidents() map[spanKey][]seen {
	m := map[spanKey][]seen{}
	for _, r := range b.rolls {
		for _, i := range r.Incidents {
			k := spanKey{
				kind:    i.Kind,
				subject: i.Subject,
			}
			m[k] = addSeen(m[k], seen{
				Incident: i,
				host:     r.Host,
			})
		}
	}
	return m
}

func addSeen(s []seen, x seen) []seen {
	for j := range s {
		o := &s[j]
		if o.host != x.host || o.Begun.IsZero() || !o.Begun.Equal(x.Begun) {
			continue
		}
		if o.Ended.IsZero() {
			*o = x
		}
		return s
	}
	return append(s, x)
}

// joinSpans joins views that overlap or nearly do.
func joinSpans(k spanKey, s []seen) []Span {
	slices.SortFunc(s, func(x, y seen) int {
		return cmp.Or(x.begin().Compare(y.begin()), cmp.Compare(x.host, y.host))
	})
	a := []Span{}
	for _, x := range s {
		n := len(a) - 1
		if n >= 0 && joins(a[n], x) {
			join(&a[n], x)
			continue
		}
		a = append(a, Span{
			Kind:    k.kind,
			Subject: k.subject,
			Begun:   x.Begun,
			Ended:   x.Ended,
			Failed:  x.Failed,
			Hosts:   []string{x.host},
			Text:    x.Text,
		})
	}
	return a
}

func joins(s Span, x seen) bool {
	return s.Ended.IsZero() || x.begin().Sub(s.Ended) <= spanJoin
}

func join(s *Span, x seen) {
	if s.Begun.IsZero() {
		s.Begun = x.Begun
	}
	// A host that died saw no end; those that stayed did.
	if x.Ended.After(s.Ended) {
		s.Ended = x.Ended
		s.Text = x.Text
	}
	s.Failed = s.Failed || x.Failed
	if !slices.Contains(s.Hosts, x.host) {
		s.Hosts = append(s.Hosts, x.host)
		slices.Sort(s.Hosts)
	}
}
