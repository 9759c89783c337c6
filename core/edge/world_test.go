package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"heatherford/core/budget"
	"heatherford/core/code"
	"heatherford/core/fleet"
	"heatherford/core/registry"
	"heatherford/core/route"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var (
	errStore     = errors.New("the store does not answer")
	errForgotten = errors.New("the history is gone")
)

// table is a platform's records in memory, with faults.
type table struct {
	mu      sync.Mutex
	changed chan struct{}
	version uint64
	// records holds the newest record of each subject, by part.
	records [registry.Parts]map[string]registry.Record
	members []fleet.Member
	// refuse holds the hosts that the store turns away; the empty name stands
	// for all.
	refuse map[string]bool
	// forgotten is the version before which no history is left.
	forgotten uint64
	reads     atomic.Int64
}

func newTable() *table {
	t := &table{
		changed: make(chan struct{}),
		refuse:  map[string]bool{},
	}
	for p := range t.records {
		t.records[p] = map[string]registry.Record{}
	}
	return t
}

func (t *table) put(p registry.Part, subject string, r registry.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	r.Version = t.version
	t.records[p][subject] = r
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *table) turnAway(host string, away bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refuse[host] = away
}

func (t *table) forget() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	t.forgotten = t.version
}

// read is Seams.Read of a host.
func (t *table) read(host string) func(context.Context, registry.Part, uint64, time.Duration) (registry.Update, error) {
	return func(ctx context.Context, p registry.Part, since uint64, wait time.Duration) (registry.Update, error) {
		t.reads.Add(1)
		timeout := time.After(wait)
		for {
			u, changed, err := t.look(host, p, since)
			if err != nil || len(u.Records) > 0 || since == 0 {
				return u, err
			}
			select {
			case <-changed:
			case <-timeout:
				return u, nil
			case <-ctx.Done():
				return u, ctx.Err()
			}
		}
	}
}

func (t *table) look(host string, p registry.Part, since uint64) (registry.Update, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := registry.Update{
		Part:    p,
		Whole:   since == 0,
		Version: t.version,
	}
	switch {
	case t.refuse[host] || t.refuse[""]:
		return u, t.changed, errStore
	case since > 0 && since < t.forgotten:
		return u, t.changed, errForgotten
	}
	for _, r := range t.records[p] {
		if r.Version > since && (!u.Whole || !r.Removed) {
			u.Records = append(u.Records, r)
		}
	}
	return u, t.changed, nil
}

func (t *table) join(host string) func(context.Context, fleet.Member) ([]fleet.Member, error) {
	return func(_ context.Context, m fleet.Member) ([]fleet.Member, error) {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.refuse[host] || t.refuse[""] {
			return nil, errStore
		}
		t.members = append(t.members, m)
		return append([]fleet.Member{}, t.members...), nil
	}
}

// cluster is a number of edges in one process that reach each other by function
// calls.
type cluster struct {
	c     *qt.C
	table *table
	zones map[string]string

	mu    sync.Mutex
	edges map[string]*Edge
	// cut holds the hosts that no other host reaches.
	cut map[string]bool
	// apart holds pairs of zones whose hosts do not reach each other.
	apart map[[2]string]bool
	// repeats bounds the repeats of hosts that are started.
	repeats budget.WindowOptions
	// unread holds the hosts from which no book can be fetched; the empty name stands
	// for all.
	unread map[string]bool
	// deaf holds pairs of hosts of which the first one's ticks do not reach the second.
	deaf map[[2]string]bool
	// refusing holds the hosts whose endpoints rest, so that they refuse what others
	// pass on.
	refusing map[string]bool
	// longest is the length of the longest tick, in bytes.
	longest atomic.Int64
	// send answers for endpoints.
	send func(ctx context.Context, s *Sending) (*Reply, error)
	// ticks counts those that arrived.
	ticks atomic.Int64
	// observed holds the ends of requests.
	observed []Observation
}

func newCluster(t *testing.T) *cluster {
	k := &cluster{
		c:     qt.New(t),
		table: newTable(),
		zones: map[string]string{
			"z1": "north",
			"z2": "south",
		},
		edges: map[string]*Edge{},
		cut:   map[string]bool{},
		apart: map[[2]string]bool{},
		repeats: budget.WindowOptions{
			Ratio:  0.2,
			Slack:  100,
			Length: 10 * time.Millisecond,
		},
		unread:   map[string]bool{},
		deaf:     map[[2]string]bool{},
		refusing: map[string]bool{},
		send:     answer,
	}
	k.declare(1, 1)
	for i, z := range []string{"z1", "z1", "z2", "z2"} {
		k.list(fmt.Sprint("e", i+1), z)
	}
	return k
}

