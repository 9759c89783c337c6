package sessions

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/standin/platform"
)

const (
	// fleetCostSettle is how long a fleet runs before it is measured.
	fleetCostSettle = 5 * time.Second
	fleetCostTime   = 10 * time.Second
)

// fleetUse is what a fleet has used up to a moment.
type fleetUse struct {
	at        time.Time
	processor time.Duration
	// bytes are those of all reads and writes of the daemons, on sockets for
	// the most part.
	bytes    float64
	platform platform.Counts
}

func (w *world) use() fleetUse {
	u := fleetUse{
		at: time.Now(),
	}
	for _, h := range w.hosts {
		p := w.processes[h.Name].Process
		u.processor += processorTime(w.c, p)
		u.bytes += transferred(w.c, p)
	}
	a, err := w.client.Get(fmt.Sprintf("http://%s/counts", w.platform))
	w.c.Assert(err, qt.IsNil)
	defer a.Body.Close()
	w.c.Assert(json.NewDecoder(a.Body).Decode(&u.platform), qt.IsNil)
	return u
}

// transferred returns the bytes that a process has read and written.
func transferred(c *qt.C, p *os.Process) float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", p.Pid))
	c.Assert(err, qt.IsNil)
	sum := 0.0
	for _, l := range strings.Split(string(b), "\n") {
		name, value, _ := strings.Cut(l, ": ")
		if name != "rchar" && name != "wchar" {
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		c.Assert(err, qt.IsNil)
		sum += n
	}
	return sum
}

// fleetCost runs a fleet without work, with some changes a second, and reports
// what control costs each daemon and the platform.
func fleetCost(b *testing.B, o fleetOptions, changes float64) {
	c := qt.New(b)
	w := newWorld(c, o)
	time.Sleep(fleetCostSettle)
	before := w.use()
	w.change(changes)
	after := w.use()
	s := after.at.Sub(before.at).Seconds()
	n := float64(len(w.hosts))
	const percent, kib = 100, 1 << 10
	b.ReportMetric(percent*(after.processor-before.processor).Seconds()/s/n, "core-%/host")
	b.ReportMetric((after.bytes-before.bytes)/kib/s/n, "KiB/s/host")
	b.ReportMetric(w.meanResident(), "MiB/host")
	b.ReportMetric(float64(after.platform.Commits-before.platform.Commits)/s, "commits/s")
	b.ReportMetric(float64(after.platform.Reads-before.platform.Reads)/s, "reads/s")
	b.ReportMetric(float64(after.platform.ListReads-before.platform.ListReads)/s, "lists/s")
	b.ReportMetric(float64(after.platform.Puts-before.platform.Puts)/s, "puts/s")
	b.ReportMetric(0, "ns/op")
}

// change drains endpoints and ends the drains, at the rate, for the measured
// time.
func (w *world) change(rate float64) {
	end := time.Now().Add(fleetCostTime)
	if rate == 0 {
		time.Sleep(fleetCostTime)
		return
	}
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for i := 0; time.Now().Before(end); i++ {
		w.confirm(w.hosts[i%len(w.hosts)], "/v1/plan/edit", w.toggle(i))
		<-tick.C
	}
}

func (w *world) meanResident() float64 {
	sum := 0.0
	for _, h := range w.hosts {
		sum += resident(w.c, w.processes[h.Name].Process)
	}
	return sum / float64(len(w.hosts))
}

// BenchmarkFleetControl measures a fleet without work by its hosts, its endpoints
// and its changes. Each is run once: -benchtime 1x.
func BenchmarkFleetControl(b *testing.B) {
	const hosts, endpoints = 20, 40
	for _, n := range []int{5, 10, 20} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			fleetCost(b, fleetOptions{
				hosts:     n,
				endpoints: endpoints,
			}, 0)
		})
	}
	for _, n := range []int{20, 40, 80} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			fleetCost(b, fleetOptions{
				hosts:     hosts,
				endpoints: n,
			}, 0)
		})
	}
	for _, n := range []float64{0.5, 1, 2} {
		b.Run(fmt.Sprintf("changes=%g", n), func(b *testing.B) {
			fleetCost(b, fleetOptions{
				hosts:     hosts,
				endpoints: endpoints,
			}, n)
		})
	}
}
