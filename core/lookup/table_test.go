package lookup

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/intent"
	"heatherford/core/store"
)

// declaration returns a declaration of two regions with two zones each, one
// endpoint with ten slots in each zone, and a block that maps callers in
// 10.z.0.0/16 to zone z.
func declaration() *intent.Declaration {
	d := &intent.Declaration{
		Ranks: []intent.Rank{
			{
				Name:    "urgent",
				Planned: 0.5,
				Floor:   0.2,
			},
			{
				Name:    "batch",
				Planned: 0.5,
				Floor:   0.1,
			},
		},
		Kinds: []intent.Kind{
			{
				Name:     "look",
				Rank:     "urgent",
				Upstream: "desk",
			},
			{
				Name:     "audit",
				Rank:     "batch",
				Upstream: "desk",
			},
		},
		Upstreams: []intent.Upstream{
			{
				Name: "desk",
			},
		},
	}
	for r := range 2 {
		g := intent.Region{
			Name: fmt.Sprintf("r%d", r),
		}
		for z := range 2 {
			n := fmt.Sprintf("z%d", 2*r+z)
			g.Zones = append(g.Zones, n)
			d.Upstreams[0].Endpoints = append(d.Upstreams[0].Endpoints, intent.Endpoint{
				Name:  "e-" + n,
				Zone:  n,
				Slots: 10,
			})
			d.Sites = append(d.Sites, intent.Site{
				Name: n,
				Zone: n,
			})
			d.Blocks = append(d.Blocks, intent.Block{
				Prefix: netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(2*r + z), 0, 0}), 16),
				Site:   n,
			})
		}
		d.Regions = append(d.Regions, g)
	}
	return d
}

// options returns options with one host in each zone, which owns the zone's
// endpoint.
func options(loads Loads) Options {
	o := Options{
		Declaration: declaration(),
		Owners:      map[string]string{},
		Loads:       loads,
		Self:        "h0",
		Zone:        "z0",
	}
	for z := range 4 {
		n := fmt.Sprintf("h%d", z)
		o.Hosts = append(o.Hosts, store.Host{
			Name:   n,
			Zone:   fmt.Sprintf("z%d", z),
			Region: fmt.Sprintf("r%d", z/2),
		})
		o.Owners[fmt.Sprintf("e-z%d", z)] = n
	}
	return o
}

func loadOf(slots int, use ...float64) Load {
	return Load{
		Slots:       slots,
		Demand:      use,
		ServiceTime: 100 * time.Millisecond,
	}
}

func source(host int) Source {
	return Source{
		Host:     fmt.Sprintf("h%d", host),
		Upstream: "desk",
	}
}

func callerOf(zone int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(zone), 1, 2})
}

// shares does many look-ups for callers in a zone and returns the share of them
// that named each host.
func shares(c *qt.C, t *Table, kind string, zone int) map[string]float64 {
	const draws = 20_000
	m := map[string]float64{}
	for range draws {
		d, ok := t.Decide(kind, callerOf(zone))
		c.Assert(ok && d.Host != nil, qt.IsTrue)
		m[d.Host.Name] += 1.0 / draws
	}
	return m
}

func about(c *qt.C, got, want float64) {
	const tolerance = 0.03
	c.Assert(got > want-tolerance && got < want+tolerance, qt.IsTrue, qt.Commentf("got %.3f, want %.3f", got, want))
}

func TestLookupNamesTheNearestOwner(t *testing.T) {
	c := qt.New(t)
	x := New(options(nil))
	for zone := range 4 {
		about(c, shares(c, x, "look", zone)[fmt.Sprintf("h%d", zone)], 1)
	}
	d, _ := x.Decide("look", callerOf(2))
	c.Assert(d.Alternates[0].Name, qt.Equals, "h3")
	c.Assert(d.Alternates[1].Region, qt.Equals, "r0")
	_, ok := x.Decide("no such kind", callerOf(0))
	c.Assert(ok, qt.IsFalse)
	outside, _ := x.Decide("look", netip.MustParseAddr("192.0.2.1"))
	c.Assert(outside.Host.Name, qt.Equals, "h0")
}

// TestLookupNamesAnotherRegion checks, with three hosts in each zone, that two of
// the hosts that a look-up names are in the caller's region and the last is not.
func TestLookupNamesAnotherRegion(t *testing.T) {
	c := qt.New(t)
	x := New(fleet(12))
	for range 1000 {
		d, _ := x.Decide("look", callerOf(2))
		c.Assert(d.Alternates[0].Region, qt.Equals, "r1")
		c.Assert(d.Alternates[0], qt.Not(qt.Equals), d.Host)
		c.Assert(d.Alternates[1].Region, qt.Equals, "r0")
	}
}

