package rollup

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heatherford/core/code"
	"heatherford/core/outcome"
	"heatherford/core/timeline"
)

const (
	// maxIncidents and maxVersions bound a roll-up.
	maxIncidents = 200
	maxVersions  = 500
)

// hour is a roll-up that is being counted.
type hour struct {
	roll      Roll
	kinds     map[string]*kind
	ranks     map[rankSlot]*SlotRank
	loads     map[loadSlot]*SlotLoad
	incidents []Incident
	versions  map[uint64]*Version
	listed    map[string]bool
}

type kind struct {
	Kind
	latency *hdrhistogram.Histogram
}

type rankSlot struct {
	slot int
	rank string
}

type loadSlot struct {
	slot  int
	bound Bound
	name  string
}

func newHour(r Roll) *hour {
	return &hour{
		roll:     r,
		kinds:    map[string]*kind{},
		ranks:    map[rankSlot]*SlotRank{},
		loads:    map[loadSlot]*SlotLoad{},
		versions: map[uint64]*Version{},
		listed:   map[string]bool{},
	}
}

// slot returns the index of the slot that t is in.
func (h *hour) slot(t time.Time) int {
	n := int(t.Sub(h.roll.Hour) / SlotLength)
	return min(max(n, 0), Slots-1)
}

func (h *hour) result(x outcome.Result) {
	k, ok := h.kinds[x.Kind]
	if !ok {
		k = &kind{
			Kind: Kind{
				Name:  x.Kind,
				Codes: map[code.Code]uint64{},
			},
			latency: NewLatency(),
		}
		h.kinds[x.Kind] = k
	}
	k.Rank = x.Rank
	k.RankIndex = x.RankIndex
	k.Repeatable = x.Repeatable
	k.Target = x.Target
	k.Add(x)
	k.Worth += x.Weight
	if x.Code == code.Answered {
		recordLatency(k.latency, x.Elapsed)
	} else {
		k.Codes[x.Code]++
	}
	if x.Correct {
		k.Score += x.Weight
	}
	h.resultSlot(x)
}

func (h *hour) resultSlot(x outcome.Result) {
	key := rankSlot{
		slot: h.slot(x.At),
		rank: x.Rank,
	}
	s, ok := h.ranks[key]
	if !ok {
		s = &SlotRank{
			Rank:  x.Rank,
			Index: x.RankIndex,
		}
		h.ranks[key] = s
	}
	s.Asked++
	if x.Correct {
		s.Correct++
	}
}

// sample takes a load that has lasted for d. With full, it is the first one since
// a full SampleLength.
func (h *hour) sample(now time.Time, l Load, d time.Duration, full bool) {
	key := loadSlot{
		slot:  h.slot(now),
		bound: l.Bound,
		name:  l.Name,
	}
	s, ok := h.loads[key]
	if !ok {
		s = &SlotLoad{
			Name: l.Name,
		}
		h.loads[key] = s
	}
	s.Cap = l.Cap
	s.Seconds += float64(l.InFlight) * d.Seconds()
	if full {
		s.set(int(now.Sub(h.roll.Hour)%SlotLength/SampleLength), l.InFlight)
	}
}

// set makes the i-th sample n.
func (s *SlotLoad) set(i, n int) {
	if i < 0 || n == 0 {
		return
	}
	for len(s.Samples) <= i {
		s.Samples = append(s.Samples, 0)
	}
	s.Samples[i] = n
}

func (h *hour) event(e timeline.Event) {
	if e.Kind == timeline.KindConfig {
		h.version(e)
		return
	}
	t := e.At.Time()
	if e.Phase == timeline.PhaseBegun {
		h.begin(Incident{
			Kind:    e.Kind,
			Subject: e.Subject,
			Begun:   t,
			Text:    e.Text,
		})
		return
	}
	i := h.open(e)
	if i == nil {
		h.begin(Incident{
			Kind:    e.Kind,
			Subject: e.Subject,
			Ended:   t,
			Failed:  e.Phase == timeline.PhaseFailed,
			Text:    e.Text,
		})
		return
	}
	i.Ended = t
	i.Failed = e.Phase == timeline.PhaseFailed
	i.Text = e.Text
}

// open returns the incident that e ends, or nil.
func (h *hour) open(e timeline.Event) *Incident {
	for j := range h.incidents {
		i := &h.incidents[j]
		if i.Kind == e.Kind && i.Subject == e.Subject && i.Ended.IsZero() {
			return i
		}
	}
	return nil
}

// begin adds an incident unless the same one is open.
func (h *hour) begin(i Incident) {
	if i.Ended.IsZero() && h.open(timeline.Event{
		Kind:    i.Kind,
		Subject: i.Subject,
	}) != nil {
		return
	}
	if len(h.incidents) == maxIncidents {
		h.roll.Omitted++
		return
	}
	h.incidents = append(h.incidents, i)
}

func (h *hour) version(e timeline.Event) {
	n, err := strconv.ParseUint(e.Subject, 10, 64)
	if err != nil {
		return
	}
	v, ok := h.versions[n]
	if !ok {
		if len(h.versions) == maxVersions {
			h.roll.Omitted++
			return
		}
		v = &Version{
			Number: n,
		}
		h.versions[n] = v
	}
	if e.Phase == timeline.PhaseBegun {
		v.ConfirmedAt = e.At.Time()
		return
	}
	v.InForceAt = e.At.Time()
}

// encode returns the roll-up's object with all that was counted.
func (h *hour) encode() (Object, error) {
	r := h.roll
	r.Sequence++
	h.roll.Sequence = r.Sequence
	for _, k := range h.kinds {
		b, err := encodeLatency(k.latency)
		if err != nil {
			return Object{}, err
		}
		c := k.Kind
		c.Latency = b
		r.Kinds = append(r.Kinds, c)
	}
	slices.SortFunc(r.Kinds, func(a, b Kind) int {
		return cmp.Compare(a.Name, b.Name)
	})
	r.Slots = h.slots()
	r.Incidents = h.incidents
	for _, v := range h.versions {
		r.Versions = append(r.Versions, *v)
	}
	slices.SortFunc(r.Versions, func(a, b Version) int {
		return cmp.Compare(a.Number, b.Number)
	})
	for n := range h.listed {
		r.Listed = append(r.Listed, n)
	}
	slices.Sort(r.Listed)
	return r.Encode()
}

func (h *hour) slots() []Slot {
	all := make([]Slot, Slots)
	for k, r := range h.ranks {
		all[k.slot].Ranks = append(all[k.slot].Ranks, *r)
	}
	for k, l := range h.loads {
		all[k.slot].add(k.bound, *l)
	}
	s := []Slot{}
	for i, x := range all {
		if len(x.Ranks)+len(x.Regions)+len(x.Shifts)+len(x.Links) == 0 {
			continue
		}
		x.Index = i
		slices.SortFunc(x.Ranks, func(a, b SlotRank) int {
			return cmp.Compare(a.Index, b.Index)
		})
		for _, l := range [][]SlotLoad{x.Regions, x.Shifts, x.Links} {
			slices.SortFunc(l, func(a, b SlotLoad) int {
				return cmp.Compare(a.Name, b.Name)
			})
		}
		s = append(s, x)
	}
	return s
}

func (s *Slot) add(b Bound, l SlotLoad) {
	switch b {
	case BoundShift:
		s.Shifts = append(s.Shifts, l)
	case BoundLink:
		s.Links = append(s.Links, l)
	default:
		s.Regions = append(s.Regions, l)
	}
}
