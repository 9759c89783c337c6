package registry_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/registry"
	"heatherford/core/route"
)

var start = time.Unix(1_000_000, 0)

func listed(id string, version, sequence uint64) registry.Record {
	return registry.Record{
		Version: version,
		Endpoint: &registry.Endpoint{
			ID:       id,
			Upstream: "desk",
			Address:  netip.MustParseAddrPort("10.0.0.1:80"),
			Zone:     "east",
			Slots:    3,
			Born:     start,
			Sequence: sequence,
		},
	}
}

func gone(id string, version uint64) registry.Record {
	return registry.Record{
		Version: version,
		Removed: true,
		Endpoint: &registry.Endpoint{
			ID: id,
		},
	}
}

func update(p registry.Part, version uint64, records ...registry.Record) registry.Update {
	return registry.Update{
		Part:    p,
		Version: version,
		Records: records,
	}
}

func usable(r *registry.Registry) []string {
	s := []string{}
	for _, e := range r.Usable() {
		s = append(s, e.ID)
	}
	return s
}

// TestLeavingAndGone takes endpoints out at once that leave or are gone.
func TestLeavingAndGone(t *testing.T) {
	c := qt.New(t)
	r := registry.New()
	r.Apply(update(registry.Endpoints, 5, listed("a", 3, 1), listed("b", 4, 1), listed("c", 5, 1)), start, start)
	leaving := listed("b", 6, 2)
	leaving.Endpoint.Leaving = true
	c.Assert(r.Apply(update(registry.Endpoints, 7, leaving, gone("c", 7)), start, start), qt.IsTrue)
	c.Assert(usable(r), qt.DeepEquals, []string{"a"})
	// A report that was on its way for long does not bring it back.
	c.Assert(r.Apply(update(registry.Endpoints, 8, listed("c", 5, 1), listed("b", 5, 1)), start, start), qt.IsFalse)
	c.Assert(usable(r), qt.DeepEquals, []string{"a"})
}

// TestReportsThatChangeNothing counts only what matters to traffic as a change.
func TestReportsThatChangeNothing(t *testing.T) {
	c := qt.New(t)
	r := registry.New()
	r.Apply(update(registry.Endpoints, 5, listed("a", 3, 1)), start, start)
	c.Assert(r.Apply(update(registry.Endpoints, 9, listed("a", 9, 2)), start, start), qt.IsFalse)
	c.Assert(r.Version(registry.Endpoints), qt.Equals, uint64(9))
	c.Assert(r.Changed(registry.Endpoints), qt.Equals, uint64(5))
	// The next incarnation under the same name starts its counts anew.
	again := listed("a", 10, 1)
	again.Endpoint.Born = start.Add(time.Second)
	again.Endpoint.ColdLeft = 3 * time.Second
	c.Assert(r.Apply(update(registry.Endpoints, 10, again), start, start), qt.IsTrue)
	c.Assert(r.Usable()[0].ColdUntil, qt.Equals, start.Add(3*time.Second))
}

// TestLapsedWhilePlatformWasAway believes entries that lapsed while the platform was
// away for two seconds after its return, and no longer.
func TestLapsedWhilePlatformWasAway(t *testing.T) {
	c := qt.New(t)
	r := registry.New()
	r.Apply(update(registry.Endpoints, 5, listed("a", 3, 1), listed("b", 4, 1)), start, start)
	back := start.Add(10 * time.Second)
	r.Returned(back)
	r.Apply(update(registry.Endpoints, 8, gone("a", 6), gone("b", 7)), back, back)
	c.Assert(usable(r), qt.DeepEquals, []string{"a", "b"})
	r.Apply(update(registry.Endpoints, 9, listed("a", 9, 2)), back, back.Add(time.Second))
	c.Assert(r.Expire(back.Add(1900*time.Millisecond)), qt.IsFalse)
	c.Assert(r.Expire(back.Add(2*time.Second)), qt.IsTrue)
	c.Assert(usable(r), qt.DeepEquals, []string{"a"})
}

