package report

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heatherford/core/code"
	"heatherford/core/rollup"
	"heatherford/core/strict"
)

// Input is what a report is built from.
type Input struct {
	// Day is the name of the day, and From and To bound it.
	Day  string
	From time.Time
	To   time.Time
	// Now is when the report is made.
	Now time.Time
	// Location is the time zone of the report's texts.
	Location *time.Location
	// Rolls are all roll-ups of the day in any order. Of two with the same
	// name the one with the higher sequence counts.
	Rolls []*rollup.Roll
	// Problems say what could not be read.
	Problems []string
}

// builder collects the sums for a report.
type builder struct {
	in     Input
	report *Report
	// rolls are distinct by name and ordered by it.
	rolls []*rollup.Roll
	kinds map[string]*sum
	ranks map[string]*sum
	slots map[time.Time]map[string]*SlotRank
	loads map[rollup.Bound]map[string]map[time.Time]*LoadSlot
}

// sum is a Kind or Rank whose histogram is still being merged.
type sum struct {
	kind    Kind
	target  float64
	codes   map[code.Code]uint64
	latency *hdrhistogram.Histogram
}

// Build returns the report for in.
func Build(in Input) *Report {
	b := &builder{
		in: in,
		report: &Report{
			Format:   Format,
			Day:      in.Day,
			TimeZone: in.Location.String(),
			From:     in.From,
			To:       in.To,
			MadeAt:   in.Now,
			location: in.Location,
			Reasons:  []string{},
			Missing:  slices.Sorted(slices.Values(in.Problems)),
			Notes:    []string{},
			Ranks:    []Rank{},
			Kinds:    []Kind{},
			Regions:  []Load{},
			Shifts:   []Span{},
			Drains:   []Span{},
			Stops:    []Stop{},
			Changes:  []Change{},
			Failures: []Span{},
			Outages:  []Span{},
			Slots:    []Slot{},
			Gaps:     []Gap{},
		},
		kinds: map[string]*sum{},
		ranks: map[string]*sum{},
		slots: map[time.Time]map[string]*SlotRank{},
		loads: map[rollup.Bound]map[string]map[time.Time]*LoadSlot{
			rollup.BoundRegion: {},
			rollup.BoundShift:  {},
			rollup.BoundLink:   {},
		},
	}
	if in.Problems == nil {
		b.report.Missing = []string{}
	}
	b.distinct()
	for _, r := range b.rolls {
		b.add(r)
	}
	b.work()
	b.series()
	b.spans()
	b.coverage()
	b.changes()
	b.judge()
	return b.report
}

// distinct keeps the newest roll-up of each name.
func (b *builder) distinct() {
	m := map[string]*rollup.Roll{}
	for _, r := range b.in.Rolls {
		if r.Hour.Before(b.in.From) || !r.Hour.Before(b.in.To) {
			continue
		}
		n := r.Name()
		if o := m[n]; o == nil || o.Sequence < r.Sequence {
			m[n] = r
		}
	}
	hosts := map[string]bool{}
	for _, r := range m {
		b.rolls = append(b.rolls, r)
		hosts[r.Host] = true
	}
	b.report.Hosts = len(hosts)
	slices.SortFunc(b.rolls, func(x, y *rollup.Roll) int {
		return cmp.Compare(x.Name(), y.Name())
	})
}

func (b *builder) add(r *rollup.Roll) {
	for _, k := range r.Kinds {
		b.addKind(r, k)
	}
	for _, s := range r.Slots {
		t := r.Hour.Add(time.Duration(s.Index) * rollup.SlotLength)
		b.addSlot(t, s)
	}
}

func (b *builder) addKind(r *rollup.Roll, k rollup.Kind) {
	s := find(b.kinds, k.Name)
	s.kind.Name = k.Name
	s.kind.Rank = k.Rank
	s.kind.RankIndex = k.RankIndex
	s.kind.Repeatable = k.Repeatable
	s.merge(k)
	t := find(b.ranks, k.Rank)
	t.kind.Name = k.Rank
	t.kind.RankIndex = k.RankIndex
	t.target = k.Target
	t.merge(k)
	b.latency(r, k, s.latency, t.latency)
}

func find(m map[string]*sum, name string) *sum {
	s, ok := m[name]
	if !ok {
		s = &sum{
			codes:   map[code.Code]uint64{},
			latency: rollup.NewLatency(),
		}
		m[name] = s
	}
	return s
}

func (s *sum) merge(k rollup.Kind) {
	s.kind.Merge(k.Counts)
	s.kind.Score += k.Score
	s.kind.Worth += k.Worth
	for c, n := range k.Codes {
		s.codes[c] += n
	}
}

func (b *builder) latency(r *rollup.Roll, k rollup.Kind, sums ...*hdrhistogram.Histogram) {
	if err := rollup.MergeLatency(k.Latency, sums...); err != nil {
		b.miss(fmt.Sprintf("The times of answers of %q at host %s in the hour from %s cannot be read: %v.",
			k.Name, r.Host, b.clock(r.Hour), err))
	}
}

func (b *builder) addSlot(t time.Time, s rollup.Slot) {
	for _, r := range s.Ranks {
		if b.slots[t] == nil {
			b.slots[t] = map[string]*SlotRank{}
		}
		x := b.slots[t][r.Rank]
		if x == nil {
			x = &SlotRank{
				Rank: r.Rank,
			}
			b.slots[t][r.Rank] = x
		}
		x.Asked += r.Asked
		x.Correct += r.Correct
	}
	b.addLoads(t, rollup.BoundRegion, s.Regions)
	b.addLoads(t, rollup.BoundShift, s.Shifts)
	b.addLoads(t, rollup.BoundLink, s.Links)
}

