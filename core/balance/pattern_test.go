package balance

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// threeRegions returns six zones in three regions.
func threeRegions() map[string]string {
	return map[string]string{
		"n1": "north",
		"n2": "north",
		"s1": "south",
		"s2": "south",
		"w1": "west",
		"w2": "west",
	}
}

func fewInNorth() map[string]int {
	return map[string]int{
		"n1": 1,
		"n2": 1,
		"s1": 4,
		"s2": 4,
		"w1": 3,
		"w2": 3,
	}
}

// zonesOf returns the zones in sorted order, so that a seed always gives the same
// run.
func zonesOf(m map[string]string) []string {
	return slices.Sorted(maps.Keys(m))
}

func lookups(zone string, perSecond float64, duration time.Duration) stream {
	return stream{
		zone:      zone,
		perSecond: perSecond,
		rank:      1,
		objects:   60,
		objective: 300 * time.Millisecond,
		deadline:  2 * time.Second,
		duration:  duration,
	}
}

func (w *world) log(t *testing.T) {
	t.Helper()
	for k, r := range w.results {
		t.Logf("%s: %+v in time %.2f", k, *r, r.share())
	}
}

// TestRegionalShortage guards against a region whose clients suffer because it
// has a quarter of the endpoints of the others and as many clients. The clients
// of all regions are served nearly equally well, and no endpoint gets more
// requests than it has slots.
func TestRegionalShortage(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1, threeRegions(), 3, fewInNorth(), 6)
	const perZone = 70
	for _, z := range zonesOf(w.zones) {
		w.offer(lookups(z, perZone, 30*time.Second))
	}
	// In the first seconds no object is cached.
	w.run(15 * time.Second)
	w.results = map[string]*tally{}
	w.run(17 * time.Second)
	w.log(t)
	worst, best := 1.0, 0.0
	for _, r := range w.results {
		worst, best = min(worst, r.share()), max(best, r.share())
	}
	c.Check(worst >= 0.8*best, qt.IsTrue, qt.Commentf("worst %.2f, best %.2f", worst, best))
	for _, e := range w.endpoints {
		c.Check(e.peak <= e.Slots, qt.IsTrue, qt.Commentf("%s had %d of %d", e.ID, e.peak, e.Slots))
	}
}

// TestShiftIsGradual guards against sudden moves of work between regions. Within
// 12 s the traffic of a region with few endpoints grows to twice what they can
// serve, and the part that is served at home differs by at most 0.15 between two
// consecutive windows of 2 s.
func TestShiftIsGradual(t *testing.T) {
	c := qt.New(t)
	// Large enough that single objects and random draws have little effect.
	const scale = 4
	w := newWorld(2, threeRegions(), 3, fewInNorth(), 6*scale)
	for _, e := range w.endpoints {
		e.cacheSize *= scale
	}
	offer := func(zone string, perSecond float64) {
		l := lookups(zone, perSecond*scale, 30*time.Second)
		l.objects *= scale
		w.offer(l)
	}
	for _, z := range zonesOf(w.zones) {
		offer(z, 20)
	}
	w.run(10 * time.Second)
	before := -1.0
	for i := range 9 {
		const growing = 6
		for _, z := range []string{"n1", "n2"} {
			if i < growing {
				offer(z, 17)
			}
		}
		w.results = map[string]*tally{}
		w.run(2 * time.Second)
		home, all := 0, 0
		for _, z := range []string{"n1", "n2"} {
			for r, n := range w.results[z+"/1"].region {
				all += n
				if r == "north" {
					home += n
				}
			}
		}
		x := float64(home) / float64(all)
		if before >= 0 {
			c.Check(before-x <= 0.15 && x-before <= 0.15, qt.IsTrue, qt.Commentf("from %.2f to %.2f", before, x))
		}
		before = x
		t.Logf("%.2f at home; shares %+v", x, w.hosts[0].balancer.Shares()[modelUpstream])
	}
}