// TestLapsedIsPassedOn guards against sending to endpoints that are gone: a host that
// believed their entries for a while after the platform's return passes on that they are
// gone after all.
func TestLapsedIsPassedOn(t *testing.T) {
	c := qt.New(t)
	a, b := registry.New(), registry.New()
	first := update(registry.Endpoints, 5, listed("a", 3, 1), listed("b", 4, 1))
	a.Apply(first, start, start)
	b.Apply(first, start, start)
	a.Returned(start)
	a.Apply(update(registry.Endpoints, 8, gone("a", 7)), start, start)
	pass := func(now time.Time) {
		if p := registry.Endpoints; !b.Confirm(p, a.Version(p), a.Changed(p), now) {
			b.Apply(a.Since(p, b.Version(p), now), now, now)
		}
	}
	pass(start)
	c.Check(usable(a), qt.DeepEquals, []string{"a", "b"})
	c.Check(usable(b), qt.DeepEquals, []string{"a", "b"})
	// What the same host tells again changes nothing.
	changes := b.Changes()
	b.Apply(a.Since(registry.Endpoints, 5, start), start, start)
	c.Check(b.Changes(), qt.Equals, changes)
	late := start.Add(2 * time.Second)
	a.Expire(late)
	b.Expire(late)
	pass(late)
	c.Check(usable(a), qt.DeepEquals, []string{"b"})
	c.Check(usable(b), qt.DeepEquals, []string{"b"})
}

// TestBackIsPassedOn guards against the loss of endpoints that live: one that is listed
// again in time is so at other hosts too.
func TestBackIsPassedOn(t *testing.T) {
	c := qt.New(t)
	a, b := registry.New(), registry.New()
	pass := func(now time.Time) {
		b.Apply(a.Since(registry.Endpoints, b.Version(registry.Endpoints), now), now, now)
	}
	a.Apply(update(registry.Endpoints, 5, listed("a", 3, 1)), start, start)
	pass(start)
	a.Returned(start)
	a.Apply(update(registry.Endpoints, 8, gone("a", 7)), start, start)
	pass(start)
	a.Apply(update(registry.Endpoints, 9, listed("a", 9, 2)), start, start.Add(time.Second))
	pass(start.Add(time.Second))
	late := start.Add(3 * time.Second)
	a.Expire(late)
	b.Expire(late)
	c.Check(usable(a), qt.DeepEquals, []string{"a"})
	c.Check(usable(b), qt.DeepEquals, []string{"a"})
}

// TestWholeReading takes what a whole reading does not hold as gone.
func TestWholeReading(t *testing.T) {
	c := qt.New(t)
	r := registry.New()
	r.Apply(update(registry.Endpoints, 5, listed("a", 3, 1), listed("b", 4, 1)), start, start)
	u := update(registry.Endpoints, 9, listed("b", 4, 1))
	u.Whole = true
	c.Assert(r.Apply(u, start, start), qt.IsTrue)
	c.Assert(usable(r), qt.DeepEquals, []string{"b"})
	z := update(registry.Orders, 10, registry.Record{
		Version:     10,
		EmptiedZone: "east",
	})
	r.Apply(z, start, start)
	c.Assert(usable(r), qt.DeepEquals, []string{})
	r.Apply(registry.Update{
		Part:    registry.Orders,
		Whole:   true,
		Version: 11,
	}, start, start)
	c.Assert(usable(r), qt.DeepEquals, []string{"b"})
}

// TestZoneTakenBackIsCold counts the endpoints of a zone as cold that nobody sent to
// while the zone was empty.
func TestZoneTakenBackIsCold(t *testing.T) {
	c := qt.New(t)
	r := registry.New()
	r.Apply(update(registry.Endpoints, 5, listed("a", 3, 1)), start, start)
	r.Apply(update(registry.Orders, 6, registry.Record{
		Version: 6,
		Declaration: &route.Declaration{
			Version: 1,
			Upstreams: map[string]route.Upstream{
				"desk": {
					ColdFor: 4 * time.Second,
				},
			},
		},
	}, registry.Record{
		Version:     6,
		EmptiedZone: "east",
	}), start, start)
	c.Assert(r.Emptied("east"), qt.IsTrue)
	r.Apply(update(registry.Orders, 8, registry.Record{
		Version:     8,
		EmptiedZone: "east",
		Removed:     true,
	}), start, start)
	c.Assert(r.Usable()[0].ColdUntil, qt.Equals, start.Add(4*time.Second))
}

