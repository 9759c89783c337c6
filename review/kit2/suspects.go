package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The case suspects: after some ordinary crashes of endpoints, requests that crash endpoints come,
// each first in one zone, and in the other zones later.
const (
	suspectsPerZone = 8
	suspectsSlots   = 9
	suspectsWork    = time.Second
	suspectsClients = 60
	suspectsDeadly  = 6
	// suspectsCrashed is 15 in 100 of the endpoints.
	suspectsCrashed = 7
	suspectsRounds  = 9
	suspectsPause   = 2500 * time.Millisecond
	suspectsDown    = 3 * time.Second
)

// deadlies holds the arrivals of each deadly request, by its path.
type deadlies map[string]*crashes

// dieAtOnce ends the endpoint as it begins to run a deadly request, and brings it back after
// some seconds.
func (d deadlies) dieAtOnce(e *endpoint, _ http.ResponseWriter, r *http.Request) bool {
	c := d[r.URL.Path]
	if c == nil {
		return false
	}
	n := c.add()
	e.world.record.note("endpoint: %s in %s runs %s as %s, arrival %d, and crashes; %d others are at work there", e.id, e.zone, r.URL.Path, r.Header.Get(headerID), n, e.busy())
	e.crash()
	time.AfterFunc(suspectsDown, func() {
		if err := e.restart(); err != nil {
			e.world.record.note("endpoint: %s is not back: %s", e.id, err)
		}
	})
	panic(http.ErrAbortHandler)
}

// loadUnique keeps clients of a host busy with requests of distinct contents until ctx ends.
func loadUnique(ctx context.Context, h *host, clients int, t *tally) *sync.WaitGroup {
	g := &sync.WaitGroup{}
	for range clients {
		g.Go(func() {
			c := newClient()
			defer c.CloseIdleConnections()
			for ctx.Err() == nil {
				a := ask(ctx, &call{
					client: c,
					host:   h,
					method: http.MethodGet,
					path:   fmt.Sprintf("/one/%d", rand.Uint32()),
					wait:   3 * time.Second,
				})
				if ctx.Err() == nil {
					t.add(a)
				}
				if a.status != http.StatusOK {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	return g
}

func playSuspects(w *world, trouble bool) ([]string, error) {
	w.configure(3, []routeSpec{{name: "r-one", prefix: "/one/", kind: "safe", service: "one", timeout: 3 * time.Second}}, "one")
	d := deadlies{}
	paths := []string{}
	for i := range suspectsDeadly {
		p := fmt.Sprintf("/one/deadly-%02d", i)
		paths = append(paths, p)
		d[p] = &crashes{}
	}
	zones := []string{"n1", "n2", "s1", "s2", "w1", "w2"}
	for i := range suspectsPerZone * len(zones) {
		e, err := w.addEndpoint(fmt.Sprintf("i-%02d", i), zones[i%len(zones)], suspectsSlots, suspectsWork)
		if err != nil {
			return nil, err
		}
		e.handle = d.dieAtOnce
		e.register()
	}
	for i, z := range zones {
		if _, err := w.addHost(fmt.Sprintf("front-%s-%d", z, i), z, w.store.Listener.Addr().String()); err != nil {
			return nil, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	t := &tally{}
	groups := []*sync.WaitGroup{}
	for _, h := range w.hosts {
		groups = append(groups, loadUnique(ctx, h, suspectsClients, t))
	}
	time.Sleep(4 * time.Second)
	w.record.note("clients: answers by status so far: %s", t.take())
	if trouble {
		w.crashInTurn()
		w.sendDeadlies(ctx, paths)
	} else {
		time.Sleep(60 * time.Second)
	}
	w.record.note("clients: answers by status to other requests meanwhile: %s", t.take())
	cancel()
	for _, g := range groups {
		g.Wait()
	}
	broken := []string{}
	for _, p := range paths {
		n := d[p].late()
		w.record.note("endpoints: %s reached endpoints %d times, %d of them later than %s after the third crash", p, len(d[p].at), n, stableWindow)
		if n > maxRetries {
			broken = append(broken, fmt.Sprintf("BUDGET: %s, which crashes the endpoints that run it, reached endpoints %d times later than %s after the third crash", p, n, stableWindow))
		}
	}
	return broken, nil
}

// sendDeadlies sends each deadly request to a host of one zone, until it is held back there,
// and to the hosts of the other zones later.
func (w *world) sendDeadlies(ctx context.Context, paths []string) {
	client := newClient()
	send := func(h *host, path string) {
		a := ask(ctx, &call{
			client: client,
			host:   h,
			method: http.MethodGet,
			path:   path,
			wait:   2 * time.Second,
		})
		w.record.note("client: %s, as %s at %s: %d", path, a.id, h.name, a.status)
	}
	for i, p := range paths {
		first := i % len(w.hosts)
		for range 3 {
			send(w.hosts[first], p)
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(stableWindow)
		for k := range 3 * len(w.hosts) {
			if k%len(w.hosts) != first {
				send(w.hosts[k%len(w.hosts)], p)
				time.Sleep(200 * time.Millisecond)
			}
		}
	}
}

// crashInTurn has a part of the endpoints crash, round after round, and come back after a second.
func (w *world) crashInTurn() {
	for i := range suspectsRounds {
		for _, n := range rand.Perm(len(w.endpoints))[:suspectsCrashed] {
			e := w.endpoints[n]
			e.crash()
			time.AfterFunc(time.Second, func() {
				if err := e.restart(); err != nil {
					e.world.record.note("endpoint: %s is not back: %s", e.id, err)
				}
			})
		}
		w.record.note("endpoints: round %d, %d of %d are down for 1 s", i+1, suspectsCrashed, len(w.endpoints))
		time.Sleep(suspectsPause)
	}
}
