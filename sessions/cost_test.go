package sessions

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"heatherford/core/intent"
	"heatherford/core/strict"
	"heatherford/io/operator"
)

// pair is one daemon in front of one stand-in endpoint, as separate processes.
type pair struct {
	caller   string
	endpoint string
	operator string
	daemon   *exec.Cmd
	client   *http.Client
}

const (
	costZone   = "zone-1"
	costRegion = "region-1"
	costSlots  = 64
)

func newPair(c *qt.C) *pair {
	return newPairWith(c, map[string]any{})
}

// newPairWith is newPair with limits in the daemon's settings.
func newPairWith(c *qt.C, limits map[string]any) *pair {
	a := addresses(c, 6)
	d := c.TempDir()
	writeJSON(c, d, "standin.json", map[string]any{
		"platform_address": a[0],
		"hosts": []any{
			map[string]any{
				"name":              "h1",
				"availability_zone": costZone,
				"region":            costRegion,
				"state":             "live",
				"caller_address":    a[2],
				"peer_address":      a[3],
			},
		},
		"endpoints": []any{
			map[string]any{
				"name":    "desk-1",
				"address": a[1],
				"slots":   costSlots,
				"service": "0s",
			},
		},
	})
	writeJSON(c, d, "h1.json", map[string]any{
		"host":              "h1",
		"availability_zone": costZone,
		"region":            costRegion,
		"caller_address":    a[2],
		"peer_address":      a[3],
		"operator_address":  a[4],
		"collector_address": a[5],
		"log": map[string]any{
			"level": "warn",
		},
		"operators": map[string]any{
			"open": true,
		},
		"peers": map[string]any{
			"open": true,
		},
		"platform": map[string]any{
			"adapter": "http",
			"url":     "http://" + a[0],
		},
		"limits": limits,
	})
	run(c, d, "heatherford-standin", "standin.json")
	return &pair{
		caller:   "http://" + a[2],
		endpoint: "http://" + a[1],
		operator: "http://" + a[4],
		daemon:   run(c, d, "heatherfordd", "h1.json"),
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: costSlots,
			},
		},
	}
}

func addresses(c *qt.C, n int) []string {
	s := []string{}
	for range n {
		a, err := freeAddress()
		c.Assert(err, qt.IsNil)
		s = append(s, a.String())
	}
	return s
}

func writeJSON(c *qt.C, dir, name string, v any) {
	b, err := json.Marshal(v)
	c.Assert(err, qt.IsNil)
	const mode = 0o600
	c.Assert(os.WriteFile(filepath.Join(dir, name), b, mode), qt.IsNil)
}

func run(c *qt.C, dir, program, settings string) *exec.Cmd {
	p := exec.Command(filepath.Join(bin, program), "-settings", settings)
	p.Dir = dir
	p.Stderr = os.Stderr
	c.Assert(p.Start(), qt.IsNil)
	c.Cleanup(func() {
		_ = p.Process.Kill()
		_ = p.Wait()
	})
	return p
}

// declare confirms d and waits until look-ups follow it.
func (p *pair) declare(c *qt.C, d *intent.Declaration) {
	b, err := json.Marshal(d)
	c.Assert(err, qt.IsNil)
	plan := operator.Plan{}
	p.post(c, "/v1/plan", b, &plan)
	b, err = json.Marshal(operator.Confirm{
		Plan:      plan,
		Operation: "cost",
	})
	c.Assert(err, qt.IsNil)
	p.post(c, "/v1/confirm", b, &operator.Confirmed{})
	c.Assert(eventually(func() bool {
		return p.do(http.MethodGet, p.caller+"/v1/lookup?kind=waiver-lookup", nil) == nil
	}), qt.IsTrue)
}

func (p *pair) post(c *qt.C, path string, in []byte, out any) {
	b := []byte(nil)
	c.Assert(eventually(func() bool {
		a, err := p.client.Post(p.operator+path, "application/json", bytes.NewReader(in))
		if err != nil {
			return false
		}
		defer a.Body.Close()
		b, err = io.ReadAll(a.Body)
		return err == nil && a.StatusCode == http.StatusOK
	}), qt.IsTrue, qt.Commentf("the last answer: %.300s", b))
	c.Assert(json.Unmarshal(b, out), qt.IsNil)
}

func eventually(f func() bool) bool {
	for end := time.Now().Add(untilDeadline); time.Now().Before(end); <-time.After(pollInterval) {
		if f() {
			return true
		}
	}
	return false
}

// do makes a call and reads the whole answer.
func (p *pair) do(method, url string, body []byte) error {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	a, err := p.client.Do(r)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return err
	}
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", a.StatusCode)
	}
	return nil
}

// processorTime returns what the daemon has used of all cores together.
func (p *pair) processorTime(c *qt.C) time.Duration {
	return processorTime(c, p.daemon.Process)
}

func processorTime(c *qt.C, p *os.Process) time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid))
	c.Assert(err, qt.IsNil)
	f := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+1:]))
	const user, system = 11, 12
	ticks := 0
	for _, i := range []int{user, system} {
		n, err := strconv.Atoi(f[i])
		c.Assert(err, qt.IsNil)
		ticks += n
	}
	const tick = 10 * time.Millisecond
	return time.Duration(ticks) * tick
}

// resident returns the daemon's memory in MiB.
func (p *pair) resident(c *qt.C) float64 {
	return resident(c, p.daemon.Process)
}