func TestLookupOfAnUpstreamWithoutOwners(t *testing.T) {
	c := qt.New(t)
	o := options(nil)
	o.Owners = nil
	d, ok := New(o).Decide("look", callerOf(0))
	c.Assert(ok, qt.IsTrue)
	c.Assert(d.Host, qt.IsNil)
	c.Assert(New(o).FreeHost("look"), qt.IsNil)
}

func TestSpreadGivesTheRestToTheNextNearest(t *testing.T) {
	c := qt.New(t)
	x := New(options(Loads{
		source(0): loadOf(10, 24, 0),
	}))
	m := shares(c, x, "look", 0)
	about(c, m["h0"], 8.0/24)
	about(c, m["h1"], 8.0/24)
	about(c, m["h2"], 4.0/24)
	about(c, m["h3"], 4.0/24)
	about(c, shares(c, x, "look", 1)["h1"], 1)
}

func TestSpreadStaysNearIfAllAreFull(t *testing.T) {
	c := qt.New(t)
	full := loadOf(10, 30, 0)
	x := New(options(Loads{
		source(0): full,
		source(1): full,
		source(2): full,
		source(3): full,
	}))
	about(c, shares(c, x, "look", 2)["h2"], 1)
	c.Assert(x.FreeHost("look"), qt.IsNil)
}

// TestSpreadRespectsRanks overloads the nearest owner with requests of the
// less urgent rank: look-ups of the more urgent rank still name only that owner,
// those of the less urgent rank name others too.
func TestSpreadRespectsRanks(t *testing.T) {
	c := qt.New(t)
	x := New(options(Loads{
		source(0): loadOf(10, 4, 30),
	}))
	about(c, shares(c, x, "look", 0)["h0"], 1)
	about(c, shares(c, x, "audit", 0)["h0"], 10.0/34)
}

func TestSpreadGoesByTheCallersZones(t *testing.T) {
	c := qt.New(t)
	l := loadOf(10, 20, 0)
	l.Origins = [][]float64{{0.5, 0, 0, 0.5}, {0, 0, 0, 0}}
	x := New(options(Loads{
		source(2): l,
	}))
	about(c, shares(c, x, "look", 3)["h3"], 0.8)
	about(c, shares(c, x, "look", 3)["h2"], 0.2)
	about(c, shares(c, x, "look", 0)["h1"], 0.2)
}

func TestSpreadGivesColdOwnersLess(t *testing.T) {
	c := qt.New(t)
	o := options(nil)
	o.Hosts[1].Zone = "z0"
	cold := loadOf(10, 1, 0)
	cold.ServiceTime *= 3
	o.Loads = Loads{
		source(0): loadOf(10, 1, 0),
		source(1): cold,
	}
	about(c, shares(c, New(o), "look", 0)["h1"], 0.25)
}

func TestSpreadForwardsToFreeSlotsOnly(t *testing.T) {
	c := qt.New(t)
	x := New(options(Loads{
		source(0): loadOf(10, 0, 0),
		source(1): loadOf(10, 10, 5),
		source(2): loadOf(10, 5, 0),
		source(3): loadOf(0),
	}))
	for range 1000 {
		c.Assert(x.FreeHost("look").Name, qt.Equals, "h2")
	}
}

// TestSpreadDoesNotSwing guards against oscillation: callers cache look-ups for two
// seconds and loads are one second old, while the demand of one zone exceeds its
// slots. The use of each owner has to converge and stay there.
func TestSpreadDoesNotSwing(t *testing.T) {
	c := qt.New(t)
	// ttl, lag, steps and settle are in steps of 100 ms.
	const (
		ttl    = 20
		lag    = 10
		weight = 0.1
		steps  = 600
		settle = 300
	)
	demand := []float64{11, 5, 6, 6}
	measured := []Loads{}
	cached := [][]map[string]float64{}
	use := [4][4]float64{}
	least, most := []float64{99, 99, 99, 99}, []float64{0, 0, 0, 0}
	for i := range steps {
		known := Loads(nil)
		if i >= lag {
			known = measured[i-lag]
		}
		x := New(options(known))
		now := []map[string]float64{}
		for zone := range demand {
			now = append(now, expected(x, zone))
		}
		// The ages of cached look-ups are uniformly distributed up to the TTL.
		cached = append(cached, now)
		recent := cached[max(0, len(cached)-ttl):]
		l := Loads{}
		for h := range use {
			for zone, d := range demand {
				offered := 0.0
				for _, r := range recent {
					offered += d * r[zone][fmt.Sprintf("h%d", h)] / float64(len(recent))
				}
				use[h][zone] += weight * (offered - use[h][zone])
			}
			l[source(h)] = measure(use[h][:])
			if i >= settle {
				least[h] = min(least[h], l[source(h)].Demand[0])
				most[h] = max(most[h], l[source(h)].Demand[0])
			}
		}
		measured = append(measured, l)
	}
	for h := range use {
		c.Assert(most[h] < 9, qt.IsTrue, qt.Commentf("host %d: %.2f", h, most[h]))
		c.Assert(most[h]-least[h] < 0.5, qt.IsTrue, qt.Commentf("host %d: %.2f to %.2f", h, least[h], most[h]))
	}
}

