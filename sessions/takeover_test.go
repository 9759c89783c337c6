package sessions

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"heatherford/core/code"
	"heatherford/core/grant"
	"heatherford/core/intent"
	"heatherford/core/store"
	"heatherford/standin/platform"
)

// ownedFleet is a fleet in which every endpoint has an upstream and a kind of its
// own, so that a request says which endpoint is in use.
type ownedFleet struct {
	*fleet
	dir     string
	client  *http.Client
	daemons map[string]*exec.Cmd
}

const (
	takeoverHosts     = 20
	takeoverEndpoints = 40
	// quietTime is how long the platform's load is counted.
	quietTime = 10 * time.Second
	// takeoverPoll is the time between two tries of an endpoint.
	takeoverPoll = 5 * time.Millisecond
)

// BenchmarkGrantTakeover kills one host after the other without warning, each
// iteration one, and reports how long its endpoints were out of use, and what the
// grants of 20 hosts and 40 endpoints cost the platform while nothing happens.
func BenchmarkGrantTakeover(b *testing.B) {
	c := qt.New(b)
	f := newOwnedFleet(c)
	f.awaitSettled(c)
	f.reportLoad(b, c)
	h := hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
	for i := range b.N {
		f.kill(c, f.hosts[i%len(f.hosts)].Name, h)
	}
	b.ReportMetric(float64(h.TotalCount()), "endpoints")
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50_ms")
	b.ReportMetric(float64(h.ValueAtQuantile(90)), "p90_ms")
	b.ReportMetric(float64(h.Max()), "max_ms")
}

func newOwnedFleet(c *qt.C) *ownedFleet {
	f := &ownedFleet{
		fleet: newFleet(fleetOptions{
			hosts:     takeoverHosts,
			endpoints: takeoverEndpoints,
			service:   5 * time.Millisecond,
			lookupTTL: 100 * time.Millisecond,
		}, func() netip.AddrPort {
			a, err := freeAddress()
			c.Assert(err, qt.IsNil)
			return a
		}),
		dir:     c.TempDir(),
		client:  http.DefaultClient,
		daemons: map[string]*exec.Cmd{},
	}
	c.Assert(f.write(f.dir), qt.IsNil)
	run(c, f.dir, "heatherford-standin", "standin.json")
	for _, h := range f.hosts {
		f.daemons[h.Name] = run(c, f.dir, "heatherfordd", h.Name+".json")
	}
	p := &pair{
		operator: "http://" + f.hosts[0].operator.String(),
		caller:   "http://" + f.hosts[0].CallerAddress.String(),
		client:   f.client,
	}
	p.declare(c, f.owned())
	return f
}

// owned returns the fleet's declaration with an upstream for each endpoint.
func (f *ownedFleet) owned() *intent.Declaration {
	d := f.declaration()
	k := d.Kinds[0]
	d.Kinds = []intent.Kind{}
	d.Upstreams = []intent.Upstream{}
	for _, e := range f.endpoints {
		k.Name = e.Name
		k.Upstream = e.Name
		d.Kinds = append(d.Kinds, k)
		d.Upstreams = append(d.Upstreams, intent.Upstream{
			Name:      e.Name,
			Endpoints: []intent.Endpoint{e},
		})
	}
	// The pair's own look-ups ask for this kind.
	k.Name = "waiver-lookup"
	d.Kinds = append(d.Kinds, k)
	return d
}

// rows returns the grants as the platform holds them.
func (f *ownedFleet) rows(c *qt.C) []grant.Row {
	a, err := f.client.Post(fmt.Sprintf("http://%s/v1/read", f.platform), "application/json", strings.NewReader(`{"prefixes":["`+grant.RowPrefix+`"]}`))
	c.Assert(err, qt.IsNil)
	defer a.Body.Close()
	x := struct {
		Rows []store.Row `json:"rows"`
	}{}
	c.Assert(json.NewDecoder(a.Body).Decode(&x), qt.IsNil)
	s := []grant.Row{}
	for _, r := range x.Rows {
		g := grant.Row{}
		c.Assert(json.Unmarshal(r.Value, &g), qt.IsNil)
		s = append(s, g)
	}
	return s
}

