package edge

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/balance"
	"heatherford/core/budget"
	"heatherford/core/fleet"
	"heatherford/core/quarantine"
	"heatherford/core/registry"
	"heatherford/core/route"
)

// lone is a host whose transport reaches nothing, and which runs no control goroutine of
// its own.
type lone struct {
	t       *testing.T
	edge    *Edge
	control *control
	now     time.Time
}

// newLone returns a host that knows a declaration and two endpoints, of which it owns one.
func newLone(t *testing.T) *lone {
	unreached := errors.New("nothing is reached")
	l := &lone{
		t:   t,
		now: time.Now(),
	}
	l.edge = New(Options{
		Self: fleet.Member{
			Name:    "self",
			Zone:    "z1",
			Region:  "north",
			Started: l.now.Round(0),
		},
		Zones: map[string]string{
			"z1": "north",
			"z2": "south",
		},
		Log:          func(string, ...any) {},
		Observe:      func(*Observation) {},
		ObserveDelay: func(time.Duration) {},
		RetryBudget: budget.WindowOptions{
			Slack:  10,
			Length: time.Second,
		},
		Transport: Transport{
			Read: func(context.Context, registry.Part, registry.Version, time.Duration) (registry.Update, error) {
				return registry.Update{}, unreached
			},
			HistoryLost: func(error) bool { return false },
			Join:        func(context.Context, fleet.Member) ([]fleet.Member, error) { return nil, unreached },
			Enlist:      func(context.Context, []fleet.Member) error { return unreached },
			SendHeartbeat: func(_ []fleet.Member, h *Heartbeat) {
				_, err := json.Marshal(h)
				qt.Check(t, err, qt.IsNil)
			},
			Fetch: func(context.Context, fleet.Member, [registry.NumParts]registry.Version) (*Delta, error) {
				return nil, unreached
			},
			Send:  answerOK,
			Probe: func(context.Context, balance.Target) ProbeResult { return ProbeAccepted },
			Lost:  func(balance.Target) bool { return false },
			Forward: func(context.Context, fleet.Member, *ForwardRequest) (*ForwardResult, error) {
				return nil, failure(false)
			},
		},
	})
	l.control = newControl(l.edge, l.now)
	// The goroutines that the control starts end with this one.
	l.edge.tomb.Go(func() error {
		<-l.edge.tomb.Dying()
		return nil
	})
	l.control.applyDelta(&Delta{
		Updates: known(),
	}, "other", l.now, l.now)
	return l
}

// known are the records that the host knows.
func known() []registry.Update {
	v := registry.Version{
		Era:    1,
		Number: 5,
	}
	part := []route.Part{{
		Upstream: "desk",
		Weight:   1,
	}}
	endpoint := func(id, zone string) registry.Record {
		return registry.Record{
			Version: v,
			Endpoint: &registry.Endpoint{
				ID:       id,
				Upstream: "desk",
				Address:  netip.MustParseAddrPort("10.0.0.1:80"),
				Zone:     zone,
				Slots:    1,
			},
		}
	}
	return []registry.Update{
		{
			Part:    registry.OperatorRecords,
			Full:    true,
			Version: v,
			Records: []registry.Record{{
				Version: v,
				Declaration: &route.Declaration{
					Version: 2,
					Routes: []route.Route{{
						Name:       "look-up",
						Host:       "desk.example",
						Prefix:     "/",
						Repeatable: true,
						Timeout:    time.Second,
						Objective:  300 * time.Millisecond,
						Attempts:   2,
						Parts:      part,
					}},
					Upstreams: map[string]route.Upstream{
						"desk": {
							Connections: 10,
							ColdRate:    10,
						},
					},
				},
			}},
		},
		{
			Part:    registry.Endpoints,
			Full:    true,
			Version: v,
			Records: []registry.Record{endpoint("e1", "z1"), endpoint("e2", "z2")},
		},
	}
}

