package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The case return: the endpoints of a zone are down for some seconds and come back together,
// while another zone is evacuated.
const (
	returnEndpoints = 90
	returnClients   = 240
	returnDown      = 4 * time.Second
	// The other zone is evacuated returnAhead before that, and taken back returnAfter after it.
	returnAhead = 2 * time.Second
	returnAfter = 2 * time.Second
)

// probeRoute sends requests on a route to a host, and returns how many were answered 404 and how
// many otherwise.
func probeRoute(w *world, h *host, path string, n int) (missing, found int) {
	for range n {
		a := ask(context.Background(), &call{
			client: newClient(),
			host:   h,
			method: http.MethodGet,
			path:   path,
			wait:   2 * time.Second,
		})
		w.record.note("client: %s on %s at %s: %d after %s", a.id, path, h.name, a.status, a.took.Round(time.Millisecond))
		if a.status == http.StatusNotFound {
			missing++
		} else {
			found++
		}
		time.Sleep(100 * time.Millisecond)
	}
	return missing, found
}

// load keeps clients of a host busy until ctx ends.
func load(ctx context.Context, h *host, clients int, path string, t *tally) *sync.WaitGroup {
	g := &sync.WaitGroup{}
	for i := range clients {
		g.Go(func() {
			c := newClient()
			defer c.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				a := ask(ctx, &call{
					client: c,
					host:   h,
					method: http.MethodPost,
					path:   path,
					body:   "a body",
					object: fmt.Sprint((i*7 + n*13) % 1000),
					wait:   3 * time.Second,
				})
				if ctx.Err() == nil {
					t.add(a)
				}
				if a.status != http.StatusOK {
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	return g
}

func playReturn(w *world, trouble bool) ([]string, error) {
	first := []routeSpec{{name: "r-one", prefix: "/one/", kind: "unsafe", service: "one", timeout: 3 * time.Second}}
	w.configure(3, first, "one")
	own := []*endpoint{}
	for i := range returnEndpoints {
		e, err := w.addEndpoint(fmt.Sprintf("i-n1-%02d", i), "n1", 3, 700*time.Millisecond)
		if err != nil {
			return nil, err
		}
		e.register()
		own = append(own, e)
	}
	for i := range 4 {
		e, err := w.addEndpoint(fmt.Sprintf("i-s1-%02d", i), "s1", 3, 700*time.Millisecond)
		if err != nil {
			return nil, err
		}
		e.register()
	}
	a, err := w.addHost("front-n1-1", "n1", w.store.Listener.Addr().String())
	if err != nil {
		return nil, err
	}
	b, err := w.addHost("front-s1-1", "s1", w.store.Listener.Addr().String())
	if err != nil {
		return nil, err
	}
	if err := w.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	t := &tally{}
	g := load(ctx, a, returnClients, "/one/7", t)
	time.Sleep(6 * time.Second)
	w.table.Put("op", "evacuate/s1", "{}")
	w.record.note("operator: the evacuation of s1 is acknowledged")
	time.Sleep(returnAhead)
	busy := 0
	for _, e := range own {
		if e.busy() > 0 {
			busy++
		}
	}
	w.record.note("clients: answers by status so far: %s; endpoints with a request at work: %d of %d", t.take(), busy, len(own))
	if trouble {
		for _, e := range own {
			e.crash()
		}
		w.record.note("endpoints: all %d of n1 are down", len(own))
		time.Sleep(returnDown)
		for _, e := range own {
			e.cold = 3 * time.Second
			if err := e.restart(); err != nil {
				return nil, err
			}
		}
		w.record.note("endpoints: all of n1 are back, under their IDs")
	} else {
		time.Sleep(returnDown)
	}
	time.Sleep(returnAfter)
	w.table.Remove("op", "evacuate/s1")
	w.record.note("operator: s1 is taken back")
	// Everything is calm from here on.
	time.Sleep(10 * time.Second)
	w.record.note("clients: answers by status: %s", t.take())
	cancel()
	g.Wait()
	acked := w.configure(5, append(first, routeSpec{name: "r-new", prefix: "/new/", kind: "safe", service: "one", timeout: 3 * time.Second}), "one")
	time.Sleep(configApply + time.Second)
	broken := []string{}
	const probes = 5
	for _, h := range []*host{a, b} {
		w.record.note("platform: %s is ready: %t", h.name, h.isReady())
		missing, found := probeRoute(w, h, "/new/1", probes)
		w.record.note("clients: %s, %s after the acknowledgement of r5: %d of %d requests on its new route got 404", h.name, time.Since(acked).Round(100*time.Millisecond), missing, missing+found)
		if missing > 0 {
			broken = append(broken, fmt.Sprintf("CONFIG: %s answered %d of %d requests on the route that r5 added with 404, %s and more after its acknowledgement", h.name, missing, missing+found, configApply+time.Second))
		}
	}
	a.signal(syscall.SIGTERM)
	w.record.note("platform: SIGTERM to %s; it ends within the grace of %s: %t", a.name, grace, a.ends(grace))
	return broken, nil
}