// awaitSettled waits until every endpoint has an owner with all its slots and
// every host owns one to three.
func (f *ownedFleet) awaitSettled(c *qt.C) {
	const tries = 3
	for range tries {
		if eventually(func() bool { return f.settled(c) }) {
			return
		}
	}
	c.Fatalf("the grants did not settle: %+v", f.rows(c))
}

func (f *ownedFleet) settled(c *qt.C) bool {
	owned := map[string]int{}
	rows := f.rows(c)
	for _, r := range rows {
		if len(r.Reserved) > 0 || r.Limits.Slots != fleetSlots {
			return false
		}
		owned[r.Owner]++
	}
	for _, h := range f.hosts {
		if owned[h.Name] < 1 || owned[h.Name] > 3 {
			return false
		}
	}
	return len(rows) == len(f.endpoints)
}

// reportLoad reports what the platform is asked while nothing happens.
func (f *ownedFleet) reportLoad(b *testing.B, c *qt.C) {
	x := f.counts(c)
	<-time.After(quietTime)
	y := f.counts(c)
	b.ReportMetric(float64(y.Commits-x.Commits)/quietTime.Seconds(), "writes/s")
	b.ReportMetric(float64(y.Reads-x.Reads)/quietTime.Seconds(), "reads/s")
	b.ReportMetric(float64(y.BytesRead-x.BytesRead)/quietTime.Seconds(), "read_B/s")
	b.ReportMetric(float64(y.BytesWritten-x.BytesWritten)/quietTime.Seconds(), "written_B/s")
}

func (f *ownedFleet) counts(c *qt.C) platform.Counts {
	a, err := f.client.Get(fmt.Sprintf("http://%s/counts", f.platform))
	c.Assert(err, qt.IsNil)
	defer a.Body.Close()
	x := platform.Counts{}
	c.Assert(json.NewDecoder(a.Body).Decode(&x), qt.IsNil)
	return x
}

// kill kills a host, records how long each of its endpoints was out of use, and
// starts the host again.
func (f *ownedFleet) kill(c *qt.C, host string, h *hdrhistogram.Histogram) {
	others := []fleetHost{}
	for _, o := range f.hosts {
		if o.Name != host {
			others = append(others, o)
		}
	}
	owned := []string{}
	for _, r := range f.rows(c) {
		if r.Owner == host {
			owned = append(owned, r.Endpoint)
		}
	}
	c.Assert(f.daemons[host].Process.Kill(), qt.IsNil)
	started := time.Now()
	took := make([]time.Duration, len(owned))
	wg := sync.WaitGroup{}
	for i, e := range owned {
		wg.Go(func() {
			took[i] = f.awaitInUse(others[i%len(others)], e, started)
		})
	}
	wg.Wait()
	for i, d := range took {
		c.Logf("%s of %s: back in use after %v", owned[i], host, d)
		c.Assert(d < untilDeadline, qt.IsTrue)
		c.Assert(h.RecordValue(d.Milliseconds()), qt.IsNil)
	}
	_ = f.daemons[host].Wait()
	f.daemons[host] = run(c, f.dir, "heatherfordd", host+".json")
	f.awaitSettled(c)
}

// awaitInUse sends requests for the endpoint to the host until one is answered,
// and returns how long after started that was.
func (f *ownedFleet) awaitInUse(h fleetHost, endpoint string, started time.Time) time.Duration {
	url := fmt.Sprintf("http://%s/v1/work/%s/x", h.CallerAddress, endpoint)
	answered := fmt.Sprint(int(code.Answered))
	for time.Since(started) < untilDeadline {
		if codeOf([]string{http.MethodPost, url}) == answered {
			break
		}
		<-time.After(takeoverPoll)
	}
	return time.Since(started)
}
