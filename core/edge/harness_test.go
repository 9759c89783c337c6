package edge

import (
	"context"
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

	"heatherford/core/balance"
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
	errPlatform    = errors.New("the platform does not answer")
	errHistoryLost = errors.New("the platform has lost its history")
)

// cluster is a number of edges in one process that reach each other by function
// calls.
type cluster struct {
	c        *qt.C
	platform *fakePlatform
	zones    map[string]string

	mu    sync.Mutex
	edges map[string]*Edge
	// isolated holds the hosts that no other host reaches.
	isolated map[string]bool
	// partitioned holds pairs of zones whose hosts do not reach each other.
	partitioned map[[2]string]bool
	// retryBudget is the retry budget of hosts that are started.
	retryBudget budget.WindowOptions
	// fetchFails holds the hosts from which nothing can be fetched; the empty name
	// stands for all.
	fetchFails map[string]bool
	// heartbeatsLost holds pairs of hosts; the heartbeats of the first do not reach
	// the second.
	heartbeatsLost map[[2]string]bool
	// lateness holds by how much later than others a slow host handles what reaches it.
	lateness map[string]time.Duration
	// forwardsRefused holds the hosts that refuse forwarded requests, as they do for
	// suspended endpoints.
	forwardsRefused map[string]bool
	// longestHeartbeat is the length of the longest heartbeat, in bytes.
	longestHeartbeat atomic.Int64
	// cuts holds how the hosts are cut off from all endpoints that are.
	cuts map[string]cutMode
	// silentZone is the zone whose endpoints answer no probe, or empty.
	silentZone string
	// probesAccepted is true if probes are accepted whatever the cut.
	probesAccepted bool
	// lost counts the sends on connections that were cut, by request.
	lost map[string]int
	// send answers for endpoints.
	send func(ctx context.Context, s *EndpointRequest) (*Reply, error)
	// refuses reports whether nobody listens at an endpoint's address.
	refuses func(endpoint string) bool
	// log takes the log lines of hosts that are started.
	log func(kind string, pairs ...any)
	// delayed takes the delays of steps of hosts that are started.
	delayed func(d time.Duration)
	// fails holds the hosts that are expected to end with an error.
	fails map[string]bool
	// heartbeats counts those that arrived.
	heartbeats atomic.Int64
	// observed holds the observations of all requests.
	observed []Observation
}

func newCluster(t *testing.T) *cluster {
	k := &cluster{
		c:        qt.New(t),
		platform: newFakePlatform(),
		zones: map[string]string{
			"z1": "north",
			"z2": "south",
		},
		edges:       map[string]*Edge{},
		isolated:    map[string]bool{},
		partitioned: map[[2]string]bool{},
		retryBudget: budget.WindowOptions{
			Ratio:  0.2,
			Slack:  100,
			Length: 10 * time.Millisecond,
		},
		fetchFails:      map[string]bool{},
		heartbeatsLost:  map[[2]string]bool{},
		lateness:        map[string]time.Duration{},
		forwardsRefused: map[string]bool{},
		cuts:            map[string]cutMode{},
		lost:            map[string]int{},
		send:            answerOK,
		refuses: func(string) bool {
			return false
		},
		log:     func(string, ...any) {},
		delayed: func(time.Duration) {},
		fails:   map[string]bool{},
	}
	k.declare(1, 1)
	for i, z := range []string{"z1", "z1", "z2", "z2"} {
		k.addEndpoint(fmt.Sprint("e", i+1), z)
	}
	return k
}

