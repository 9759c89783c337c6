package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The case notice: the endpoints of a zone are down for some seconds and come back together,
// while several of them run requests of the same content.
const (
	noticeEndpoints = 12
	noticeFar       = 4
	noticeClients   = 12
	noticeOthers    = 10
	noticeWork      = 2800 * time.Millisecond
	noticeDown      = 4 * time.Second
	noticeQuiet     = 150 * time.Millisecond
	noticePath      = "/notice/today"
	minEndpoints    = 3
	noticeSettle    = 12 * time.Second
	noticeJudged    = 14 * time.Second
	// minRequests and minPart are the bounds of the rule.
	minRequests = 20
	minPart     = 0.25
)

// served counts requests and those that were served. It is safe for concurrent use.
type served struct {
	mu        sync.Mutex
	all, good int
	// sent holds when each client has sent the request that it waits for.
	sent map[int]time.Time
}

// send notes that a client sends a request now.
func (s *served) send(client int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sent == nil {
		s.sent = map[int]time.Time{}
	}
	s.sent[client] = time.Now()
}

// quietFor reports whether no client's request ends within a time, so that none sends a new one.
func (s *served) quietFor(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.sent {
		if time.Until(t.Add(noticeWork)) < d {
			return false
		}
	}
	return true
}

func (s *served) add(a answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all++
	if a.status == http.StatusOK {
		s.good++
	}
}

// take returns the counts and begins anew.
func (s *served) take() (all, good int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all, good = s.all, s.good
	s.all, s.good = 0, 0
	return all, good
}

// part returns the part that was served.
func part(all, good int) float64 {
	return float64(good) / float64(max(1, all))
}

// askOn has clients send requests to a host until ctx ends. Each concerns an object, which may
// depend on the request's number.
func askOn(ctx context.Context, h *host, clients int, object func(n int64) string, prefix string, s *served) *sync.WaitGroup {
	g := &sync.WaitGroup{}
	for i := range clients {
		g.Go(func() {
			c := newClient()
			defer c.CloseIdleConnections()
			time.Sleep(time.Duration(i) * noticeWork / time.Duration(clients))
			for n := int64(0); ctx.Err() == nil; n++ {
				o := object(n*int64(clients) + int64(i))
				s.send(i)
				a := ask(ctx, &call{
					client: c,
					host:   h,
					method: http.MethodGet,
					path:   prefix + o,
					object: o,
					wait:   8 * time.Second,
				})
				if ctx.Err() == nil {
					s.add(a)
				}
				if a.status != http.StatusOK {
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	return g
}

// noticeMoment reports whether three endpoints of the first zone or more run requests for the
// one object, none elsewhere does, and no client is about to send one.
func (w *world) noticeMoment(s *served) bool {
	n := 0
	for _, e := range w.endpoints {
		switch k := e.busyOn(noticePath); {
		case k > 0 && e.zone == "n1":
			n++
		case k > 0:
			return false
		}
	}
	return n >= minEndpoints && s.quietFor(noticeQuiet)
}

func playNotice(w *world, trouble bool) ([]string, error) {
	routes := []routeSpec{{name: "r-one", prefix: "/one/", kind: "safe", service: "one", timeout: 8 * time.Second}}
	w.configure(3, routes, "one")
	own := []*endpoint{}
	for i := range noticeEndpoints + noticeFar {
		zone := "n1"
		if i >= noticeEndpoints {
			zone = "s1"
		}
		e, err := w.addEndpoint(fmt.Sprintf("i-%s-%02d", zone, i), zone, 3, noticeWork)
		if err != nil {
			return nil, err
		}
		e.register()
		if zone == "n1" {
			own = append(own, e)
		}
	}
	for _, z := range []string{"n1", "s1"} {
		if _, err := w.addHost("front-"+z+"-1", z, w.store.Listener.Addr().String()); err != nil {
			return nil, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	w.configure(5, append(routes, routeSpec{name: "r-notice", prefix: "/notice/", kind: "safe", service: "one", timeout: 8 * time.Second, attempts: 1}), "one")
	time.Sleep(configApply + time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first, added := &served{}, &served{}
	distinct := func(n int64) string { return fmt.Sprint(n) }
	same := func(int64) string { return "today" }
	groups := []*sync.WaitGroup{
		askOn(ctx, w.hosts[0], noticeOthers, distinct, "/one/", first),
		askOn(ctx, w.hosts[1], noticeOthers/2, distinct, "/one/", first),
		askOn(ctx, w.hosts[0], noticeClients, same, "/notice/", added),
	}
	say := func(when string) {
		n, k := first.take()
		m, l := added.take()
		w.record.note("clients: %s, on the first route %d of %d served, on the added one %d of %d", when, k, n, l, m)
	}
	time.Sleep(7 * time.Second)
	say("before")
	const most = 20 * time.Second
	for end := time.Now().Add(most); !w.noticeMoment(added) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	for _, e := range w.endpoints {
		w.record.note("endpoints: %s runs %d requests, %d of them for the one object", e.id, e.busy(), e.busyOn(noticePath))
	}
	if trouble {
		g := sync.WaitGroup{}
		for _, e := range own {
			g.Go(e.crash)
		}
		g.Wait()
		w.record.note("endpoints: all %d of n1 are down", len(own))
		time.Sleep(noticeDown)
		for _, e := range own {
			e.cold = 3 * time.Second
			if err := e.restart(); err != nil {
				return nil, err
			}
		}
		w.record.note("endpoints: all of n1 are back")
	} else {
		time.Sleep(noticeDown)
	}
	time.Sleep(noticeSettle)
	say("meanwhile")
	time.Sleep(noticeJudged)
	n, k := first.take()
	m, l := added.take()
	cancel()
	for _, g := range groups {
		g.Wait()
	}
	w.record.note("clients: in steady state, %s after that, on the first route %d of %d served, on the added one %d of %d", noticeSettle, k, n, l, m)
	if m >= minRequests && part(m, l) < minPart*part(n, k) {
		return []string{fmt.Sprintf("CONFIG: in steady state %d of %d requests on a route that was added later were served, and %d of %d on the first one", l, m, k, n)}, nil
	}
	return nil, nil
}
