package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/intent"
	"heatherford/core/quota"
	"heatherford/core/snapshot"
	"heatherford/core/work"
)

// TestWithinLease checks which requests get the lease's end as their deadline:
// repeatable ones whose mean service time is much shorter than the lease, and
// non-repeatable ones only if they also keep most of their time.
func TestWithinLease(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000, 0)
	const lease, usual = 2 * time.Second, 100 * time.Millisecond
	d := newDispatcher(func() time.Time { return now }, nil)
	d.Ledger("e1").Set(quota.Allowance{
		Until: now.Add(lease),
	})
	own := &snapshot.Own{
		Endpoint: intent.Endpoint{
			Name: "e1",
		},
		Longest: time.Minute,
	}
	for _, x := range []struct {
		repeatable bool
		left       time.Duration
		usual      time.Duration
		want       time.Duration
	}{
		{true, 10 * time.Second, usual, lease},
		{true, 10 * time.Second, time.Second, 10 * time.Second},
		{true, 10 * time.Second, 0, 10 * time.Second},
		{true, time.Second, usual, time.Second},
		{false, 2500 * time.Millisecond, usual, lease},
		{false, 2500 * time.Millisecond, 300 * time.Millisecond, 2500 * time.Millisecond},
		// A deposit charge has 5 s. One that takes 3 s must not be cut short at 2 s.
		{false, 5 * time.Second, usual, 5 * time.Second},
	} {
		r := &work.Request{
			Kind: intent.Kind{
				Repeatable: x.repeatable,
			},
			Deadline: now.Add(x.left),
		}
		c.Check(d.deadlineAt(now, own, r, x.usual).Sub(now), qt.Equals, x.want, qt.Commentf("%+v", x))
	}
}
