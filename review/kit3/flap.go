package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// addedTarget is what clients ask for on the added route.
	addedTarget = "/today/rota"
	// returns is the most times that a zone's servers go down, and returnTime for how long.
	returns    = 4
	returnTime = 2 * time.Second
	// returnDelay is how long after the added route's request has run again the servers of that
	// zone go down, and returnWait the longest wait for such a run.
	returnDelay = 1500 * time.Millisecond
	returnWait  = 14 * time.Second
	// firstSteady is how long after the last return the calm time begins that is judged, and
	// steadyTime how long it is.
	firstSteady = 12 * time.Second
	steadyTime  = 15 * time.Second
	// addedLeast is the number of requests on the added route from which the rule holds.
	addedLeast = 20
)

// twoRegions are a zone in each of two regions.
var twoRegions = []zone{
	{
		name:   "bne-north",
		region: "brisbane",
	},
	{
		name:   "tsv-central",
		region: "townsville",
	},
}

// flapping shows that requests on an added route are refused long after endpoints have gone down
// and up some times.
func flapping(r *record, trouble bool) (string, error) {
	w, err := newWorld(r, twoRegions, trouble)
	if err != nil {
		return "", err
	}
	defer w.close()
	const work, askers = 2800 * time.Millisecond, 12
	routes := usualRoutes()[:1]
	routes[0].timeout = "8000ms"
	w.addHosts()
	w.configure(routes, []string{"rota-view"})
	for i, n := range []int{8, 4} {
		for range n {
			if err := w.addServer(serverOptions{
				id:      fmt.Sprintf("i-rota-view-%d", len(w.servers)+1),
				service: "rota-view",
				zone:    w.zones[i].name,
				slots:   3,
				work:    work,
			}); err != nil {
				return "", err
			}
		}
	}
	if err := w.startHosts(); err != nil {
		return "", err
	}
	time.Sleep(stableWindow)
	added := routes[0]
	added.name = "r-today"
	added.prefix = "/today/"
	added.attempts = 1
	w.configure(append(routes, added), []string{"rota-view"})
	time.Sleep(configApply)
	ctx, cancel := context.WithCancel(context.Background())
	l := &ledger{}
	group := sync.WaitGroup{}
	for range askers {
		group.Go(func() { w.repeat(ctx, l, func() string { return addedTarget }) })
		group.Go(func() { w.repeat(ctx, l, func() string { return fmt.Sprintf("/look/%d", rand.IntN(1000)) }) })
	}
	time.Sleep(2 * work)
	if trouble {
		w.returnColdly()
	}
	time.Sleep(firstSteady)
	began := time.Now()
	r.add("steady state begins")
	time.Sleep(steadyTime)
	cancel()
	group.Wait()
	return w.judgeFlapping(l, began), nil
}

// returnColdly has the servers of a zone go down and come back together some times: of the first
// zone while three or more of them run the request of the added route and no other server does,
// then of the zone in which it has run again.
func (w *world) returnColdly() {
	zone, up := w.zones[0].name, time.Now()
	for i := range returns {
		since := time.Now()
		found := false
		for limit := since.Add(returnWait); time.Now().Before(limit) && !found; time.Sleep(20 * time.Millisecond) {
			if i == 0 {
				found = w.running(addedTarget, w.zones[0].name) >= 3 && w.running(addedTarget, w.zones[1].name) == 0
				continue
			}
			zone = w.ranSince(addedTarget, since)
			found = zone != ""
		}
		if !found {
			w.record.add("the request has not run again")
			return
		}
		if i > 0 {
			// No two zones are down at a time.
			time.Sleep(max(returnDelay, time.Until(up)))
		}
		up = time.Now().Add(returnTime + 100*time.Millisecond)
		w.record.add("servers go down", "time", i+1, "zone", zone)
		for _, s := range w.servers {
			if s.options.zone == zone {
				s.crash(returnTime)
			}
		}
		if i > 0 {
			time.Sleep(returnTime + 100*time.Millisecond)
		}
	}
}

// running returns the number of servers of a zone that run a request with the target.
func (w *world) running(target, zone string) int {
	n := 0
	for _, s := range w.servers {
		if s.options.zone != zone {
			continue
		}
		for _, x := range s.came() {
			if x.target == target && x.ran && time.Since(x.at) < s.options.work {
				n++
				break
			}
		}
	}
	return n
}

// ranSince returns the zone of a server that has begun to run a request with the target since a
// time, or an empty text.
func (w *world) ranSince(target string, t time.Time) string {
	for _, s := range w.servers {
		for _, x := range s.came() {
			if x.target == target && x.ran && x.at.After(t) {
				return s.options.zone
			}
		}
	}
	return ""
}

// repeat sends requests from the first zone over kept connections until ctx ends.
func (w *world) repeat(ctx context.Context, l *ledger, target func() string) {
	const pause, deadline = 100 * time.Millisecond, 8 * time.Second
	c := &client{
		world: w,
	}
	defer c.close()
	d := &directory{
		world: w,
		zone:  w.zones[0].name,
	}
	for ctx.Err() == nil {
		if host := d.pick(); host != "" {
			o := c.ask(question{
				host:     host,
				method:   http.MethodGet,
				target:   target(),
				name:     domain,
				deadline: deadline,
			})
			l.add(o)
		}
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(pause)))
	}
}

// judgeFlapping returns what is wrong, or an empty text: in the steady state requests on the added
// route are served less than a quarter as often as those on the first one.
func (w *world) judgeFlapping(l *ledger, began time.Time) string {
	asked, served := map[bool]int{}, map[bool]int{}
	for _, o := range l.all() {
		if o.sent.Before(began) {
			continue
		}
		added := strings.HasPrefix(o.target, "/today/")
		asked[added]++
		if o.status == http.StatusOK {
			served[added]++
		}
	}
	w.record.add("judged", "added", asked[true], "served", served[true], "first", asked[false], "first_served", served[false])
	if asked[true] < addedLeast || asked[false] == 0 {
		return ""
	}
	if 4*served[true]*asked[false] >= served[false]*asked[true] {
		return ""
	}
	return fmt.Sprintf("CONFIG: %d of %d requests on the added route were served, %d of %d on the first one", served[true], asked[true], served[false], asked[false])
}
