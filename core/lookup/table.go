package lookup

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sort"

	"heatherford/core/intent"
	"heatherford/core/store"
)

// Table answers look-ups for one declaration and the loads known at its creation.
// It is immutable and safe for concurrent use.
type Table struct {
	blocks *Blocks
	// home is the zone that is assumed for callers in no block.
	home  int32
	kinds map[string]*kindRoutes
	hosts []store.Host
}

// kindRoutes holds the answers to look-ups for one kind.
type kindRoutes struct {
	kind intent.Kind
	rank int
	// routes holds one route for each zone of callers.
	routes []route
	// free holds the other owners with free slots, to which requests are
	// forwarded.
	free route
}

// Options are what a Table is built from.
type Options struct {
	Declaration *intent.Declaration
	// Blocks are the Blocks for Declaration. If nil, New builds them.
	Blocks *Blocks
	// Hosts are the hosts that look-ups may name.
	Hosts []store.Host
	// Owners maps an endpoint's name to the name of its owner.
	Owners map[string]string
	// Loads holds the loads of the owners that have reported one.
	Loads Loads
	// Shifts are the shifts of work to other regions that are in force.
	Shifts []Shift
	// AllHosts makes the table treat every host as an owner of equal load.
	AllHosts bool
	// Self is the name of the host that uses the table.
	Self string
	// Zone is the zone that is assumed for callers in no block.
	Zone string
}

// New returns a table for the options. The table keeps a reference to the
// options' blocks.
func New(o Options) *Table {
	if o.Blocks == nil {
		o.Blocks = NewBlocks(o.Declaration)
	}
	t := &Table{
		blocks: o.Blocks,
		home:   o.Blocks.zones[o.Zone],
		kinds:  map[string]*kindRoutes{},
		hosts:  slices.Clone(o.Hosts),
	}
	hosts := t.hosts
	sort.Slice(hosts, func(i, j int) bool {
		return hosts[i].Name < hosts[j].Name
	})
	b := &builder{
		options: o,
		hosts:   hosts,
		routes:  map[routeKey][]route{},
	}
	for _, r := range o.Declaration.Ranks {
		b.floors = append(b.floors, r.Floor)
	}
	for _, k := range o.Declaration.Kinds {
		t.kinds[k.Name] = b.kind(k)
	}
	return t
}

// builder builds the routes of a table. Kinds of the same upstream and rank share
// their routes.
type builder struct {
	options Options
	hosts   []store.Host
	floors  []float64
	routes  map[routeKey][]route
}

type routeKey struct {
	upstream string
	rank     int
}

func (b *builder) kind(k intent.Kind) *kindRoutes {
	rank := b.options.Declaration.RankIndex(k.Rank)
	owners := b.owners(k.Upstream)
	key := routeKey{
		upstream: k.Upstream,
		rank:     rank,
	}
	if b.routes[key] == nil {
		b.routes[key] = b.newRoutes(owners, rank)
		b.applyShifts(k.Upstream, owners, b.routes[key])
	}
	return &kindRoutes{
		kind:   k,
		rank:   rank,
		routes: b.routes[key],
		free:   freeOwners(owners, b.options.Self, b.options.Blocks.zones[b.options.Zone]),
	}
}

func (b *builder) newRoutes(owners []owner, rank int) []route {
	k := b.options.Blocks
	demand := make([]float64, len(k.names))
	for _, o := range owners {
		o.load.demand(demand, rank, b.floors, k.zones[o.host.Zone])
	}
	x := allocate(owners, demand)
	s := make([]route, 0, len(k.names))
	for z := range k.names {
		s = append(s, newRoute(x, z))
	}
	return s
}

