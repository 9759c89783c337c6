package quota

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"heatherford/core/intent"
	"heatherford/internal/rapidtb"
)

func limits() *rapid.Generator[Limits] {
	return rapid.Custom(func(t *rapid.T) Limits {
		l := Limits{
			Slots: rapid.IntRange(0, 9).Draw(t, "slots"),
		}
		for _, n := range []CapName{"link/a/b", "shift/s"} {
			if rapid.Bool().Draw(t, "has") {
				l.Shares = append(l.Shares, CapShare{
					Name:  n,
					Limit: rapid.IntRange(0, 9).Draw(t, "limit"),
				})
			}
		}
		return l
	})
}

// TestCapSplit checks that the parts of limits that an owner keeps and gives up without a lease
// never sum to more than the whole, nor do a part and what Minus leaves beside it.
func TestCapSplit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := rapidtb.New(t, r)
		a := limits().Draw(r, "a")
		b := limits().Draw(r, "b")
		c.Assert(a.Covers(a.Reduced().Plus(a.Leased())), qt.IsTrue)
		c.Assert(a.Covers(a.Min(b)), qt.IsTrue)
		c.Assert(b.Covers(a.Min(b)), qt.IsTrue)
		if a.Covers(b) {
			c.Assert(a.Covers(b.Plus(a.Minus(b))), qt.IsTrue)
		}
		c.Assert(a.Slots == 0 || a.Reduced().Slots >= a.Leased().Slots, qt.IsTrue)
	})
}

// TestCapDivide checks that the shares of every cap sum to at most the cap, and that no
// upstream gets nothing while another has more than one slot.
func TestCapDivide(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := rapidtb.New(t, r)
		d := &intent.Declaration{
			Regions: []intent.Region{
				{
					Name:  "a",
					Zones: []string{"a1", "a2"},
					Cap:   rapid.IntRange(1, 60).Draw(r, "cap"),
				},
			},
			Links: []intent.Link{
				{
					From: "b",
					To:   "a",
					Cap:  rapid.IntRange(1, 60).Draw(r, "link"),
				},
			},
			Shifts: []intent.Shift{
				{
					Name:     "s",
					Upstream: "u0",
					From:     "b",
					To:       "a",
					Cap:      rapid.IntRange(1, 30).Draw(r, "shift"),
				},
			},
		}
		for i := range 3 {
			u := intent.Upstream{
				Name: fmt.Sprintf("u%d", i),
			}
			for j := range rapid.IntRange(1, 6).Draw(r, "endpoints") {
				u.Endpoints = append(u.Endpoints, intent.Endpoint{
					Name:    fmt.Sprintf("u%d-%d", i, j),
					Zone:    d.Regions[0].Zones[j%2],
					Slots:   rapid.IntRange(1, 9).Draw(r, "slots"),
					Leaving: j > 0 && rapid.Bool().Draw(r, "leaving"),
				})
			}
			d.Upstreams = append(d.Upstreams, u)
		}
		m := Divide(d)
		total, link, shift, least, most := 0, 0, 0, 1000, 0
		for i, u := range d.Upstreams {
			sum := 0
			for _, e := range u.Endpoints {
				l := m[e.Name]
				c.Assert(l.Slots <= e.Slots, qt.IsTrue)
				c.Assert(e.Leaving && l.Slots > 0, qt.IsFalse)
				sum += l.Slots
				link += l.Of(LinkCap("b", "a"))
				if i == 0 {
					shift += l.Of(ShiftCap("s"))
				}
			}
			total += sum
			least = min(least, sum)
			most = max(most, sum)
		}
		c.Assert(total <= d.Regions[0].Cap, qt.IsTrue)
		c.Assert(link <= d.Links[0].Cap, qt.IsTrue)
		c.Assert(shift <= d.Shifts[0].Cap, qt.IsTrue)
		c.Assert(least > 0 || most <= 1, qt.IsTrue)
	})
}

// TestCapLedger checks the limits of one endpoint before and after the end of its lease.
func TestCapLedger(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	until := now.Add(time.Second)
	l := &Ledger{}
	l.Set(Allowance{
		Full: Limits{
			Slots: 4,
			Shares: []CapShare{
				{
					Name:  "shift/s",
					Limit: 1,
				},
			},
		},
		BeyondLease: Limits{
			Slots: 2,
		},
		Reduced: Limits{
			Slots: 1,
		},
		Until: until,
	})
	enter := func(at time.Time, d time.Duration, caps ...CapName) Refusal {
		_, r := l.Reserve(at, Request{
			Deadline: at.Add(d),
			Caps:     caps,
		})
		return r
	}
	c.Assert(enter(now, time.Minute), qt.Equals, Allowed)
	c.Assert(enter(now, time.Minute), qt.Equals, Allowed)
	c.Assert(enter(now, time.Minute), qt.Equals, NoLease)
	c.Assert(enter(now, time.Second, "shift/s"), qt.Equals, Allowed)
	c.Assert(enter(now, time.Second, "shift/s"), qt.Equals, NoCapShare)
	f, r := l.Reserve(now, Request{
		Deadline: until,
	})
	c.Assert(r, qt.Equals, Allowed)
	c.Assert(enter(now, time.Second), qt.Equals, NoSlot)
	l.Release(f)
	c.Assert(l.InFlight(), qt.Equals, 3)
	c.Assert(enter(until, time.Millisecond), qt.Equals, NoSlot)
	c.Assert(l.Within(until, until, Limits{Slots: 2}), qt.IsTrue)
	c.Assert(l.Within(until, time.Time{}, Limits{Slots: 2}), qt.IsFalse)
}

// TestCapRank checks that less urgent requests get no more than their floor of a cap for a
// while after the cap refused an urgent one.
func TestCapRank(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	l := &Ledger{}
	limits := Limits{
		Slots: 9,
		Shares: []CapShare{
			{
				Name:  "link/a/b",
				Limit: 4,
			},
		},
	}
	l.Set(Allowance{
		Full:        limits,
		BeyondLease: limits,
		Reduced:     limits,
	})
	request := func(rank int) Request {
		return Request{
			Deadline: now.Add(time.Minute),
			Caps:     []CapName{"link/a/b"},
			Rank:     rank,
			Floor:    0.25,
		}
	}
	batch := []*Reservation{}
	for range 4 {
		f, r := l.Reserve(now, request(1))
		c.Assert(r, qt.Equals, Allowed)
		batch = append(batch, f)
	}
	c.Assert(l.BlockedByCap(now, request(0)), qt.IsTrue)
	l.Release(batch[0])
	c.Assert(l.Check(now, request(1)), qt.Equals, NoCapShare)
	_, r := l.Reserve(now, request(0))
	c.Assert(r, qt.Equals, Allowed)
	for _, f := range batch[1:] {
		l.Release(f)
	}
	// The floor of the batch rank is one request.
	_, r = l.Reserve(now, request(1))
	c.Assert(r, qt.Equals, Allowed)
	c.Assert(l.Check(now, request(1)), qt.Equals, NoCapShare)
	c.Assert(l.Check(now.Add(yieldTime), request(1)), qt.Equals, Allowed)
}