// answer is an endpoint that answers.
func answer(_ context.Context, s *Sending) (*Reply, error) {
	return &Reply{
		Status:  http.StatusOK,
		Body:    []byte(s.Target.ID),
		Ran:     true,
		Genuine: true,
		Load:    1,
	}, nil
}

func rejected() *Reply {
	return &Reply{
		Status: http.StatusServiceUnavailable,
		Load:   -1,
	}
}

// declare declares a version with a repeatable route and one that is not.
func (k *cluster) declare(version uint64, weight float64) {
	parts := []route.Part{
		{
			Upstream: "desk",
			Weight:   weight,
		},
		{
			Upstream: "till",
			Weight:   1 - weight,
		},
	}
	k.table.put(registry.Orders, "declaration", registry.Record{
		Declaration: &route.Declaration{
			Version: version,
			Routes: []route.Route{
				{
					Name:       "look-up",
					Host:       "desk.example",
					Prefix:     "/look/",
					Repeatable: true,
					Timeout:    time.Second,
					Objective:  300 * time.Millisecond,
					Rank:       1,
					Attempts:   2,
					Affinity:   true,
					Parts:      parts,
				},
				{
					Name:      "charge",
					Host:      "desk.example",
					Prefix:    "/charge/",
					Timeout:   time.Second,
					Objective: 300 * time.Millisecond,
					Attempts:  2,
					Affinity:  true,
					Parts:     parts,
				},
			},
			Upstreams: map[string]route.Upstream{
				"desk": {
					Connections: 100,
					ColdRate:    10,
				},
				"till": {},
			},
		},
	})
}

func (k *cluster) endpoint(id, zone string) registry.Endpoint {
	return registry.Endpoint{
		ID:       id,
		Upstream: "desk",
		Address:  netip.MustParseAddrPort("10.0.0.1:80"),
		Zone:     zone,
		Slots:    3,
		Sequence: k.table.version + 1,
	}
}

func (k *cluster) list(id, zone string) {
	e := k.endpoint(id, zone)
	k.table.put(registry.Endpoints, id, registry.Record{
		Endpoint: &e,
	})
}

// change lists or removes a number of endpoints at the same moment.
func (k *cluster) change(n int, zone string, removed bool) {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	for i := range n {
		e := k.endpoint(fmt.Sprint("many", i), zone)
		k.table.version++
		k.table.records[registry.Endpoints][e.ID] = registry.Record{
			Version:  k.table.version,
			Removed:  removed,
			Endpoint: &e,
		}
	}
	close(k.table.changed)
	k.table.changed = make(chan struct{})
}

func (k *cluster) unlist(id string) {
	k.table.put(registry.Endpoints, id, registry.Record{
		Removed: true,
		Endpoint: &registry.Endpoint{
			ID: id,
		},
	})
}

// start starts a host and ends it with the test.
func (k *cluster) start(name, zone string) *Edge {
	e := New(Options{
		Self: fleet.Member{
			Name:    name,
			Zone:    zone,
			Region:  k.zones[zone],
			Started: time.Now(),
		},
		Zones:   k.zones,
		Repeats: k.repeats,
		Log:     func(string, ...any) {},
		Observe: k.observe,
		Seams: Seams{
			Read: k.table.read(name),
			Forgotten: func(err error) bool {
				return errors.Is(err, errForgotten)
			},
			Join:  k.table.join(name),
			Tell:  k.tell(name),
			Fetch: k.fetch(name),
			Send: func(ctx context.Context, s *Sending) (*Reply, error) {
				if !k.reaches(zone, s.Target.Zone) {
					return nil, &Failure{
						Reason: "unreachable",
						Cause:  errStore,
					}
				}
				return k.sender()(ctx, s)
			},
			Carry: k.carry(name),
		},
	})
	k.mu.Lock()
	k.edges[name] = e
	k.mu.Unlock()
	e.Start()
	k.c.Cleanup(func() {
		k.c.Check(e.Stop(), qt.IsNil)
	})
	return e
}

func (k *cluster) sender() func(context.Context, *Sending) (*Reply, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.send
}