// measure returns the load of an owner whose slots the zones use as given.
func measure(use []float64) Load {
	sum := 0.0
	for _, u := range use {
		sum += u
	}
	l := loadOf(10, sum, 0)
	shares := make([]float64, len(use))
	for z, u := range use {
		shares[z] = u / sum
	}
	l.Origins = [][]float64{shares, make([]float64, len(use))}
	return l
}

// expected returns the probability with which a zone's look-ups name each host.
func expected(t *Table, zone int) map[string]float64 {
	r := t.kinds["look"].routes[zone]
	m := map[string]float64{}
	before := uint32(0)
	for i, s := range r.cumulative {
		m[r.hosts[i].Name] += float64(s-before) / float64(r.cumulative[len(r.cumulative)-1])
		before = s
	}
	return m
}

const manyBlocks = 300_000

// many returns a table for a declaration with many blocks.
func many() *Table {
	o := options(nil)
	o.Declaration.Blocks = nil
	for i := range manyBlocks {
		a := netip.AddrFrom4([4]byte{byte(11 + i>>16), byte(i >> 8), byte(i), 0})
		o.Declaration.Blocks = append(o.Declaration.Blocks, intent.Block{
			Prefix: netip.PrefixFrom(a, 24),
			Site:   fmt.Sprintf("z%d", i%4),
		})
	}
	return New(o)
}

func TestLookupDoesNotAllocate(t *testing.T) {
	c := qt.New(t)
	x := New(options(nil))
	a := callerOf(3)
	n := testing.AllocsPerRun(1000, func() {
		x.Decide("look", a)
		x.FreeHost("look")
	})
	c.Assert(n, qt.Equals, 0.0)
}

func BenchmarkLookupDecide(b *testing.B) {
	runtime.GC()
	before := runtime.MemStats{}
	runtime.ReadMemStats(&before)
	x := many()
	runtime.GC()
	after := runtime.MemStats{}
	runtime.ReadMemStats(&after)
	b.ReportAllocs()
	i := uint32(0)
	for b.Loop() {
		i += 7919
		n := i % manyBlocks
		x.Decide("look", netip.AddrFrom4([4]byte{byte(11 + n>>16), byte(n >> 8), byte(n), 9}))
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
}

// BenchmarkTable measures the time to build a table, which happens whenever loads
// change, for 20, 80 and 320 hosts.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{20, 80, 320} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			o := fleet(n)
			b.ReportAllocs()
			for b.Loop() {
				New(o)
			}
		})
	}
}

// fleet returns options with n hosts in four zones, each of which owns two
// endpoints.
func fleet(n int) Options {
	o := options(Loads{})
	o.Hosts = nil
	o.Declaration.Upstreams[0].Endpoints = nil
	for i := range n {
		h := store.Host{
			Name:   fmt.Sprintf("h%d", i),
			Zone:   fmt.Sprintf("z%d", i%4),
			Region: fmt.Sprintf("r%d", i%4/2),
		}
		o.Hosts = append(o.Hosts, h)
		for j := range 2 {
			e := fmt.Sprintf("e%d-%d", i, j)
			o.Owners[e] = h.Name
			o.Declaration.Upstreams[0].Endpoints = append(o.Declaration.Upstreams[0].Endpoints, intent.Endpoint{
				Name:  e,
				Zone:  h.Zone,
				Slots: 6,
			})
		}
		o.Loads[source(i)] = loadOf(12, 9, 3)
	}
	o.Blocks = NewBlocks(o.Declaration)
	return o
}