// TestFloodOfAMiddleRank offers three times what the endpoints can serve at a
// middle rank. Most urgent requests still meet their objectives, and most answers
// of the middle rank are in time, instead of all of them late.
func TestFloodOfAMiddleRank(t *testing.T) {
	c := qt.New(t)
	zones := map[string]string{
		"e1": "east",
		"e2": "east",
	}
	w := newWorld(3, zones, 3, map[string]int{
		"e1": 3,
		"e2": 3,
	}, 3)
	for _, z := range zonesOf(zones) {
		urgent := lookups(z, 15, 20*time.Second)
		urgent.rank = 0
		urgent.objects = 20
		urgent.wide = true
		w.offer(urgent)
		w.offer(lookups(z, 200, 20*time.Second))
	}
	w.run(6 * time.Second)
	w.results = map[string]*tally{}
	w.run(16 * time.Second)
	w.log(t)
	for _, z := range zonesOf(zones) {
		c.Check(w.results[z+"/0"].share() > 0.85, qt.IsTrue, qt.Commentf("urgent of %s: %.2f", z, w.results[z+"/0"].share()))
		r := w.results[z+"/1"]
		c.Check(r.inTime > 3*r.late, qt.IsTrue, qt.Commentf("%s: %d in time, %d late", z, r.inTime, r.late))
	}
}

// TestFloodKeepsObjects guards against cache eviction under overload. Objects
// stay at the endpoints that have them cached, so that the part of slow answers
// does not grow.
func TestFloodKeepsObjects(t *testing.T) {
	c := qt.New(t)
	w := newWorld(4, threeRegions(), 3, fewInNorth(), 3)
	offer := func(perSecond float64) {
		for _, z := range zonesOf(w.zones) {
			w.offer(lookups(z, perSecond, 20*time.Second))
		}
	}
	cold := func() float64 {
		served, cold := 0, 0
		for _, r := range w.results {
			served += r.inTime + r.late
			cold += r.cold
		}
		return float64(cold) / float64(served)
	}
	offer(40)
	w.run(10 * time.Second)
	w.results = map[string]*tally{}
	w.run(8 * time.Second)
	before := cold()
	offer(130)
	w.run(4 * time.Second)
	w.results = map[string]*tally{}
	w.run(14 * time.Second)
	w.log(t)
	c.Check(cold() < before+0.05, qt.IsTrue, qt.Commentf("%.2f of the answers were cache misses, %.2f before", cold(), before))
	in, late := 0, 0
	for _, r := range w.results {
		in += r.inTime
		late += r.late
	}
	c.Check(in > 3*late, qt.IsTrue, qt.Commentf("%d in time, %d late", in, late))
	worst, best := 1.0, 0.0
	for _, r := range w.results {
		worst, best = min(worst, r.share()), max(best, r.share())
	}
	c.Check(worst >= 0.5*best, qt.IsTrue, qt.Commentf("worst %.2f, best %.2f", worst, best))
}

// TestNoEndpointOverrun has hosts of six zones share 16 endpoints under overload.
// No endpoint gets more requests than it has slots, so that none rejects any.
func TestNoEndpointOverrun(t *testing.T) {
	c := qt.New(t)
	w := newWorld(5, threeRegions(), 4, fewInNorth(), 3)
	for _, z := range zonesOf(w.zones) {
		w.offer(lookups(z, 90, 15*time.Second))
	}
	w.run(17 * time.Second)
	for _, e := range w.endpoints {
		c.Check(e.peak <= e.Slots, qt.IsTrue, qt.Commentf("%s had %d of %d", e.ID, e.peak, e.Slots))
		c.Check(e.rejected, qt.Equals, 0)
	}
}

