package rollup_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"heatherford/core/code"
	"heatherford/core/outcome"
	"heatherford/core/rollup"
	"heatherford/core/timeline"
)

var start = time.Date(2026, 12, 4, 12, 50, 0, 0, time.UTC)

// bench is two hosts that write to one platform, which may be down.
type bench struct {
	now      time.Time
	platform map[string][]byte
	keepers  map[string]*rollup.Keeper
}

func newBench() *bench {
	b := &bench{
		now:      start,
		platform: map[string][]byte{},
		keepers:  map[string]*rollup.Keeper{},
	}
	for _, h := range []string{"h1", "h2"} {
		b.keepers[h] = rollup.New(rollup.Options{
			Host:        h,
			Region:      "ulaanbaatar",
			Incarnation: "a",
			Now: func() time.Time {
				return b.now
			},
		})
	}
	return b
}

// write writes what the host has, until the platform fails at call failing.
// With lost, the failing call takes effect but its answer is lost.
func (b *bench) write(host string, failing int, lost bool) {
	s, err := b.keepers[host].Objects()
	if err != nil {
		panic(err)
	}
	for i, o := range s {
		if i == failing && !lost {
			return
		}
		b.platform[o.Name] = o.Data
		if i == failing {
			return
		}
		b.keepers[host].Wrote(o)
	}
}

func (b *bench) counts(t interface{ Fatal(args ...any) }) outcome.Counts {
	sum := outcome.Counts{}
	for _, d := range b.platform {
		r, err := rollup.Decode(d)
		if err != nil {
			t.Fatal(err)
		}
		latency := rollup.NewLatency()
		for _, k := range r.Kinds {
			sum.Merge(k.Counts)
			if err := rollup.MergeLatency(k.Latency, latency); err != nil {
				t.Fatal(err)
			}
			if n := latency.TotalCount(); n != int64(k.Correct+k.Late) {
				t.Fatal("latencies", n)
			}
		}
	}
	return sum
}

// TestRollUpCountsOnce writes at random, again and again, in outages, over the
// hour, and hands over to another host at a stop: in the end every result is
// counted once.
func TestRollUpCountsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench()
		want := outcome.Counts{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			b.now = b.now.Add(time.Duration(rapid.Int64Range(0, int64(5*time.Minute)).Draw(t, "pause")))
			h := rapid.SampledFrom([]string{"h1", "h2"}).Draw(t, "host")
			if rapid.Bool().Draw(t, "write") {
				b.write(h, rapid.IntRange(0, 4).Draw(t, "failing"), rapid.Bool().Draw(t, "lost"))
				continue
			}
			x := outcome.Result{
				Kind: "deposit-charge",
				Rank: "standard",
				Code: rapid.SampledFrom([]code.Code{code.Answered, code.NoEndpoint, code.OutcomeUnknown}).Draw(t, "code"),
				At:   b.now,
			}
			x.Correct = x.Code == code.Answered
			want.Add(x)
			b.keepers[h].Result(x)
		}
		// h1 leaves in an outage and h2 keeps what it had.
		b.keepers["h1"].Stop()
		s, err := b.keepers["h1"].Objects()
		if err != nil {
			t.Fatal(err)
		}
		if n := b.keepers["h2"].Take(s); n != len(s) {
			t.Fatal("taken", n)
		}
		b.keepers["h2"].Stop()
		const never = -1
		b.write("h2", never, false)
		if got := b.counts(t); got != want {
			t.Fatalf("counted %+v, expected %+v", got, want)
		}
	})
}

// TestRollUpEvents takes begins and ends over the turn of the hour.
func TestRollUpEvents(t *testing.T) {
	c := qt.New(t)
	b := newBench()
	k := b.keepers["h1"]
	event := func(kind timeline.Kind, p timeline.Phase, subject string) {
		k.Event(timeline.Event{
			At: timeline.Stamp{
				Wall: b.now.UnixNano(),
			},
			Kind:    kind,
			Phase:   p,
			Subject: subject,
			Text:    string(p),
		})
	}
	event(timeline.KindConfig, timeline.PhaseBegun, "7")
	event(timeline.KindConfig, timeline.PhaseEnded, "7")
	event(timeline.KindPlatform, timeline.PhaseBegun, "")
	event(timeline.KindPlatform, timeline.PhaseBegun, "")
	event(timeline.KindDrain, "", "desk-1")
	b.now = start.Add(15 * time.Minute)
	event(timeline.KindPlatform, timeline.PhaseEnded, "")
	event(timeline.KindMember, timeline.PhaseFailed, "h2")
	k.Hosts([]string{"h1", "h2"})
	s, err := k.Objects()
	c.Assert(err, qt.IsNil)
	c.Assert(s, qt.HasLen, 2)
	first, err := rollup.Decode(s[0].Data)
	c.Assert(err, qt.IsNil)
	c.Assert(first.Closed, qt.IsTrue)
	c.Assert(first.To, qt.Equals, first.Hour.Add(time.Hour))
	c.Assert(first.Versions, qt.DeepEquals, []rollup.Version{
		{
			Number:      7,
			ConfirmedAt: start,
			InForceAt:   start,
		},
	})
	c.Assert(first.Incidents, qt.HasLen, 1)
	c.Assert(first.Incidents[0].Ended.IsZero(), qt.IsTrue)
	second, err := rollup.Decode(s[1].Data)
	c.Assert(err, qt.IsNil)
	c.Assert(second.Closed, qt.IsFalse)
	c.Assert(second.Listed, qt.DeepEquals, []string{"h1", "h2"})
	c.Assert(second.Incidents, qt.DeepEquals, []rollup.Incident{
		{
			Kind:  timeline.KindPlatform,
			Begun: start,
			Ended: b.now,
			Text:  "ended",
		},
		{
			Kind:    timeline.KindMember,
			Subject: "h2",
			Ended:   b.now,
			Failed:  true,
			Text:    "failed",
		},
	})
}

// TestRollUpPendingIsBounded keeps an outage of weeks within the bound and says
// how many roll-ups were dropped.
func TestRollUpPendingIsBounded(t *testing.T) {
	c := qt.New(t)
	b := newBench()
	k := b.keepers["h1"]
	const hours, kept = 600, 512
	for range hours {
		b.now = b.now.Add(time.Hour)
		k.Sample(nil)
	}
	s, err := k.Objects()
	c.Assert(err, qt.IsNil)
	c.Assert(s, qt.HasLen, kept+1)
	r, err := rollup.Decode(s[kept].Data)
	c.Assert(err, qt.IsNil)
	c.Assert(r.Lost, qt.Equals, hours-kept)
	c.Assert(k.Take([]rollup.Object{
		{
			Name: "config/head",
		},
	}), qt.Equals, 0)
}
