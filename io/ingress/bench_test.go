package ingress_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"gopkg.in/tomb.v2"

	"heatherford/core/balance"
	"heatherford/core/budget"
	"heatherford/core/edge"
	"heatherford/core/fleet"
	"heatherford/core/registry"
	"heatherford/core/route"
	"heatherford/io/ingress"
)

// bench is an ingress before an edge whose endpoint is a function.
type bench struct {
	c       *qt.C
	edge    *edge.Edge
	ingress *ingress.Ingress
	callers string
	ready   string
	lookups string
	client  *http.Client
	lines   *lines
	tomb    tomb.Tomb
}

// options vary a bench.
type options struct {
	send func(ctx context.Context, s *edge.EndpointRequest) (*edge.Reply, error)
	// gate holds what callers' connections have read; nil holds nothing.
	gate *gate
	// idle is the time after which an unused connection is closed, if not nil.
	idle func() time.Duration
	// pause is the longest pause between bytes of a body, if not 0.
	pause time.Duration
	// slots is the number of requests that the endpoint processes at a time, if not 0.
	slots int
	// orders are the declarations, if not nil.
	orders *orders
}

func freeAddress(c *qt.C) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

func newBench(t *testing.T, send func(ctx context.Context, s *edge.EndpointRequest) (*edge.Reply, error)) *bench {
	return newBenchWith(t, options{
		send: send,
	})
}

func newBenchWith(t *testing.T, v options) *bench {
	c := qt.New(t)
	x := &lines{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	o := ingress.Options{
		ReadyPath:  "/ready",
		LookupPath: "/hosts",
		Callers:    netip.MustParseAddrPort(l.Addr().String()),
		Ready:      freeAddress(c),
		Directory:  freeAddress(c),
		Log:        x.add,
		Headers: ingress.Headers{
			RequestID:  "Id",
			DeadlineMS: "Left",
			Object:     "Object",
			Own:        []string{"For"},
			ToHosts:    []string{"Leaving"},
			ByHost:     "By-Host",
		},
		Lookups: ingress.Lookups{
			TTL: 2 * time.Second,
			Query: func(r *http.Request) ingress.Query {
				return ingress.Query{
					Zone:   r.URL.Query().Get("zone"),
					Region: r.URL.Query().Get("region"),
				}
			},
			Answer: func(hosts []netip.AddrPort, _ time.Duration) any {
				return hosts
			},
		},
	}
	b := &bench{
		c:       c,
		edge:    newEdge(o.Callers, v),
		callers: "http://" + o.Callers.String(),
		ready:   "http://" + o.Ready.String() + "/ready",
		lookups: "http://" + o.Directory.String() + "/hosts",
		lines:   x,
		client: &http.Client{
			Transport: &http.Transport{},
		},
	}
	o.Edge = b.edge
	b.edge.Start()
	i, err := ingress.StartOn(o, &b.tomb, &gatedListener{
		Listener: l,
		gate:     v.gate,
	}, v.idle, v.pause)
	c.Assert(err, qt.IsNil)
	b.ingress = i
	c.Cleanup(func() {
		b.client.CloseIdleConnections()
		b.tomb.Kill(nil)
		c.Check(b.tomb.Wait(), qt.IsNil)
		c.Check(b.edge.Stop(), qt.IsNil)
	})
	for began := time.Now(); !b.edge.Ready(); <-time.After(5 * time.Millisecond) {
		c.Assert(time.Since(began) < 3*time.Second, qt.IsTrue)
	}
	return b
}

func newEdge(callers netip.AddrPort, v options) *edge.Edge {
	return edge.New(edge.Options{
		Self: fleet.Member{
			Name:       "a",
			Zone:       "z",
			Region:     "r",
			CallerAddr: callers,
		},
		Zones: map[string]string{
			"z": "r",
		},
		RetryBudget: budget.WindowOptions{
			Slack:  10,
			Length: 10 * time.Second,
		},
		Log: func(string, ...any) {},

		ObserveDelay: func(time.Duration) {},

		Observe: func(*edge.Observation) {},
		Transport: edge.Transport{
			Read:        v.read,
			HistoryLost: func(error) bool { return false },
			Join: func(context.Context, fleet.Member) ([]fleet.Member, error) {
				return nil, nil
			},
			SendHeartbeat: func([]fleet.Member, *edge.Heartbeat) {},
			Fetch: func(context.Context, fleet.Member, [registry.NumParts]registry.Version) (*edge.Delta, error) {
				return nil, errors.New("nobody is there")
			},
			Send: v.send,
			Lost: func(balance.Target) bool {
				return false
			},
			Probe: func(context.Context, balance.Target) edge.ProbeResult {
				return edge.ProbeAccepted
			},
		},
	})
}

// first is the version of all records.
var first = registry.Version{
	Number: 1,
}

// defaultSlots is the number of slots of the endpoint.
const defaultSlots = 4

// read knows one endpoint, and one route that never changes unless there are orders.
func (v options) read(ctx context.Context, p registry.Part, since registry.Version, wait time.Duration) (registry.Update, error) {
	if p == registry.OperatorRecords && v.orders != nil {
		return v.orders.read(ctx, since, wait), nil
	}
	u := registry.Update{
		Part:    p,
		Version: first,
	}
	if !since.IsZero() {
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		return u, nil
	}
	u.Records = []registry.Record{{
		Version: first,
		Declaration: &route.Declaration{
			Version: 1,
			Limits: route.Limits{
				HeaderBytes: 2000,
				BodyBytes:   100,
				IdleTimeout: 300 * time.Millisecond,
			},
			Upstreams: map[string]route.Upstream{
				"desk": {},
			},
			Routes: []route.Route{{
				Name:      "all",
				Host:      "desk.example",
				Prefix:    "/a/",
				Attempts:  2,
				Objective: time.Second,
				Parts: []route.Part{{
					Upstream: "desk",
					Weight:   1,
				}},
			}},
		},
	}}
	if p == registry.Endpoints {
		u.Records = []registry.Record{{
			Version: first,
			Endpoint: &registry.Endpoint{
				ID:       "e1",
				Upstream: "desk",
				Address:  netip.MustParseAddrPort("10.0.0.1:80"),
				Zone:     "z",
				Slots:    cmp.Or(v.slots, defaultSlots),
			},
		}}
	}
	return u, nil
}

func (b *bench) request(method, path, body string, header ...string) *http.Request {
	r, err := http.NewRequest(method, b.callers+path, strings.NewReader(body))
	b.c.Assert(err, qt.IsNil)
	r.Host = "desk.example"
	r.Header.Set("Id", "q1")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

// do returns the status, the body and the answer's headers.
func (b *bench) do(r *http.Request) (int, string, http.Header) {
	a, err := b.client.Do(r)
	b.c.Assert(err, qt.IsNil)
	defer a.Body.Close()
	s, err := io.ReadAll(a.Body)
	b.c.Assert(err, qt.IsNil)
	return a.StatusCode, string(s), a.Header
}

// echo answers with what it got.
func echo(_ context.Context, s *edge.EndpointRequest) (*edge.Reply, error) {
	q := s.Request
	h := http.Header{
		"Mark":       {"m"},
		"Connection": {"keep-alive"},
		"Keep-Alive": {"timeout=9"},
		"Leaving":    {"1"},
	}
	return &edge.Reply{
		Status:  http.StatusCreated,
		Header:  h,
		Body:    fmt.Appendf(nil, "%s %s %s %v %s", q.Method, q.Target, q.Body, q.Header, q.Object),
		Ran:     true,
		Genuine: true,
		Load:    -1,
	}, nil
}
