package lookup

import (
	"math/rand/v2"
	"net/netip"
	"sort"

	"github.com/gaissmai/bart"

	"heatherford/core/intent"
	"heatherford/core/store"
)

// Table answers look-ups. It is immutable and safe for concurrent use.
type Table struct {
	blocks *bart.Table[int32]
	// zones maps a zone's name to its index in routes.
	zones map[string]int32
	// home is the zone of callers that no block covers.
	home  int32
	kinds map[string]kindRoutes
}

type kindRoutes struct {
	kind intent.Kind
	rank int
	// routes holds one route for each zone.
	routes []route
}

// route lists the owners for callers of one zone, nearest tier first.
type route struct {
	tiers []tier
}

type tier struct {
	hosts []store.Host
	// sums holds the running totals of the hosts' weights.
	sums []int
}

// Options are what a Table is built from.
type Options struct {
	Declaration *intent.Declaration
	// Hosts are the hosts that may be named.
	Hosts []store.Host
	// Owners maps an endpoint's name to the name of its owner.
	Owners map[string]string
	// Zone is the zone of callers that no block covers.
	Zone string
}

// New returns a table for the options, which it does not keep.
func New(o Options) *Table {
	t := &Table{
		blocks: &bart.Table[int32]{},
		zones:  map[string]int32{},
		kinds:  map[string]kindRoutes{},
	}
	names := []string{}
	for _, r := range o.Declaration.Regions {
		for _, z := range r.Zones {
			t.zones[z] = int32(len(names))
			names = append(names, z)
		}
	}
	t.home = t.zones[o.Zone]
	sites := map[string]int32{}
	for _, s := range o.Declaration.Sites {
		sites[s.Name] = t.zones[s.Zone]
	}
	for _, b := range o.Declaration.Blocks {
		t.blocks.Insert(b.Prefix, sites[b.Site])
	}
	routes := map[string][]route{}
	for _, u := range o.Declaration.Upstreams {
		w := weights(u, o.Owners)
		for _, z := range names {
			routes[u.Name] = append(routes[u.Name], newRoute(o, w, z))
		}
	}
	for _, k := range o.Declaration.Kinds {
		t.kinds[k.Name] = kindRoutes{
			kind:   k,
			rank:   o.Declaration.RankIndex(k.Rank),
			routes: routes[k.Upstream],
		}
	}
	return t
}

// weights returns the slots that each host owns of u.
func weights(u intent.Upstream, owners map[string]string) map[string]int {
	m := map[string]int{}
	for _, e := range u.Endpoints {
		if h := owners[e.Name]; h != "" && !e.Leaving {
			m[h] += e.Slots
		}
	}
	return m
}

func newRoute(o Options, weights map[string]int, zone string) route {
	region := o.Declaration.RegionOf(zone)
	const tierCount = 3
	tiers := make([]tier, tierCount)
	hosts := append([]store.Host{}, o.Hosts...)
	sort.Slice(hosts, func(i, j int) bool {
		return hosts[i].Name < hosts[j].Name
	})
	for _, h := range hosts {
		w := weights[h.Name]
		if w == 0 {
			continue
		}
		i := 2
		switch {
		case h.Zone == zone:
			i = 0
		case h.Region == region:
			i = 1
		}
		tiers[i].add(h, w)
	}
	r := route{}
	for _, t := range tiers {
		if len(t.hosts) > 0 {
			r.tiers = append(r.tiers, t)
		}
	}
	return r
}

func (t *tier) add(h store.Host, weight int) {
	sum := weight
	if n := len(t.sums); n > 0 {
		sum += t.sums[n-1]
	}
	t.hosts = append(t.hosts, h)
	t.sums = append(t.sums, sum)
}

// pick returns a host drawn by weight.
func (t *tier) pick() store.Host {
	n := rand.IntN(t.sums[len(t.sums)-1])
	return t.hosts[sort.SearchInts(t.sums, n+1)]
}

// Decision is the answer to a look-up.
type Decision struct {
	Kind intent.Kind
	Rank int
	// Host is the host to send to. It is the zero value if none has an
	// endpoint of the kind's upstream.
	Host store.Host
	// Found is true if Host is set.
	Found bool
}

// Decide answers a look-up for the kind and the caller's address. It reports
// whether the kind exists, and does not allocate.
func (t *Table) Decide(kind string, caller netip.Addr) (Decision, bool) {
	k, ok := t.kinds[kind]
	if !ok {
		return Decision{}, false
	}
	d := Decision{
		Kind: k.kind,
		Rank: k.rank,
	}
	r := k.routes[t.zoneOf(caller)]
	if len(r.tiers) > 0 {
		d.Host = r.tiers[0].pick()
		d.Found = true
	}
	return d, true
}

func (t *Table) zoneOf(caller netip.Addr) int32 {
	if z, ok := t.blocks.Lookup(caller.Unmap()); ok {
		return z
	}
	return t.home
}
