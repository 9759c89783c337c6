package sessions

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/intent"
)

// BenchmarkDrain measures, under load, the time from a sign that an endpoint is
// leaving until it ended its last request: in turn by an operator's confirmed word
// and by the endpoint's own answers. Each endpoint leaves once.
func BenchmarkDrain(b *testing.B) {
	c := qt.New(b)
	const endpoints, service = 60, 20 * time.Millisecond
	w := newWorld(c, fleetOptions{
		hosts:     *benchHosts,
		endpoints: endpoints,
		service:   service,
		lookupTTL: 500 * time.Millisecond,
	})
	urls := []string{}
	for _, h := range w.hosts {
		urls = append(urls, "http://"+h.CallerAddress.String())
		w.awaitServing(h)
	}
	const callers = 48
	t := newTraffic(urls, callers)
	t.start()
	const warm = 3 * time.Second
	<-time.After(warm)
	byWord := newHistogram()
	bySign := newHistogram()
	i := 0
	for b.Loop() {
		c.Assert(i < endpoints/2, qt.IsTrue, qt.Commentf("at most half of the endpoints leave"))
		e := w.endpoints[i]
		started := time.Now()
		h := byWord
		if i%2 == 0 {
			w.confirm(w.hosts[i%len(w.hosts)], "/v1/plan/edit", intent.Edit{
				Kind:    intent.EditEndpoint,
				Name:    e.Name,
				Leaving: true,
			})
		} else {
			h = bySign
			w.put200("http://" + e.Address.String() + "/leave")
		}
		record(c, h, w.lastWork(e).Sub(started))
		i++
	}
	r := t.stop()
	report(b, byWord, "word")
	report(b, bySign, "sign")
	b.ReportMetric(float64(r.answered), "answered")
	b.ReportMetric(float64(r.refused), "refused")
	c.Assert(r.failures, qt.HasLen, 0)
}

func (w *world) put200(url string) {
	r, err := http.NewRequest(http.MethodPut, url, http.NoBody)
	w.c.Assert(err, qt.IsNil)
	a, err := w.client.Do(r)
	w.c.Assert(err, qt.IsNil)
	a.Body.Close()
	w.c.Assert(a.StatusCode, qt.Equals, http.StatusOK)
}

// lastWork returns when the endpoint ended a request last, after a time without
// any that is longer than the target of a drain.
func (w *world) lastWork(e intent.Endpoint) time.Time {
	const quiet = 4 * time.Second
	last := time.Now()
	ran := -1
	for time.Since(last) < quiet {
		x := struct {
			Ran int `json:"ran"`
		}{}
		w.get(e.Address, "/counts", &x)
		if ran >= 0 && x.Ran != ran {
			last = time.Now()
		}
		ran = x.Ran
		<-time.After(pollInterval)
	}
	return last
}
