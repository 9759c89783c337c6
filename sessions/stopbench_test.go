package sessions

import (
	"fmt"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/store"
	"heatherford/io/operator"
)

// BenchmarkRollingStop replaces one host after the other under load, by a new
// process of the same name, and counts the requests that were cut off.
func BenchmarkRollingStop(b *testing.B) {
	c := qt.New(b)
	w := newWorld(c, fleetOptions{
		hosts:     *benchHosts,
		endpoints: 24,
		service:   20 * time.Millisecond,
		lookupTTL: 500 * time.Millisecond,
	})
	urls := []string{}
	for _, h := range w.hosts {
		urls = append(urls, "http://"+h.CallerAddress.String())
		w.awaitServing(h)
	}
	const callers = 32
	t := newTraffic(urls, callers)
	t.start()
	stops := newHistogram()
	i := 0
	for b.Loop() {
		h := w.hosts[i%len(w.hosts)]
		started := time.Now()
		w.end(h.Name, syscall.SIGTERM)
		record(c, stops, time.Since(started))
		w.launch(h.Name, "heatherfordd")
		w.awaitServing(h)
		i++
	}
	r := t.stop()
	report(b, stops, "stop")
	b.ReportMetric(float64(r.answered), "answered")
	b.ReportMetric(float64(r.refused), "refused")
	b.ReportMetric(float64(r.failed), "cut-off")
	c.Assert(r.failures, qt.HasLen, 0)
}

// awaitServing waits until a host answers look-ups.
func (w *world) awaitServing(h fleetHost) {
	w.c.Assert(eventually(func() bool {
		return w.lookedUp(h) > 0
	}), qt.IsTrue, qt.Commentf("%s does not serve", h.Name))
}

// BenchmarkControlBytes measures what daemons spend on each other for control,
// at rest and with one change a second.
func BenchmarkControlBytes(b *testing.B) {
	for _, n := range []int{5, 10, 20, 40} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			c := qt.New(b)
			w := newWorld(c, fleetOptions{
				hosts:     n,
				endpoints: 12,
				lookupTTL: 500 * time.Millisecond,
			})
			const settle, span = 15 * time.Second, 10 * time.Second
			<-time.After(settle)
			for b.Loop() {
				before := w.spent()
				<-time.After(span)
				w.reportSpent(b, before, span, "rest")
				before = w.spent()
				for i, end := 0, time.Now().Add(span); time.Now().Before(end); i++ {
					_, err := w.tryToggle(i)
					c.Assert(err, qt.IsNil)
					<-time.After(time.Second)
				}
				w.reportSpent(b, before, span, "changes")
			}
		})
	}
}

// spent is what all hosts have spent so far.
type spent struct {
	// exchange and other are the bytes of connections that hosts opened to
	// each other, in both directions, by what they were opened for.
	exchange uint64
	other    uint64
	// reads and lists are the platform's.
	reads int
	lists int
}

func (w *world) spent() spent {
	s := operator.Status{}
	w.c.Assert(w.call(w.hosts[0], http.MethodGet, "/v1/status", nil, &s), qt.IsNil)
	x := spent{
		exchange: s.Exchange.Bytes(),
		other:    s.Other.Bytes(),
	}
	for _, o := range s.Others {
		w.c.Assert(o.Report, qt.IsNotNil)
		x.exchange += o.Report.Exchange.Bytes()
		x.other += o.Report.Other.Bytes()
	}
	p := struct {
		Reads     int `json:"reads"`
		ListReads int `json:"list_reads"`
	}{}
	w.get(w.platform, "/counts", &p)
	x.reads = p.Reads
	x.lists = p.ListReads
	return x
}

func (w *world) get(a netip.AddrPort, path string, out any) {
	w.c.Assert(w.call(fleetHost{
		Host:     store.Host{},
		operator: a,
	}, http.MethodGet, path, nil, out), qt.IsNil)
}

// reportSpent reports what a daemon spent a second: each byte counts at both of
// its ends.
func (w *world) reportSpent(b *testing.B, before spent, span time.Duration, name string) {
	now := w.spent()
	const ends = 2
	perHost := func(bytes uint64) float64 {
		return float64(bytes) * ends / float64(len(w.hosts)) / span.Seconds()
	}
	b.ReportMetric(perHost(now.exchange-before.exchange), name+"-exchange-B/s")
	b.ReportMetric(perHost(now.other-before.other), name+"-other-B/s")
	b.ReportMetric(float64(now.reads-before.reads)/span.Seconds(), name+"-reads/s")
	b.ReportMetric(float64(now.lists-before.lists)/span.Seconds(), name+"-lists/s")
}