// goOn has the host work on, with requests, and ends it.
func (l *lone) goOn() {
	for range 3 {
		l.now = l.now.Add(sharesLogInterval)
		l.control.step(l.now)
		for _, id := range []string{"e1", "e2", "e3"} {
			l.acquire(id)
		}
	}
	_, err := json.Marshal(l.control.delta([registry.NumParts]registry.Version{}, l.now))
	qt.Check(l.t, err, qt.IsNil)
	l.edge.Upstreams(l.now)
	ctx, cancel := context.WithTimeout(l.t.Context(), 20*time.Millisecond)
	defer cancel()
	l.edge.Serve(ctx, request("/look/1"))
	qt.Check(l.t, l.edge.Panics(), qt.Equals, uint64(0))
	l.edge.tomb.Kill(nil)
	qt.Check(l.t, l.edge.tomb.Wait(), qt.IsNil)
}

// acquire fills an endpoint's slots, so that further requests look at its queue.
func (l *lone) acquire(id string) {
	ctx, cancel := context.WithCancel(l.t.Context())
	cancel()
	for range 2 {
		l.edge.balancer.Acquire(ctx, id, balance.Request{
			Upstream:  "desk",
			Objective: time.Now().Add(time.Second),
			Deadline:  time.Now().Add(time.Second),
		})
	}
}

// encoded returns a value as JSON.
func encoded(f *testing.F, v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		f.Fatal(err)
	}
	return b
}