// TestNeverAnOlderDeclaration keeps the newest declaration, whatever comes later.
func TestNeverAnOlderDeclaration(t *testing.T) {
	c := qt.New(t)
	r := registry.New()
	for i, v := range []uint64{4, 9, 7} {
		r.Apply(update(registry.Orders, uint64(i+1), registry.Record{
			Version: uint64(i + 1),
			Declaration: &route.Declaration{
				Version: v,
			},
		}), start, start)
	}
	c.Assert(r.Declaration().Version, qt.Equals, uint64(9))
}

// TestPassedOn passes every change on to a host that starts with nothing, and to one
// that has some of it.
func TestPassedOn(t *testing.T) {
	c := qt.New(t)
	a, b := registry.New(), registry.New()
	pass := func() {
		for p := range registry.Parts {
			if !b.Confirm(p, a.Version(p), a.Changed(p), start) {
				b.Apply(a.Since(p, b.Version(p), start), start, start)
			}
			c.Assert(b.Version(p), qt.Equals, a.Version(p))
		}
		c.Assert(usable(b), qt.DeepEquals, usable(a))
	}
	a.Apply(update(registry.Orders, 2, registry.Record{
		Version: 2,
		Declaration: &route.Declaration{
			Version: 1,
		},
	}), start, start)
	a.Apply(update(registry.Endpoints, 5, listed("a", 3, 1), listed("b", 4, 1)), start, start)
	pass()
	a.Apply(update(registry.Endpoints, 7, listed("a", 7, 2)), start, start)
	pass()
	a.Apply(update(registry.Endpoints, 9, gone("b", 8), listed("c", 9, 1)), start, start)
	pass()
	// A host that lags for longer than removals are remembered gets all anew.
	a.Apply(update(registry.Endpoints, 12, gone("a", 12)), start, start)
	a.Expire(start.Add(2 * time.Minute))
	u := a.Since(registry.Endpoints, 9, start)
	c.Assert(u.Whole, qt.IsTrue)
	b.Apply(u, start, start)
	c.Assert(usable(b), qt.DeepEquals, []string{"c"})
}

// TestChangesAfterAGap guards against a removal that is lost since a host takes itself for
// complete: it takes no changes that follow ones that it lacks.
func TestChangesAfterAGap(t *testing.T) {
	c := qt.New(t)
	a, b := registry.New(), registry.New()
	first := update(registry.Endpoints, 5, listed("a", 3, 1), listed("b", 4, 1), listed("c", 5, 1))
	a.Apply(first, start, start)
	b.Apply(first, start, start)
	a.Apply(update(registry.Endpoints, 7, gone("a", 7)), start, start)
	a.Apply(update(registry.Endpoints, 9, gone("b", 9)), start, start)
	c.Assert(b.Apply(a.Since(registry.Endpoints, 7, start), start, start), qt.IsFalse)
	c.Assert(b.Version(registry.Endpoints), qt.Equals, uint64(5))
	c.Assert(b.Apply(a.Since(registry.Endpoints, 5, start), start, start), qt.IsTrue)
	c.Assert(usable(b), qt.DeepEquals, []string{"c"})
}

// TestDoubt makes knowledge old after a time in which the host did not run.
func TestDoubt(t *testing.T) {
	c := qt.New(t)
	r := registry.New()
	r.Apply(update(registry.Endpoints, 5, listed("a", 3, 1)), start, start)
	c.Assert(r.Current(registry.Endpoints), qt.Equals, start)
	r.Doubt()
	c.Assert(r.Current(registry.Endpoints).IsZero(), qt.IsTrue)
	c.Assert(usable(r), qt.DeepEquals, []string{"a"})
}
