package sessions

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"heatherford/core/intent"
	"heatherford/io/caller"
	"heatherford/io/operator"
)

var (
	benchSeed  = flag.Uint64("fleet-seed", 1, "seed of the measured runs over a fleet")
	benchHosts = flag.Int("fleet-hosts", 20, "hosts of the measured runs over a fleet")
)

// world is a running fleet.
type world struct {
	*fleet
	c         *qt.C
	dir       string
	random    *rand.Rand
	client    *http.Client
	mu        sync.Mutex
	processes map[string]*exec.Cmd
	// operations numbers the confirmations.
	operations int
}

func newWorld(c *qt.C, o fleetOptions) *world {
	w := &world{
		fleet: newFleet(o, func() netip.AddrPort {
			a, err := freeAddress()
			c.Assert(err, qt.IsNil)
			return a
		}),
		c:         c,
		dir:       c.TempDir(),
		random:    rand.New(rand.NewPCG(*benchSeed, 1)),
		processes: map[string]*exec.Cmd{},
		client: &http.Client{
			Timeout: 10 * time.Second,
		},
	}
	c.Assert(w.write(w.dir), qt.IsNil)
	w.launch("standin", "heatherford-standin")
	for _, h := range w.hosts {
		w.launch(h.Name, "heatherfordd")
	}
	c.Cleanup(w.killAll)
	for _, h := range w.hosts {
		w.awaitHosts(h, len(w.hosts))
	}
	w.confirm(w.hosts[0], "/v1/plan", w.declaration())
	w.awaitVersion(1, w.hosts)
	return w
}

func (w *world) launch(name, program string) {
	f, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	w.c.Assert(err, qt.IsNil)
	defer f.Close()
	p := exec.Command(filepath.Join(bin, program), "-settings", name+".json")
	p.Dir = w.dir
	p.Stderr = f
	p.Stdout = f
	w.c.Assert(p.Start(), qt.IsNil)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.processes[name] = p
}

// end sends a signal to a process and waits for its end.
func (w *world) end(name string, s os.Signal) {
	w.mu.Lock()
	p := w.processes[name]
	w.mu.Unlock()
	w.c.Assert(p.Process.Signal(s), qt.IsNil)
	err := p.Wait()
	if s == syscall.SIGTERM {
		w.c.Assert(err, qt.IsNil)
	}
}

func (w *world) killAll() {
	for _, p := range w.processes {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
}

func (w *world) faults(body string) {
	r, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/faults", w.platform), bytes.NewReader([]byte(body)))
	w.c.Assert(err, qt.IsNil)
	a, err := w.client.Do(r)
	w.c.Assert(err, qt.IsNil)
	a.Body.Close()
}

// call makes a call to a host's operators' interface.
func (w *world) call(h fleetHost, method, path string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return err
	}
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s%s", h.operator, path), bytes.NewReader(b))
	if err != nil {
		return err
	}
	a, err := w.client.Do(r)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	b, err = io.ReadAll(a.Body)
	if err != nil {
		return err
	}
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", a.Status, b)
	}
	return json.Unmarshal(b, out)
}

// plan plans a change at a host.
func (w *world) plan(h fleetHost, path string, in any) (operator.Plan, error) {
	p := operator.Plan{}
	return p, w.call(h, http.MethodPost, path, in, &p)
}

// put puts a plan in force.
func (w *world) put(h fleetHost, p operator.Plan) (uint64, error) {
	w.operations++
	a := operator.Confirmed{}
	err := w.call(h, http.MethodPost, "/v1/confirm", operator.Confirm{
		Plan:      p,
		Operation: fmt.Sprintf("op-%d", w.operations),
	}, &a)
	return a.Version, err
}

func (w *world) confirm(h fleetHost, path string, in any) uint64 {
	p, err := w.plan(h, path, in)
	w.c.Assert(err, qt.IsNil)
	n, err := w.put(h, p)
	w.c.Assert(err, qt.IsNil)
	return n
}

// toggle returns the edit that drains an endpoint, or ends its drain.
func (w *world) toggle(i int) intent.Edit {
	return intent.Edit{
		Kind:    intent.EditEndpoint,
		Name:    w.endpoints[i/2%len(w.endpoints)].Name,
		Leaving: i%2 == 0,
	}
}