// answerOK answers for an endpoint with success.
func answerOK(_ context.Context, s *EndpointRequest) (*Reply, error) {
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

// declare puts in force a declaration with a repeatable route and one that is not.
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
	k.platform.put(registry.OperatorRecords, "declaration", registry.Record{
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
		Sequence: k.platform.version + 1,
	}
}

func (k *cluster) addEndpoint(id, zone string) {
	e := k.endpoint(id, zone)
	k.platform.put(registry.Endpoints, id, registry.Record{
		Endpoint: &e,
	})
}

// putMany lists or removes a number of endpoints at the same moment.
func (k *cluster) putMany(n int, zone string, removed bool) {
	k.platform.mu.Lock()
	defer k.platform.mu.Unlock()
	for i := range n {
		e := k.endpoint(fmt.Sprint("many", i), zone)
		k.platform.version++
		k.platform.records[registry.Endpoints][e.ID] = registry.Record{
			Version:  k.platform.at(),
			Removed:  removed,
			Endpoint: &e,
		}
	}
	close(k.platform.changed)
	k.platform.changed = make(chan struct{})
}

func (k *cluster) removeEndpoint(id string) {
	k.platform.put(registry.Endpoints, id, registry.Record{
		Removed: true,
		Endpoint: &registry.Endpoint{
			ID: id,
		},
	})
}

// start starts a host and stops it at the end of the test.
func (k *cluster) start(name, zone string) *Edge {
	e := New(Options{
		Self: fleet.Member{
			Name:    name,
			Zone:    zone,
			Region:  k.zones[zone],
			Started: time.Now(),
		},
		Zones:        k.zones,
		RetryBudget:  k.retryBudget,
		Log:          k.log,
		Observe:      k.observe,
		ObserveDelay: k.delayed,
		Transport: Transport{
			Read: k.lateRead(name),
			HistoryLost: func(err error) bool {
				return errors.Is(err, errHistoryLost)
			},
			Join:          k.platform.join(name),
			Enlist:        k.platform.enlist(name),
			SendHeartbeat: k.sendHeartbeat(name),
			Fetch:         k.fetch(name),
			Send: func(ctx context.Context, s *EndpointRequest) (*Reply, error) {
				if !k.zonesConnected(zone, s.Target.Zone) {
					return nil, &Failure{
						Reason: "unreachable",
						Cause:  errPlatform,
					}
				}
				return k.sendThroughCut(ctx, name, s)
			},
			Forward: k.forward(name),
			Lost: func(t balance.Target) bool {
				return k.refusesFunc()(t.ID)
			},
			Probe: func(ctx context.Context, t balance.Target) ProbeResult {
				if r := k.probeThroughCut(ctx, name, t.Zone); r != ProbeAccepted {
					return r
				}
				if k.refusesFunc()(t.ID) {
					return ProbeRefused
				}
				return ProbeAccepted
			},
		},
	})
	k.mu.Lock()
	k.edges[name] = e
	k.mu.Unlock()
	e.Start()
	k.c.Cleanup(func() {
		k.c.Check(e.Stop() != nil, qt.Equals, k.fails[name])
	})
	return e
}

// startMany starts a number of hosts in a zone, whose names begin with the prefix.
func (k *cluster) startMany(n int, prefix, zone string) []*Edge {
	s := []*Edge{}
	for i := range n {
		s = append(s, k.start(fmt.Sprint(prefix, i), zone))
	}
	return s
}

func (k *cluster) sendFunc() func(context.Context, *EndpointRequest) (*Reply, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.send
}

func (k *cluster) refusesFunc() func(string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.refuses
}

func (k *cluster) setRefuses(f func(endpoint string) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refuses = f
}

func (k *cluster) setSend(f func(context.Context, *EndpointRequest) (*Reply, error)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.send = f
}

func (k *cluster) observe(o *Observation) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.observed = append(k.observed, *o)
}

func (k *cluster) sendHeartbeat(name string) func([]fleet.Member, *Heartbeat) {
	return func(to []fleet.Member, t *Heartbeat) {
		k.recordLength(t)
		for _, m := range to {
			if e := k.connectedHost(name, m.Name); e != nil && !k.losesHeartbeats(name, m.Name) {
				k.heartbeats.Add(1)
				go k.deliver(m.Name, e, t)
			}
		}
	}
}

func (k *cluster) fetch(name string) func(context.Context, fleet.Member, [registry.NumParts]registry.Version) (*Delta, error) {
	return func(ctx context.Context, m fleet.Member, since [registry.NumParts]registry.Version) (*Delta, error) {
		if k.failsFetch(m.Name) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if e := k.connectedHost(name, m.Name); e != nil {
			return k.lateDelta(ctx, e, name, since)
		}
		return nil, errPlatform
	}
}

func (k *cluster) forward(name string) func(context.Context, fleet.Member, *ForwardRequest) (*ForwardResult, error) {
	return func(ctx context.Context, m fleet.Member, c *ForwardRequest) (*ForwardResult, error) {
		if k.refusesForwards(m.Name) {
			return &ForwardResult{
				Refusal: &Refusal{
					Code: code.NoEndpoint,
				},
			}, nil
		}
		if e := k.connectedHost(name, m.Name); e != nil {
			return e.HandleForward(ctx, c), nil
		}
		return nil, &Failure{
			Reason: "unreachable",
			Cause:  errPlatform,
		}
	}
}

// eventually waits until f holds and returns how long that took. It fails the test
// after d.
func (k *cluster) eventually(d time.Duration, what string, f func() bool) time.Duration {
	began := time.Now()
	for !f() {
		if time.Since(began) > d {
			k.c.Fatalf("not within %s: %s", d, what)
		}
		<-time.After(5 * time.Millisecond)
	}
	return time.Since(began)
}

func (k *cluster) waitReady(s ...*Edge) {
	defer func() {
		if !k.c.Failed() {
			return
		}
		for _, e := range s {
			v := e.View()
			k.c.Logf("%s: ready %v, declaration %v, endpoints %v, knows of %v", e.options.Self.Name, e.Ready(), v.Table != nil, v.EndpointsKnown, v.Live)
		}
	}()
	k.eventually(3*time.Second, "ready", func() bool {
		for _, e := range s {
			if !e.Ready() || len(e.View().Live) != len(s) {
				return false
			}
		}
		return true
	})
}

func usableSlots(e *Edge) int {
	n := 0
	for _, u := range e.balancer.SlotUses() {
		n += u.Slots
	}
	return n
}

var requests atomic.Int64

// request returns a client's request.
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