// FuzzHeartbeat guards against heartbeats that end a host, or after which it can send none
// of its own.
func FuzzHeartbeat(f *testing.F) {
	now := time.Unix(1_000_000, 0).UTC()
	state := balance.State{
		Load:     3,
		Backlog:  time.Second,
		Slowdown: 1,
	}
	t := &Heartbeat{
		From: fleet.Member{
			Name:    "other",
			Zone:    "z1",
			Region:  "north",
			Started: now,
		},
		Settled:  true,
		Declared: 2,
		Changes:  known(),
		Owned: map[string]balance.State{
			"e1": state,
			"e2": state,
		},
		Limits: map[string]balance.LimitReport{
			"e1": {
				StatedLimit: balance.StatedLimit{
					Stated: true,
					Rate:   5,
				},
			},
		},
		Suspects: []quarantine.Report{{}},
		Gossip: []HostStatus{{
			Name:    "third",
			Started: now,
			Owned: map[string]balance.State{
				"e1": state,
			},
		}},
		Shares: map[string]balance.Shares{
			"desk": {
				Near: 0.3,
				Far:  0.2,
			},
		},
		Zones: []ZoneStatus{{
			Zone: "z2",
			Live: []string{"fourth"},
			Uses: map[string]balance.SlotUse{
				"desk": {
					Slots: 3,
					Used:  2,
				},
			},
		}},
	}
	f.Add(encoded(f, t))
	for _, s := range []string{
		`null`, `{}`,
		`{"from":{"name":"other","zone":"z1"},"changes":[{"part":-1,"version":"1.9"},{"part":2,"version":"1.9"},{"part":7,"version":"1.9"}]}`,
		`{"from":{"name":"other","zone":"z1"},"changes":[{"part":1,"version":"1.9","since":"1.5","records":[{"version":"1.9"}]}]}`,
		`{"from":{"name":"other","zone":"z1"},"changes":[{"part":1,"version":"1.9","since":"1.5","records":[{"version":"1.9","endpoint":{}}]}]}`,
		`{"from":{"name":"other","zone":"z1"},"changes":[{"part":1,"version":"1.9","since":"1.5","records":[{"version":"1.9","endpoint":{"id":"e3","upstream":"desk","zone":"z1","address":"10.0.0.1:80","slots":0,"born":"2026-01-01T00:00:00Z"}}]}]}`,
		`{"from":{"name":"other","zone":"z1"},"changes":[{"part":1,"version":"1.9","since":"1.5","records":[{"version":"1.9","endpoint":{"id":"e3","upstream":"desk","zone":"z1","address":"10.0.0.1:80","slots":-5,"born":"2026-01-01T00:00:00Z"}}]}]}`,
		`{"from":{"name":"other","zone":"z1"},"changes":[{"part":0,"version":"1.9","since":"1.5","records":[{"version":"1.9","declaration":{}}]}]}`,
		`{"from":{"name":"other","zone":"z1"},"changes":[{"part":0,"version":"1.9","since":"1.5","records":[{"version":"1.9","declaration":{"version":9,"routes":[{"host":"desk.example","prefix":"/","attempts":-9}]}}]}]}`,
		`{"from":{"name":"other","zone":"z2"},"zones":[{"zone":"z2","uses":{"desk":{"slots":1,"used":1e308}}},{"zone":"z3","uses":{"desk":{"slots":1,"used":1e308}}}]}`,
		`{"from":{"name":"other","zone":"z1"},"limits":{"e1":{"stated":true,"rate":-1e308,"born":"0001-01-01T00:00:00Z"},"e2":{"stated":true,"rate":1e308,"born":"0001-01-01T00:00:00Z"}}}`,
		`{"from":{"name":"other","zone":"z1"},"owned":{"e2":{"load":-9223372036854775808,"pace":-1e308,"backlog":-9223372036854775808,"rest":9223372036854775807,"failing":1e308,"missing":1e308}}}`,
		`{"from":{"name":"other","zone":"z1"},"shares":{"desk":{"near":1e308,"far":-1e308}}}`,
		`{"from":{"name":"self","zone":"z1"},"news":[{"version":"1.5","changed":"9.9","age":-1},{"version":"0.0","changed":"0.0","age":9223372036854775807}]}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		x := &Heartbeat{}
		if json.Unmarshal(b, x) != nil {
			return
		}
		l := newLone(t)
		l.control.handleHeartbeat(x, l.now)
		l.goOn()
	})
}

// FuzzDelta guards against answers of another host that end this one, or after which it can
// tell others nothing.
func FuzzDelta(f *testing.F) {
	f.Add(encoded(f, &Delta{
		Updates: known(),
		Members: []fleet.Member{{
			Name: "other",
			Zone: "z1",
		}},
	}))
	f.Add([]byte(`{"updates":[{"part":9,"whole":true,"version":"2.1"}],"ages":[-1,5],"members":[{}]}`))
	f.Add([]byte(`{"updates":[{"part":1,"whole":true,"version":"2.1","records":[{"version":"2.1","gone_in":5,"endpoint":{"id":"e1"}}]}]}`))
	f.Add([]byte(`{"updates":[{"part":0,"whole":true,"version":"2.1","records":[{"version":"2.1","contradicted":true,"emptied_zone":"z1"}]}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		x := &Delta{}
		if json.Unmarshal(b, x) != nil {
			return
		}
		l := newLone(t)
		l.control.applyDelta(x, "other", l.now, l.now)
		l.goOn()
	})
}

// FuzzForward guards against forwarded requests that end a host or its answer.
func FuzzForward(f *testing.F) {
	f.Add(encoded(f, &ForwardRequest{
		Endpoint:  "e1",
		ID:        "q1.e1",
		Request:   "q1",
		Method:    http.MethodGet,
		Host:      "desk.example",
		Target:    "/look/1",
		Class:     "look-up",
		Objective: time.Second,
		Remaining: time.Second,
	}))
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"endpoint":"e1","rank":-9223372036854775808,"left":9223372036854775807,"objective":-9223372036854775808}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		x := &ForwardRequest{}
		if json.Unmarshal(b, x) != nil {
			return
		}
		l := newLone(t)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		for range 3 {
			c := l.edge.HandleForward(ctx, x)
			qt.Check(t, c.Reply != nil || c.Refusal != nil || c.Failure != nil, qt.IsTrue)
			_, err := json.Marshal(c)
			qt.Check(t, err, qt.IsNil)
		}
		l.goOn()
	})
}