func (k *cluster) answerBy(f func(context.Context, *Sending) (*Reply, error)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.send = f
}

func (k *cluster) observe(o *Observation) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.observed = append(k.observed, *o)
}

func (k *cluster) isolate(name string, cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut[name] = cut
}

func (k *cluster) cutZones(a, b string, cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.apart[[2]string{a, b}] = cut
	k.apart[[2]string{b, a}] = cut
}

// reaches reports whether hosts of a zone reach endpoints of another.
func (k *cluster) reaches(from, to string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.apart[[2]string{from, to}]
}

// reach returns a host that another one reaches, or nil.
func (k *cluster) reach(from, to string) *Edge {
	k.mu.Lock()
	defer k.mu.Unlock()
	a, b := k.edges[from], k.edges[to]
	if k.cut[from] || k.cut[to] || b == nil || k.apart[[2]string{a.options.Self.Zone, b.options.Self.Zone}] {
		return nil
	}
	return b
}

func (k *cluster) tell(name string) func([]fleet.Member, *Tick) {
	return func(to []fleet.Member, t *Tick) {
		k.measure(t)
		for _, m := range to {
			if e := k.reach(name, m.Name); e != nil && !k.isDeaf(name, m.Name) {
				k.ticks.Add(1)
				go e.Hear(t)
			}
		}
	}
}

func (k *cluster) fetch(name string) func(context.Context, fleet.Member, [registry.Parts]uint64) (*Book, error) {
	return func(ctx context.Context, m fleet.Member, since [registry.Parts]uint64) (*Book, error) {
		if k.noBook(m.Name) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if e := k.reach(name, m.Name); e != nil {
			return e.Book(ctx, since)
		}
		return nil, errStore
	}
}

// measure notes the length of a tick.
func (k *cluster) measure(t *Tick) {
	b, err := json.Marshal(t)
	k.c.Check(err, qt.IsNil)
	if n := int64(len(b)); n > k.longest.Load() {
		k.longest.Store(n)
	}
}

func (k *cluster) isDeaf(from, to string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.deaf[[2]string{from, to}]
}

func (k *cluster) noBook(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.unread[name] || k.unread[""]
}

func (k *cluster) isRefusing(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.refusing[name]
}

// set changes a fault of the cluster.
func set[K comparable](k *cluster, m map[K]bool, key K, on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	m[key] = on
}

func (k *cluster) carry(name string) func(context.Context, fleet.Member, *Carried) (*Carry, error) {
	return func(ctx context.Context, m fleet.Member, c *Carried) (*Carry, error) {
		if k.isRefusing(m.Name) {
			return &Carry{
				Refusal: &Refusal{
					Code: code.NoEndpoint,
				},
			}, nil
		}
		if e := k.reach(name, m.Name); e != nil {
			return e.Take(ctx, c), nil
		}
		return nil, &Failure{
			Reason: "unreachable",
			Cause:  errStore,
		}
	}
}

// within waits until f holds and fails the test if it does not in time.
func (k *cluster) within(d time.Duration, what string, f func() bool) time.Duration {
	began := time.Now()
	for !f() {
		if time.Since(began) > d {
			k.c.Fatalf("not within %s: %s", d, what)
		}
		<-time.After(5 * time.Millisecond)
	}
	return time.Since(began)
}

func (k *cluster) ready(s ...*Edge) {
	defer func() {
		if !k.c.Failed() {
			return
		}
		for _, e := range s {
			v := e.View()
			k.c.Logf("%s: ready %v, declaration %v, endpoints %v, knows of %v", e.options.Self.Name, e.Ready(), v.Table != nil, v.Listed, v.Live)
		}
	}()
	k.within(3*time.Second, "ready", func() bool {
		for _, e := range s {
			if !e.Ready() || len(e.View().Live) != len(s) {
				return false
			}
		}
		return true
	})
}

func usable(e *Edge) int {
	n := 0
	for _, u := range e.balancer.Uses() {
		n += u.Slots
	}
	return n
}

var requests atomic.Int64

// request returns an attempt of a client.
func request(path string) *Request {
	now := time.Now()
	return &Request{
		ID:       fmt.Sprint("q", requests.Add(1)),
		Method:   http.MethodGet,
		Host:     "desk.example",
		Path:     path,
		Target:   path,
		Header:   http.Header{},
		Object:   "7",
		Arrived:  now,
		Deadline: now.Add(2 * time.Second),
	}
}