func resident(c *qt.C, p *os.Process) float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid))
	c.Assert(err, qt.IsNil)
	_, rest, ok := strings.Cut(string(b), "VmRSS:")
	c.Assert(ok, qt.IsTrue)
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	c.Assert(err, qt.IsNil)
	const kbPerMiB = 1024
	return float64(kb) / kbPerMiB
}

func costDeclaration(p *pair, blocks, sites int) *intent.Declaration {
	d := &intent.Declaration{
		Format: intent.Format,
		Name:   "cost",
		Ranks: []intent.Rank{
			{
				Name:    "urgent",
				Planned: 1,
				Floor:   0.5,
			},
		},
		Kinds: []intent.Kind{
			{
				Name:       "waiver-lookup",
				Rank:       "urgent",
				Upstream:   "waiver-desk",
				Repeatable: true,
				Deadline:   strict.Duration(2 * time.Second),
				Weight:     1,
			},
		},
		Regions: []intent.Region{
			{
				Name:  costRegion,
				Zones: []string{costZone},
				Cap:   costSlots,
			},
		},
		Upstreams: []intent.Upstream{
			{
				Name: "waiver-desk",
				Endpoints: []intent.Endpoint{
					{
						Name:        "desk-1",
						Address:     netip.MustParseAddrPort(strings.TrimPrefix(p.endpoint, "http://")),
						Zone:        costZone,
						Slots:       costSlots,
						Connections: 660,
					},
				},
			},
		},
	}
	for i := range sites {
		d.Sites = append(d.Sites, intent.Site{
			Name: fmt.Sprintf("site-%d", i),
			Zone: costZone,
		})
	}
	for i := range blocks {
		d.Blocks = append(d.Blocks, intent.Block{
			Prefix: blockPrefix(i),
			Site:   fmt.Sprintf("site-%d", i%sites),
		})
	}
	return d
}

// blockPrefix returns the i-th /24 from 10.0.0.0 on.
func blockPrefix(i int) netip.Prefix {
	const first, octet = 10 << 16, 1 << 8
	n := first + i
	a := netip.AddrFrom4([4]byte{byte(n / octet / octet), byte(n / octet), byte(n), 0})
	return netip.PrefixFrom(a, 24)
}

// BenchmarkRequestCost pairs requests through the daemon with the same requests
// straight to the endpoint, in turn, on one connection each.
func BenchmarkRequestCost(b *testing.B) {
	c := qt.New(b)
	p := newPair(c)
	p.declare(c, costDeclaration(p, 0, 1))
	body := []byte("Ann of the river")
	measure := func(url string, h *hdrhistogram.Histogram) {
		s := time.Now()
		c.Assert(p.do(http.MethodPost, url, body), qt.IsNil)
		c.Assert(h.RecordValue(time.Since(s).Nanoseconds()), qt.IsNil)
	}
	const highest, digits = int64(time.Minute), 3
	direct := hdrhistogram.New(1, highest, digits)
	through := hdrhistogram.New(1, highest, digits)
	for b.Loop() {
		measure(p.endpoint+"/waivers/7", direct)
		measure(p.caller+"/v1/work/waiver-lookup/waivers/7", through)
	}
	report := func(unit string, q float64) {
		added := through.ValueAtQuantile(q) - direct.ValueAtQuantile(q)
		b.ReportMetric(float64(added)/float64(time.Microsecond), unit)
	}
	const median, high = 50, 99
	report("added-median-us", median)
	report("added-p99-us", high)
	b.ReportMetric(float64(direct.ValueAtQuantile(median))/float64(time.Microsecond), "direct-median-us")
}

// BenchmarkRequestsPerCore measures the daemon's processor time for a request.
func BenchmarkRequestsPerCore(b *testing.B) {
	c := qt.New(b)
	p := newPair(c)
	p.declare(c, costDeclaration(p, 0, 1))
	p.perCore(b, c, p.caller+"/v1/work/waiver-lookup/waivers/7", http.MethodPost)
}

// BenchmarkLookupsPerCore measures the daemon's processor time for a look-up
// with as many blocks as the plan has.
func BenchmarkLookupsPerCore(b *testing.B) {
	c := qt.New(b)
	p := newPair(c)
	before := p.resident(c)
	const blocks, sites = 300_000, 500
	p.declare(c, costDeclaration(p, blocks, sites))
	p.perCore(b, c, p.caller+"/v1/lookup?kind=waiver-lookup&caller=11.2.3.4", http.MethodGet)
	b.ReportMetric(p.resident(c)-before, "resident-MiB")
}

func (p *pair) perCore(b *testing.B, c *qt.C, url, method string) {
	before := p.processorTime(c)
	b.ResetTimer()
	p.drive(c, url, method, b.N)
	b.StopTimer()
	used := p.processorTime(c) - before
	b.ReportMetric(float64(b.N)/used.Seconds(), "per-core/s")
}

// drive makes n calls from several workers.
func (p *pair) drive(c *qt.C, url, method string, n int) {
	const workers = 16
	left := atomic.Int64{}
	left.Store(int64(n))
	failed := atomic.Int64{}
	w := sync.WaitGroup{}
	for range workers {
		w.Go(func() {
			for left.Add(-1) >= 0 {
				if p.do(method, url, nil) != nil {
					failed.Add(1)
				}
			}
		})
	}
	w.Wait()
	c.Assert(failed.Load(), qt.Equals, int64(0))
}