func (w *world) awaitHosts(h fleetHost, n int) {
	w.c.Assert(eventually(func() bool {
		s := operator.Status{}
		return w.call(h, http.MethodGet, "/v1/status", nil, &s) == nil && s.Hosts == n
	}), qt.IsTrue, qt.Commentf("%s does not see %d hosts", h.Name, n))
}

// lookedUp returns the version by which a host answers a look-up, or 0 if it
// does not serve.
func (w *world) lookedUp(h fleetHost) uint64 {
	a, err := w.client.Get(fmt.Sprintf("http://%s/v1/lookup?kind=%s", h.CallerAddress, fleetKind))
	if err != nil {
		return 0
	}
	defer a.Body.Close()
	l := caller.Lookup{}
	if a.StatusCode != http.StatusOK || json.NewDecoder(a.Body).Decode(&l) != nil {
		return 0
	}
	return l.Version
}

// awaitVersion waits until all hosts answer by the version.
func (w *world) awaitVersion(n uint64, hosts []fleetHost) {
	g := sync.WaitGroup{}
	for _, h := range hosts {
		g.Go(func() {
			for end := time.Now().Add(untilDeadline); w.lookedUp(h) < n; <-time.After(time.Millisecond) {
				if time.Now().After(end) {
					w.c.Errorf("host %s does not have version %d", h.Name, n)
					return
				}
			}
		})
	}
	g.Wait()
}

func newHistogram() *hdrhistogram.Histogram {
	const highest, digits = int64(time.Minute), 3
	return hdrhistogram.New(1, highest, digits)
}

func record(c *qt.C, h *hdrhistogram.Histogram, d time.Duration) {
	c.Assert(h.RecordValue(d.Nanoseconds()), qt.IsNil)
}

func report(b *testing.B, h *hdrhistogram.Histogram, name string) {
	const median, high, highest = 50, 99, 100
	for unit, q := range map[string]float64{
		"median-ms": median,
		"p99-ms":    high,
		"max-ms":    highest,
	} {
		b.ReportMetric(float64(h.ValueAtQuantile(q))/float64(time.Millisecond), name+"-"+unit)
	}
}

// BenchmarkChange measures the time from the sending of a confirmation until
// look-ups at every host follow the new version.
func BenchmarkChange(b *testing.B) {
	c := qt.New(b)
	w := newWorld(c, fleetOptions{
		hosts:     *benchHosts,
		endpoints: 12,
		lookupTTL: 500 * time.Millisecond,
	})
	h := newHistogram()
	i := 0
	for b.Loop() {
		at := w.hosts[w.random.IntN(len(w.hosts))]
		p, err := w.plan(at, "/v1/plan/edit", w.toggle(i))
		c.Assert(err, qt.IsNil)
		started := time.Now()
		n, err := w.put(at, p)
		c.Assert(err, qt.IsNil)
		w.awaitVersion(n, w.hosts)
		record(c, h, time.Since(started))
		i++
	}
	report(b, h, "everywhere")
}

// BenchmarkChangeInOutage measures the same with the platform going down right
// after the write and three hosts dying, the one that confirmed among them.
func BenchmarkChangeInOutage(b *testing.B) {
	c := qt.New(b)
	w := newWorld(c, fleetOptions{
		hosts:     *benchHosts,
		endpoints: 12,
		lookupTTL: 500 * time.Millisecond,
	})
	h := newHistogram()
	i := 0
	for b.Loop() {
		order := w.random.Perm(len(w.hosts))
		at := w.hosts[order[0]]
		p, err := w.plan(at, "/v1/plan/edit", w.toggle(i))
		c.Assert(err, qt.IsNil)
		w.faults(`{"down_after_commit": true, "for_keys": "config/"}`)
		started := time.Now()
		n, err := w.put(at, p)
		c.Assert(err, qt.IsNil)
		const dying = 3
		left := []fleetHost{}
		for k, j := range order {
			if k < dying {
				w.end(w.hosts[j].Name, syscall.SIGKILL)
				continue
			}
			left = append(left, w.hosts[j])
		}
		w.awaitVersion(n, left)
		record(c, h, time.Since(started))
		b.StopTimer()
		w.faults(`{}`)
		for _, j := range order[:dying] {
			w.launch(w.hosts[j].Name, "heatherfordd")
		}
		for _, x := range w.hosts {
			w.awaitHosts(x, len(w.hosts))
		}
		w.awaitVersion(n, w.hosts)
		b.StartTimer()
		i++
	}
	report(b, h, "survivors")
}
