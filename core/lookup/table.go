package lookup

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sort"

	"heatherford/core/intent"
	"heatherford/core/store"
)

// Table answers look-ups. It is immutable and safe for concurrent use.
type Table struct {
	blocks *Blocks
	// home is the zone of callers that no block covers.
	home  int32
	kinds map[string]*kindRoutes
	hosts []store.Host
}

type kindRoutes struct {
	kind intent.Kind
	rank int
	// routes holds one route for each zone.
	routes []draw
	// spare holds the other owners with free slots.
	spare draw
}

// Options are what a Table is built from.
type Options struct {
	Declaration *intent.Declaration
	// Blocks are those of the declaration; nil makes New build them.
	Blocks *Blocks
	// Hosts are the hosts that may be named.
	Hosts []store.Host
	// Owners maps an endpoint's name to the name of its owner.
	Owners map[string]string
	// Loads are the owners' loads as far as they are known.
	Loads Loads
	// Shares are parts of the work that other regions do.
	Shares []Share
	// Everyone names all hosts in place of the owners.
	Everyone bool
	// Self is the host that the table is for.
	Self string
	// Zone is the zone of callers that no block covers.
	Zone string
}

// New returns a table for the options. It keeps their blocks and loads.
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
		routes:  map[routeKey][]draw{},
	}
	for _, r := range o.Declaration.Ranks {
		b.floors = append(b.floors, r.Floor)
	}
	for _, k := range o.Declaration.Kinds {
		t.kinds[k.Name] = b.kind(k)
	}
	return t
}

// builder builds routes, which kinds of one upstream and rank share.
type builder struct {
	options Options
	hosts   []store.Host
	floors  []float64
	routes  map[routeKey][]draw
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
		b.routes[key] = b.routesOf(owners, rank)
		b.moveRoutes(k.Upstream, owners, b.routes[key])
	}
	return &kindRoutes{
		kind:   k,
		rank:   rank,
		routes: b.routes[key],
		spare:  newSpare(owners, b.options.Self, b.options.Blocks.zones[b.options.Zone]),
	}
}

func (b *builder) routesOf(owners []owner, rank int) []draw {
	k := b.options.Blocks
	demand := make([]float64, len(k.names))
	for _, o := range owners {
		o.load.demand(demand, rank, b.floors, k.zones[o.host.Zone])
	}
	x := newSpread(owners, demand)
	s := make([]draw, 0, len(k.names))
	for z := range k.names {
		s = append(s, newRoute(x, z))
	}
	return s
}

// owners returns the owners of the upstream's endpoints with their loads.
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
		if !ok || b.options.Everyone {
			l = Load{
				Slots: slots[h.Name],
			}
		}
		s = append(s, owner{
			host:  h,
			load:  l,
			known: ok,
			near:  b.near(h),
		})
	}
	return s
}

// near returns for each zone how near the host is.
func (b *builder) near(h *store.Host) []nearness {
	s := make([]nearness, 0, len(b.options.Blocks.names))
	for _, z := range b.options.Blocks.names {
		s = append(s, near(h, z, b.options.Declaration.RegionOf(z)))
	}
	return s
}

// slots returns the slots that each host owns of the upstream.
func (b *builder) slots(upstream string) map[string]int {
	m := map[string]int{}
	if b.options.Everyone {
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

// alternates is the number of further hosts that a look-up names.
const alternates = 2

// Decision is the answer to a look-up.
type Decision struct {
	// Kind is never nil.
	Kind *intent.Kind
	Rank int
	// Host is the host to send to. It is nil if none has an endpoint of the
	// kind's upstream.
	Host *store.Host
	// Others are hosts to turn to if Host does not answer. They differ from it
	// and from each other; unused places hold nil.
	Others [alternates]*store.Host
}

// Hosts returns the hosts that the table's decisions name.
func (t *Table) Hosts() []*store.Host {
	s := make([]*store.Host, 0, len(t.hosts))
	for i := range t.hosts {
		s = append(s, &t.hosts[i])
	}
	return s
}

// Kinds returns the kinds that the table's decisions name.
func (t *Table) Kinds() []*intent.Kind {
	s := make([]*intent.Kind, 0, len(t.kinds))
	for _, k := range t.kinds {
		s = append(s, &k.kind)
	}
	return s
}

// Zones returns the number of availability zones of the declaration.
func (t *Table) Zones() int {
	return len(t.blocks.names)
}

// Zone returns the position of a caller's availability zone in the declaration.
func (t *Table) Zone(caller netip.Addr) int {
	return int(t.blocks.zoneOf(caller, t.home))
}

// Decide answers a look-up for the kind and the caller's address. It reports
// whether the kind exists, and does not allocate.
func (t *Table) Decide(kind string, caller netip.Addr) (Decision, bool) {
	k, ok := t.kinds[kind]
	if !ok {
		return Decision{}, false
	}
	d := Decision{
		Kind: &k.kind,
		Rank: k.rank,
	}
	r := k.routes[t.blocks.zoneOf(caller, t.home)].next()
	const half = 32
	x := rand.Uint64()
	d.Host = r.pick(uint32(x))
	if d.Host != nil {
		r.others(uint32(x>>half), d.Host, d.Others[:])
	}
	return d, true
}

// Spare returns another host that is thought to have a free slot for the kind,
// or nil. It draws by free slots and nearness and does not allocate.
func (t *Table) Spare(kind string) *store.Host {
	k, ok := t.kinds[kind]
	if !ok {
		return nil
	}
	return k.spare.pick(rand.Uint32())
}
