package drain_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/drain"
	"heatherford/core/timeline"
)

var subject = drain.Subject{
	Kind: drain.Endpoint,
	Name: "desk-1",
}

func leaving(inFlight int) []drain.Leaving {
	return []drain.Leaving{
		{
			Subject:  subject,
			Source:   drain.SourceDeclaration,
			InFlight: inFlight,
		},
	}
}

// TestDrainEndsOnceItStaysQuiet checks that a moment without requests in flight does not end a
// drain: a request that was admitted before may still arrive.
func TestDrainEndsOnceItStaysQuiet(t *testing.T) {
	c := qt.New(t)
	x := drain.NewTracker()
	at := time.Unix(1000, 0)
	tick := func(n int) (begun, ended int) {
		at = at.Add(100 * time.Millisecond)
		b, e := x.Observe(at, leaving(n))
		return len(b), len(e)
	}
	b, e := tick(2)
	c.Assert([]int{b, e}, qt.DeepEquals, []int{1, 0})
	tick(0)
	tick(1)
	idle := at.Add(100 * time.Millisecond)
	for range 3 {
		_, e = tick(0)
		c.Assert(e, qt.Equals, 0)
		c.Assert(x.All()[0].IdleAt.IsZero(), qt.IsTrue)
	}
	_, e = tick(0)
	c.Assert(e, qt.Equals, 1)
	c.Assert(x.All()[0].IdleAt, qt.Equals, idle)
	_, e = tick(0)
	c.Assert(e, qt.Equals, 0)
	x.Observe(at, nil)
	c.Assert(x.All(), qt.HasLen, 0)
}

// TestDrainSigns checks that the latest notice of a subject applies, whatever the order of
// arrival, and that it is dropped unless it is renewed.
func TestDrainSigns(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	notice := func(wall int64, leaving bool) drain.Notice {
		return drain.Notice{
			Subject: subject,
			Leaving: leaving,
			At: timeline.Stamp{
				Wall: wall,
			},
		}
	}
	s := drain.New()
	c.Assert(s.RenewalDue(now, subject, false), qt.IsFalse)
	c.Assert(s.RenewalDue(now, subject, true), qt.IsTrue)
	c.Assert(s.Merge(now, notice(1, true)), qt.IsTrue)
	c.Assert(s.RenewalDue(now, subject, true), qt.IsFalse)
	c.Assert(s.RenewalDue(now.Add(5*time.Second), subject, true), qt.IsTrue)
	c.Assert(s.Merge(now, notice(3, false)), qt.IsTrue)
	c.Assert(s.Merge(now, notice(2, true)), qt.IsFalse)
	_, leaving := s.Leaving(subject)
	c.Assert(leaving, qt.IsFalse)
	c.Assert(s.Merge(now, notice(4, true)), qt.IsTrue)
	c.Assert(s.NextGossip(3), qt.DeepEquals, []drain.Notice{notice(4, true)})
	c.Assert(s.Expire(now.Add(29*time.Second)), qt.IsFalse)
	c.Assert(s.Expire(now.Add(30*time.Second)), qt.IsTrue)
	_, leaving = s.Leaving(subject)
	c.Assert(leaving, qt.IsFalse)
}