func (b *builder) addLoads(t time.Time, bound rollup.Bound, loads []rollup.SlotLoad) {
	m := b.loads[bound]
	for _, r := range loads {
		if m[r.Name] == nil {
			m[r.Name] = map[time.Time]*LoadSlot{}
		}
		x := m[r.Name][t]
		if x == nil {
			x = &LoadSlot{
				Start: t,
			}
			m[r.Name][t] = x
		}
		x.Cap = max(x.Cap, r.Cap)
		x.add(r.Samples)
		x.Mean += r.Seconds / b.slotSeconds(t)
	}
}

// slotSeconds returns the length of the slot as far as it is over.
func (b *builder) slotSeconds(t time.Time) float64 {
	d := min(b.in.Now.Sub(t), rollup.SlotLength)
	return max(d, time.Second).Seconds()
}

func (b *builder) work() {
	for _, s := range b.kinds {
		s.finish()
		b.report.Kinds = append(b.report.Kinds, s.kind)
	}
	slices.SortFunc(b.report.Kinds, func(x, y Kind) int {
		return cmp.Or(cmp.Compare(x.RankIndex, y.RankIndex), cmp.Compare(x.Name, y.Name))
	})
	for _, s := range b.ranks {
		s.finish()
		b.report.Ranks = append(b.report.Ranks, Rank{
			Name:   s.kind.Name,
			Index:  s.kind.RankIndex,
			Target: s.target,
			Work:   s.kind.Work,
		})
	}
	slices.SortFunc(b.report.Ranks, func(x, y Rank) int {
		return cmp.Or(cmp.Compare(x.Index, y.Index), cmp.Compare(x.Name, y.Name))
	})
}

func (s *sum) finish() {
	k := &s.kind
	if k.Asked > 0 {
		f := float64(k.Correct) / float64(k.Asked)
		k.Share = &f
	}
	if s.latency.TotalCount() > 0 {
		const median, high = 50, 99
		k.P50 = s.quantile(median)
		k.P99 = s.quantile(high)
	}
	k.Codes = []Code{}
	for c, n := range s.codes {
		k.Codes = append(k.Codes, Code{
			Code:    c,
			Outcome: c.Outcome(),
			Count:   n,
		})
	}
	slices.SortFunc(k.Codes, func(a, b Code) int {
		return cmp.Compare(a.Code, b.Code)
	})
}

func (s *sum) quantile(q float64) *strict.Duration {
	d := strict.Duration(time.Duration(s.latency.ValueAtPercentile(q)) * time.Microsecond)
	return &d
}

func (b *builder) series() {
	for t, m := range b.slots {
		x := Slot{
			Start: t,
		}
		for _, r := range b.report.Ranks {
			if m[r.Name] != nil {
				x.Ranks = append(x.Ranks, *m[r.Name])
			}
		}
		b.report.Slots = append(b.report.Slots, x)
	}
	slices.SortFunc(b.report.Slots, func(x, y Slot) int {
		return x.Start.Compare(y.Start)
	})
	b.report.Regions = b.loadsOf(rollup.BoundRegion)
	b.report.ShiftLoads = b.loadsOf(rollup.BoundShift)
	b.report.LinkLoads = b.loadsOf(rollup.BoundLink)
}

func (b *builder) loadsOf(bound rollup.Bound) []Load {
	s := []Load{}
	for n, m := range b.loads[bound] {
		s = append(s, newLoad(n, m))
	}
	slices.SortFunc(s, func(x, y Load) int {
		return cmp.Compare(x.Name, y.Name)
	})
	return s
}

func newLoad(name string, m map[time.Time]*LoadSlot) Load {
	r := Load{
		Name: name,
	}
	for _, s := range m {
		s.findPeak()
		r.Slots = append(r.Slots, *s)
	}
	slices.SortFunc(r.Slots, func(x, y LoadSlot) int {
		return x.Start.Compare(y.Start)
	})
	for i, s := range r.Slots {
		r.Cap = s.Cap
		r.Mean += s.Mean / float64(len(r.Slots))
		if s.Peak > r.Peak || i == 0 {
			r.Peak = s.Peak
			r.PeakAt = s.peakAt
		}
		if h := s.Cap - s.Peak; h < r.Headroom || i == 0 {
			r.Headroom = h
		}
	}
	return r
}

func (b *builder) miss(text string) {
	b.report.Missing = append(b.report.Missing, text)
}

// clock writes the time of day of t.
func (b *builder) clock(t time.Time) string {
	return t.In(b.in.Location).Format(time.TimeOnly)
}

// add adds one host's samples.
func (s *LoadSlot) add(samples []int) {
	for len(s.sums) < len(samples) {
		s.sums = append(s.sums, 0)
	}
	for i, n := range samples {
		s.sums[i] += n
	}
}

func (s *LoadSlot) findPeak() {
	s.peakAt = s.Start
	for i, n := range s.sums {
		if n > s.Peak {
			s.Peak = n
			s.peakAt = s.Start.Add(time.Duration(i) * rollup.SampleLength)
		}
	}
}
