package collector_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"regexp"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"heatherford/core"
	"heatherford/core/code"
	"heatherford/core/outcome"
	"heatherford/core/rollup"
	"heatherford/core/settings"
	"heatherford/core/store"
	"heatherford/core/strict"
	"heatherford/io/collector"
)

// platform keeps objects in memory and may be down.
type platform struct {
	mu      sync.Mutex
	down    bool
	objects map[string][]byte
	wrote   chan string
}

func (p *platform) put(_ context.Context, name string, data []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return code.New(code.PlatformDown, "platform: down")
	}
	p.objects[name] = data
	select {
	case p.wrote <- name:
	default:
	}
	return nil
}

// run starts a daemon that has only this plug-in. Roll-ups that it hands over
// go to kept.
func run(c *qt.C, p *platform, kept *[]rollup.Object) *core.Kernel {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	plugins := []core.Plugin{
		{
			Name: "io/fake",
			Attach: func(k *core.Kernel) error {
				k.PluginFuncs.Store = store.Store{
					PutObject: p.put,
				}
				k.PluginFuncs.SendRollUps = func(_ context.Context, s []rollup.Object) error {
					*kept = append(*kept, s...)
					return nil
				}
				return nil
			},
		},
	}
	for _, x := range core.Plugins() {
		if x.Name == collector.Name {
			plugins = append(plugins, x)
		}
	}
	k, err := core.New(core.Options{
		Settings: &settings.Settings{
			Host:             "h1",
			CollectorAddress: netip.MustParseAddrPort(l.Addr().String()),
			Limits: settings.Limits{
				RollUpInterval: strict.Duration(time.Millisecond),
				StopDeadline:   strict.Duration(10 * time.Second),
			},
		},
		Log:     log.NewNopLogger(),
		Metrics: tally.NoopScope,
		Plugins: plugins,
	})
	c.Assert(err, qt.IsNil)
	c.Assert(l.Close(), qt.IsNil)
	c.Assert(k.Start(), qt.IsNil)
	return k
}

func result(k *core.Kernel) {
	k.Results.Record(outcome.Result{
		Kind:    "deposit-charge",
		Rank:    "standard",
		Code:    code.Answered,
		Correct: true,
		At:      k.Now(),
		Elapsed: 7 * time.Millisecond,
	})
}

// TestReportRollUpHandedOver stops a daemon while the platform is down: its last
// roll-up goes to another host, closed and whole.
func TestReportRollUpHandedOver(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	p := &platform{
		objects: map[string][]byte{},
		wrote:   make(chan string, 1),
	}
	kept := []rollup.Object{}
	k := run(c, p, &kept)
	result(k)
	<-p.wrote
	p.mu.Lock()
	p.down = true
	p.mu.Unlock()
	result(k)
	c.Assert(k.Stop(), qt.IsNil)
	c.Assert(kept, qt.HasLen, 1)
	r, err := rollup.Decode(kept[0].Data)
	c.Assert(err, qt.IsNil)
	c.Assert(r.Stopped, qt.IsTrue)
	c.Assert(r.Kinds[0].Asked, qt.Equals, uint64(2))
	c.Assert(p.objects[kept[0].Name], qt.Not(qt.IsNil), qt.Commentf("the same name as before"))
}

// TestReportMetrics reads the metrics as a collector does.
func TestReportMetrics(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	p := &platform{
		objects: map[string][]byte{},
	}
	k := run(c, p, &[]rollup.Object{})
	result(k)
	url := fmt.Sprintf("http://%s/metrics", k.Settings.CollectorAddress)
	want := regexp.MustCompile(`(?m)^heatherford_requests\{code="5000",kind="deposit-charge",late="false",outcome="answered",rank="standard"\} 1$`)
	text := ""
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && !want.MatchString(text); {
		text = get(c, url)
	}
	c.Assert(want.MatchString(text), qt.IsTrue, qt.Commentf("%s", text))
	c.Assert(text, qt.Contains, `heatherford_answer_seconds_bucket{kind="deposit-charge",rank="standard",le="0.01"} 1`)
	c.Assert(text, qt.Contains, "process_resident_memory_bytes")
	http.DefaultClient.CloseIdleConnections()
	c.Assert(k.Stop(), qt.IsNil)
}

func get(c *qt.C, url string) string {
	a, err := http.Get(url)
	c.Assert(err, qt.IsNil)
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	c.Assert(err, qt.IsNil)
	return string(b)
}