// TestColdReturn restarts the endpoints of two zones under load. While they are
// cold, each gets requests, but in no second more than one and a half times its
// rate.
func TestColdReturn(t *testing.T) {
	c := qt.New(t)
	w := newWorld(6, threeRegions(), 4, fewInNorth(), 6)
	for _, z := range zonesOf(w.zones) {
		w.offer(lookups(z, 80, 15*time.Second))
	}
	w.run(5 * time.Second)
	cold := map[string]bool{}
	for i := range w.registered {
		if e := &w.registered[i]; e.Zone == "s1" || e.Zone == "n1" {
			e.StartedAt = w.now
			e.ColdUntil = w.now.Add(3 * time.Second)
			cold[e.ID] = true
			w.endpoints[e.ID].cache = nil
			w.endpoints[e.ID].arrivals = nil
		}
	}
	w.setEndpoints()
	w.run(3 * time.Second)
	for id := range cold {
		e := w.endpoints[id]
		c.Check(e.mostInASecond() <= 15, qt.IsTrue, qt.Commentf("%s got %d in a second", id, e.mostInASecond()))
		c.Check(len(e.arrivals) > 0, qt.IsTrue, qt.Commentf("%s got nothing", id))
	}
}

// TestDeadEndpoint has an endpoint become unreachable without notice. Others
// serve its objects, so that no request is refused and most are answered in time.
func TestDeadEndpoint(t *testing.T) {
	c := qt.New(t)
	w := newWorld(7, threeRegions(), 3, fewInNorth(), 6)
	for _, z := range zonesOf(w.zones) {
		w.offer(lookups(z, 40, 15*time.Second))
	}
	w.run(8 * time.Second)
	w.endpoints["s1-0"].down = true
	w.results = map[string]*tally{}
	w.run(7 * time.Second)
	w.log(t)
	r := w.results["s1/1"]
	c.Check(r.refused, qt.Equals, 0)
	c.Check(r.share() > 0.8, qt.IsTrue, qt.Commentf("%.2f", r.share()))
}

// TestLostAnswers has the endpoints of the region with few of them lose two
// fifths of their answers. Requests are retried elsewhere, and hardly any is
// refused.
func TestLostAnswers(t *testing.T) {
	c := qt.New(t)
	w := newWorld(10, threeRegions(), 3, fewInNorth(), 6)
	for _, z := range zonesOf(w.zones) {
		w.offer(lookups(z, 40, 15*time.Second))
	}
	w.run(8 * time.Second)
	w.endpoints["n1-0"].lossRate = 0.4
	w.endpoints["n2-0"].lossRate = 0.4
	w.results = map[string]*tally{}
	w.run(7 * time.Second)
	w.log(t)
	for _, z := range []string{"n1", "n2"} {
		r := w.results[z+"/1"]
		c.Check(r.refused*20 < r.asked, qt.IsTrue, qt.Commentf("%d of %d refused", r.refused, r.asked))
	}
}

// TestFlappingEndpoints has two endpoints of the south alternately go down and up
// every second and a half. Connections to them fail, and what was not sent goes
// elsewhere, so that hardly any request is refused.
func TestFlappingEndpoints(t *testing.T) {
	c := qt.New(t)
	w := newWorld(12, threeRegions(), 3, fewInNorth(), 6)
	for _, z := range zonesOf(w.zones) {
		w.offer(lookups(z, 30, 25*time.Second))
	}
	w.run(8 * time.Second)
	down := false
	w.every(1500*time.Millisecond, func() {
		down = !down
		w.endpoints["s1-0"].down = down
		w.endpoints["s2-1"].down = !down
	})
	w.results = map[string]*tally{}
	w.run(15 * time.Second)
	w.log(t)
	for _, z := range []string{"s1", "s2"} {
		r := w.results[z+"/1"]
		c.Check(r.refused*50 < r.asked, qt.IsTrue, qt.Commentf("%d of %d refused", r.refused, r.asked))
		c.Check(r.share() > 0.8, qt.IsTrue, qt.Commentf("%.2f", r.share()))
	}
}

