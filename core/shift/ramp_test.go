package shift

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"heatherford/internal/rapidtb"
)

var start = time.Unix(1000, 0)

func TestMain(m *testing.M) {
	rapidtb.Main(m)
}

func at(now time.Time, latency time.Duration, use float64) Measurement {
	return Measurement{
		At:      now,
		Latency: latency,
		Use:     use,
	}
}

// run calls Step once a second and returns the time afterwards.
func run(r *Ramp, now time.Time, seconds int, declared float64, to func(now time.Time) Measurement) time.Time {
	for range seconds {
		now = now.Add(time.Second)
		r.Step(now, declared, at(now, 20*time.Millisecond, 0.5), to(now))
	}
	return now
}

// TestShiftRamp takes one shift through cold endpoints, growth, missing
// measurements, a rise in latency, a step back and completion.
func TestShiftRamp(t *testing.T) {
	c := qt.New(t)
	r := New()
	cold := func(now time.Time) Measurement { return at(now, 60*time.Millisecond, 0.5) }
	warm := func(now time.Time) Measurement { return at(now, 20*time.Millisecond, 0.5) }
	now := run(r, start, 1, 0.8, warm)
	c.Assert(r.Share, qt.Equals, firstShare)
	now = run(r, now, 20, 0.8, cold)
	c.Assert(r.Share, qt.Equals, firstShare)
	c.Assert(r.Phase, qt.Equals, Holding)
	c.Assert(r.Reason, qt.Equals, "latency in the receiving region is 60ms, over 25ms")
	now = run(r, now, 7, 0.8, warm)
	grown := r.Share
	c.Assert(grown > firstShare && grown < 0.8, qt.IsTrue)
	now = run(r, now, 20, 0.8, func(time.Time) Measurement { return at(start, 20*time.Millisecond, 0.5) })
	c.Assert(r.Share, qt.Equals, grown)
	c.Assert(r.Phase, qt.Equals, Holding)
	now = run(r, now, 1, 0.8, warm)
	taken := r.Share
	c.Assert(taken > grown, qt.IsTrue)
	now = run(r, now, 2, 0.8, cold)
	c.Assert(r.Phase, qt.Equals, Stopped)
	c.Assert(r.Reason, qt.Equals, "latency in the receiving region is 60ms, over 32ms")
	c.Assert(r.Share, qt.Equals, grown)
	now = run(r, now, 20, 0.8, warm)
	c.Assert(r.Share, qt.Equals, grown)
	now = run(r, now, 60, 0.8, warm)
	c.Assert(r.Share, qt.Equals, 0.8)
	c.Assert(r.Phase, qt.Equals, Complete)
	now = run(r, now, 1, 0.8, func(now time.Time) Measurement { return at(now, 20*time.Millisecond, 1.3) })
	c.Assert(r.Phase, qt.Equals, Stopped)
	c.Assert(r.Reason, qt.Equals, "work in the receiving region asks for 130% of its slots")
	run(r, now, 1, 0.1, warm)
	c.Assert(r.Share, qt.Equals, 0.1)
}

// TestShiftBounds checks for any measurements that the share is never above the
// declared one, and that it grows by one step at most and only on a fresh
// measurement with spare slots.
func TestShiftBounds(t *testing.T) {
	rapid.Check(t, func(x *rapid.T) {
		c := rapidtb.New(t, x)
		r := New()
		now := start.Add(time.Minute)
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(100, 3000).Draw(x, "ms")) * time.Millisecond)
			declared := rapid.Float64Range(0, 1).Draw(x, "declared")
			to := at(
				now.Add(-time.Duration(rapid.IntRange(0, 14).Draw(x, "age"))*time.Second),
				time.Duration(rapid.IntRange(0, 80).Draw(x, "latency"))*time.Millisecond,
				rapid.Float64Range(0, 1.5).Draw(x, "use"),
			)
			share := r.Share
			r.Step(now, declared, at(now, 20*time.Millisecond, 0.5), to)
			c.Assert(r.Share >= 0 && r.Share <= declared, qt.IsTrue)
			if r.Share > share {
				c.Assert(now.Sub(to.At) <= staleAge && to.Use < holdUtilization, qt.IsTrue)
				c.Assert(r.Share <= max(firstShare, share*growthFactor), qt.IsTrue)
			}
			c.Assert((r.Phase == Holding || r.Phase == Stopped) == (r.Reason != ""), qt.IsTrue)
		}
	})
}
