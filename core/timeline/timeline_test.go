package timeline_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"heatherford/core/timeline"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// TestTimelineCausalOrder lets daemons with clocks minutes apart send each other
// stamps at random: the merged order puts every event after its causes.
func TestTimelineCausalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 4
		now := start
		clocks := []*timeline.Clock{}
		answers := make([]timeline.Answer, hosts)
		for range hosts {
			d := time.Duration(rapid.Int64Range(-int64(2*time.Minute), int64(2*time.Minute)).Draw(t, "skew"))
			clocks = append(clocks, timeline.NewClock(func() time.Time {
				return now.Add(d)
			}))
		}
		// causes[i] are the events that event i depends on directly.
		causes := [][]int{}
		last := [hosts]int{-1, -1, -1, -1}
		add := func(host int, at timeline.Stamp, other int) {
			causes = append(causes, []int{last[host], other})
			last[host] = len(causes) - 1
			answers[host].Events = append(answers[host].Events, timeline.Event{
				At:   at,
				Host: fmt.Sprint(host),
				Text: fmt.Sprint(last[host]),
			})
		}
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause")))
			a := rapid.IntRange(0, hosts-1).Draw(t, "from")
			b := rapid.IntRange(0, hosts-1).Draw(t, "to")
			s := clocks[a].Now()
			add(a, s, -1)
			sent := last[a]
			if a != b {
				add(b, clocks[b].Observe(s), sent)
			}
		}
		position := map[string]int{}
		for i, e := range timeline.Merge(answers) {
			position[e.Text] = i
		}
		for i, cs := range causes {
			for _, c := range cs {
				if c >= 0 && position[fmt.Sprint(c)] >= position[fmt.Sprint(i)] {
					t.Fatalf("event %d stands before its cause %d", i, c)
				}
			}
		}
	})
}

func TestTimelineClockIgnoresFarFuture(t *testing.T) {
	c := qt.New(t)
	k := timeline.NewClock(func() time.Time {
		return start
	})
	far := timeline.Stamp{
		Wall: start.Add(timeline.MaxAhead + time.Nanosecond).UnixNano(),
	}
	c.Assert(k.Observe(far).Time(), qt.Equals, start)
	near := timeline.Stamp{
		Wall:  start.Add(timeline.MaxAhead).UnixNano(),
		Count: 7,
	}
	c.Assert(k.Observe(near), qt.Equals, timeline.Stamp{
		Wall:  near.Wall,
		Count: 8,
	})
	p, err := timeline.ParseStamp(near.String())
	c.Assert(err, qt.IsNil)
	c.Assert(p, qt.Equals, near)
	_, err = timeline.ParseStamp("yesterday")
	c.Assert(err, qt.ErrorMatches, `timeline: "yesterday" is no stamp \[6005\]`)
}

// TestTimelineRing floods the ring with requests: other events stay, and the
// answer says that some are forgotten.
func TestTimelineRing(t *testing.T) {
	c := qt.New(t)
	r := timeline.NewRing(8)
	add := func(i int, request string, kind timeline.Kind) {
		r.Add(timeline.Event{
			At: timeline.Stamp{
				Wall: start.Add(time.Duration(i) * time.Second).UnixNano(),
			},
			Kind:    kind,
			Request: request,
			Text:    fmt.Sprint(i),
		})
	}
	add(0, "", timeline.KindGrant)
	for i := 1; i <= 9; i++ {
		add(i, fmt.Sprintf("r%d", i%3), timeline.KindRequest)
	}
	texts := func(q timeline.Query) (string, bool) {
		s := ""
		a := timeline.Select(r, "h1", q)
		for _, e := range a.Events {
			s += e.Text + " "
		}
		return s, a.Forgotten
	}
	s, forgotten := texts(timeline.Query{})
	c.Assert(s, qt.Equals, "0 6 7 8 9 ")
	c.Assert(forgotten, qt.IsTrue)
	s, forgotten = texts(timeline.Query{
		Request: "r0",
		Since:   start.Add(6 * time.Second),
	})
	c.Assert(s, qt.Equals, "6 9 ")
	c.Assert(forgotten, qt.IsFalse)
	s, _ = texts(timeline.Query{
		Kinds: []timeline.Kind{timeline.KindGrant, timeline.KindDrain},
	})
	c.Assert(s, qt.Equals, "0 ")
	s, forgotten = texts(timeline.Query{
		Since: start.Add(6 * time.Second),
		Limit: 2,
	})
	c.Assert(s, qt.Equals, "8 9 ")
	c.Assert(forgotten, qt.IsTrue)
}