// TestLyingHealth has an endpoint lose most of its answers while its registry
// entry and its health checks say that it is healthy. Hosts go by the results of
// requests, so that it gets less than half of its requests from before.
func TestLyingHealth(t *testing.T) {
	c := qt.New(t)
	w := newWorld(13, threeRegions(), 3, fewInNorth(), 6)
	for _, z := range zonesOf(w.zones) {
		w.offer(lookups(z, 30, 20*time.Second))
	}
	w.run(8 * time.Second)
	before := len(w.endpoints["s1-0"].arrivals)
	w.run(4 * time.Second)
	usual := len(w.endpoints["s1-0"].arrivals) - before
	w.endpoints["s1-0"].lossRate = 0.9
	before = len(w.endpoints["s1-0"].arrivals)
	w.results = map[string]*tally{}
	w.run(4 * time.Second)
	w.log(t)
	failing := len(w.endpoints["s1-0"].arrivals) - before
	c.Check(2*failing < usual, qt.IsTrue, qt.Commentf("%d requests while it loses answers, %d before", failing, usual))
	r := w.results["s1/1"]
	c.Check(r.refused*50 < r.asked, qt.IsTrue, qt.Commentf("%d of %d refused", r.refused, r.asked))
}

// TestHerdAfterRefusals guards against a thundering herd after a short overload:
// few requests are refused, and most clients who come back at the time that they
// were told are served.
func TestHerdAfterRefusals(t *testing.T) {
	c := qt.New(t)
	zones := map[string]string{
		"e1": "east",
	}
	w := newWorld(8, zones, 3, map[string]int{
		"e1": 4,
	}, 3)
	w.offer(lookups("e1", 60, 20*time.Second))
	w.run(10 * time.Second)
	w.results = map[string]*tally{}
	// The burst is 90 requests more than the endpoints can serve in its time.
	w.offer(lookups("e1", 240, 500*time.Millisecond))
	w.run(10 * time.Second)
	w.log(t)
	r := w.results["e1/1"]
	c.Check(2*r.refusedTwice < r.toldToRetry, qt.IsTrue, qt.Commentf("%d of %d refused twice", r.refusedTwice, r.toldToRetry))
	c.Check(12*r.toldToRetry < r.asked, qt.IsTrue, qt.Commentf("%d of %d told to come back", r.toldToRetry, r.asked))
}

// TestAfterAFlood has an overload of 4 s end. Two seconds later, at half of what
// the endpoints can serve, hardly any request is refused.
func TestAfterAFlood(t *testing.T) {
	c := qt.New(t)
	w := newWorld(11, map[string]string{
		"e1": "east",
	}, 3, map[string]int{
		"e1": 4,
	}, 3)
	w.offer(lookups("e1", 60, 30*time.Second))
	w.run(5 * time.Second)
	w.offer(lookups("e1", 300, 4*time.Second))
	w.run(6 * time.Second)
	w.results = map[string]*tally{}
	w.run(15 * time.Second)
	w.log(t)
	r := w.results["e1/1"]
	c.Check(100*r.refused < r.asked, qt.IsTrue, qt.Commentf("%d of %d refused", r.refused, r.asked))
}

// BenchmarkPick measures a decision among 42 and among 318 endpoints.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{7, 53} {
		b.Run(fmt.Sprint(6*n), func(b *testing.B) {
			w := newWorld(9, threeRegions(), 1, map[string]int{
				"n1": n,
				"n2": n,
				"s1": n,
				"s2": n,
				"w1": n,
				"w2": n,
			}, 3)
			a := Request{
				Upstream:  modelUpstream,
				Rank:      1,
				Objective: w.now.Add(time.Hour),
				Deadline:  w.now.Add(time.Hour),
			}
			h := w.hosts[0].balancer
			b.ReportAllocs()
			for i := range b.N {
				a.Key = uint64(i % 64)
				c, refusal := h.Pick(a, w.now)
				if refusal != nil {
					b.Fatal(refusal.Detail)
				}
				h.Done(c, true, w.now)
			}
		})
	}
}
