package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The case midway: a request crashes each endpoint that runs it, after the endpoint has sent the
// beginning of its answer.
const (
	midwayEndpoints = 8
	midwayDown      = 3 * time.Second
	midwayInterval  = 800 * time.Millisecond
	midwayTime      = 20 * time.Second
	deadlyPath      = "/one/deadly"
	// maxRetries is the bound of the rule, from stableWindow after the third crash.
	maxRetries    = 3
	countedCrash  = 3
	midwayClients = 8
	// leftRun is how long an endpoint runs the request before it crashes, and leftStay how
	// long its client stays.
	leftRun  = 700 * time.Millisecond
	leftStay = 400 * time.Millisecond
)

// crashes holds when a deadly request reached endpoints. It is safe for concurrent use.
type crashes struct {
	mu sync.Mutex
	at []time.Time
}

// add notes an arrival and returns how many there were.
func (c *crashes) add() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, time.Now())
	return len(c.at)
}

// late returns how many arrivals were later than stableWindow after the third one.
func (c *crashes) late() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.at) < countedCrash {
		return 0
	}
	n := 0
	for _, t := range c.at {
		if t.Sub(c.at[countedCrash-1]) > stableWindow {
			n++
		}
	}
	return n
}

// dieMidway sends the beginning of an answer to the deadly request and ends the endpoint, which
// is back after some seconds.
func dieMidway(c *crashes) func(e *endpoint, w http.ResponseWriter, r *http.Request) bool {
	return func(e *endpoint, w http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path != deadlyPath {
			return false
		}
		n := c.add()
		id := r.Header.Get(headerID)
		e.world.record.note("endpoint: %s runs the deadly request %s, arrival %d, and crashes after a part of its answer; %d others are at work there", e.id, id, n, e.busy())
		w.Header().Set(headerSeal, "seal-of-"+id)
		w.Header().Set("Content-Length", "4000")
		fmt.Fprint(w, strings.Repeat("x", 1000))
		if err := http.NewResponseController(w).Flush(); err != nil {
			return true
		}
		time.Sleep(20 * time.Millisecond)
		e.crash()
		time.AfterFunc(midwayDown, func() {
			if err := e.restart(); err != nil {
				e.world.record.note("endpoint: %s is not back: %s", e.id, err)
			}
		})
		return true
	}
}

// dieLate ends the endpoint some time after it began to run the deadly request, whether or not
// anybody waits for the answer.
func dieLate(c *crashes) func(e *endpoint, w http.ResponseWriter, r *http.Request) bool {
	return func(e *endpoint, _ http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path != deadlyPath {
			return false
		}
		n := c.add()
		e.world.record.note("endpoint: %s runs the deadly request %s, arrival %d, with %s ms left", e.id, r.Header.Get(headerID), n, r.Header.Get(headerDeadline))
		time.Sleep(leftRun)
		e.world.record.note("endpoint: %s crashes by the deadly request; %d others are at work there", e.id, e.busy())
		e.crash()
		time.AfterFunc(midwayDown, func() {
			if err := e.restart(); err != nil {
				e.world.record.note("endpoint: %s is not back: %s", e.id, err)
			}
		})
		panic(http.ErrAbortHandler)
	}
}

func playMidway(w *world, trouble bool) ([]string, error) {
	return playDeadly(w, trouble, dieMidway, 0)
}

func playLeft(w *world, trouble bool) ([]string, error) {
	return playDeadly(w, trouble, dieLate, leftStay)
}

// playDeadly has a request come again and again whose client leaves after some time
// unless that is 0, and that ends endpoints as the function says.
func playDeadly(w *world, trouble bool, die func(c *crashes) func(e *endpoint, w http.ResponseWriter, r *http.Request) bool, leave time.Duration) ([]string, error) {
	w.configure(3, []routeSpec{{name: "r-one", prefix: "/one/", kind: "safe", service: "one", timeout: 3 * time.Second}}, "one")
	c := &crashes{}
	zones := []string{"n1", "n2", "s1"}
	for i := range midwayEndpoints {
		e, err := w.addEndpoint(fmt.Sprintf("i-%02d", i), zones[i%len(zones)], 4, 300*time.Millisecond)
		if err != nil {
			return nil, err
		}
		e.handle = die(c)
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
		groups = append(groups, load(ctx, h, midwayClients, "/one/7", t))
	}
	time.Sleep(2 * time.Second)
	w.record.note("clients: answers by status to other requests so far: %s", t.take())
	if trouble {
		client := newClient()
		began := time.Now()
		for i := 0; time.Since(began) < midwayTime; i++ {
			h := w.hosts[i%len(w.hosts)]
			a := ask(ctx, &call{
				client: client,
				host:   h,
				method: http.MethodGet,
				path:   deadlyPath,
				wait:   2 * time.Second,
				leave:  leave,
			})
			w.record.note("client: the deadly request, as %s at %s: %d", a.id, h.name, a.status)
			time.Sleep(midwayInterval)
		}
	} else {
		time.Sleep(midwayTime)
	}
	cancel()
	for _, g := range groups {
		g.Wait()
	}
	w.record.note("clients: answers by status to other requests meanwhile: %s", t.take())
	n := c.late()
	w.record.note("endpoints: the deadly request reached endpoints %d times, %d of them later than %s after the third crash", len(c.at), n, stableWindow)
	if n > maxRetries {
		return []string{fmt.Sprintf("BUDGET: a request that crashes the endpoints that run it reached endpoints %d times later than %s after the third crash", n, stableWindow)}, nil
	}
	return nil, nil
}