// owners returns the owners of the upstream's endpoints with their loads. An owner
// without a known load counts as idle.
func (b *builder) owners(upstream string) []owner {
	slots := b.slots(upstream)
	s := []owner{}
	for i := range b.hosts {
		h := &b.hosts[i]
		if slots[h.Name] == 0 {
			continue
		}
		l, ok := b.options.Loads[Source{
			Host:     h.Name,
			Upstream: upstream,
		}]
		if !ok || b.options.AllHosts {
			l = Load{
				Slots: slots[h.Name],
			}
		}
		s = append(s, owner{
			host:       h,
			load:       l,
			known:      ok,
			distanceTo: b.distanceTo(h),
		})
	}
	return s
}

// distanceTo returns the distance of the host to each zone.
func (b *builder) distanceTo(h *store.Host) []distance {
	s := make([]distance, 0, len(b.options.Blocks.names))
	for _, z := range b.options.Blocks.names {
		s = append(s, distanceTo(h, z, b.options.Declaration.RegionOf(z)))
	}
	return s
}

// slots returns the number of slots that each host owns at the upstream's
// endpoints. Endpoints that are leaving do not count.
func (b *builder) slots(upstream string) map[string]int {
	m := map[string]int{}
	if b.options.AllHosts {
		for _, h := range b.hosts {
			m[h.Name] = 1
		}
		return m
	}
	for _, u := range b.options.Declaration.Upstreams {
		if u.Name != upstream {
			continue
		}
		for _, e := range u.Endpoints {
			if h := b.options.Owners[e.Name]; h != "" && !e.Leaving {
				m[h] += e.Slots
			}
		}
	}
	return m
}

// alternates is the number of hosts that a look-up names beside the first.
const alternates = 2

// Decision is the answer to a look-up.
type Decision struct {
	// Kind is never nil.
	Kind *intent.Kind
	Rank int
	// Host is the host to send requests to. It is nil if no host owns an endpoint
	// of the kind's upstream.
	Host *store.Host
	// Alternates are hosts to try if Host does not answer. They differ from it and
	// from each other; unused places hold nil.
	Alternates [alternates]*store.Host
}

// Hosts returns the hosts that the table's decisions may refer to, in the order of
// their names.
func (t *Table) Hosts() []*store.Host {
	s := make([]*store.Host, 0, len(t.hosts))
	for i := range t.hosts {
		s = append(s, &t.hosts[i])
	}
	return s
}

// Kinds returns the kinds that the table's decisions may refer to, in no order.
func (t *Table) Kinds() []*intent.Kind {
	s := make([]*intent.Kind, 0, len(t.kinds))
	for _, k := range t.kinds {
		s = append(s, &k.kind)
	}
	return s
}

// ZoneCount returns the number of availability zones of the declaration.
func (t *Table) ZoneCount() int {
	return len(t.blocks.names)
}

// ZoneIndex returns the index of the caller's availability zone in the
// declaration.
func (t *Table) ZoneIndex(caller netip.Addr) int {
	return int(t.blocks.zoneOf(caller, t.home))
}

// Decide answers a look-up for the kind and the caller's address. The second
// result is false if the kind does not exist. Decide does not allocate.
func (t *Table) Decide(kind string, caller netip.Addr) (Decision, bool) {
	k, ok := t.kinds[kind]
	if !ok {
		return Decision{}, false
	}
	d := Decision{
		Kind: &k.kind,
		Rank: k.rank,
	}
	r := k.routes[t.blocks.zoneOf(caller, t.home)].choose()
	const wordBits = 32
	x := rand.Uint64()
	d.Host = r.pick(uint32(x))
	if d.Host != nil {
		r.alternates(uint32(x>>wordBits), d.Host, d.Alternates[:])
	}
	return d, true
}

// FreeHost returns another host that, by the known loads, has a free slot for the
// kind, or nil if there is none. It draws at random, weighted by free slots and
// distance, and does not allocate.
func (t *Table) FreeHost(kind string) *store.Host {
	k, ok := t.kinds[kind]
	if !ok {
		return nil
	}
	return k.free.pick(rand.Uint32())
}
