package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"heatherford/standin/desk"
	"heatherford/standin/relay"
)

// The bound on a request that crashes the endpoints that run it: so many sends to endpoints
// later than a time after it has crashed the third.
const (
	boundCrashes = 3
	boundSends   = 3
	boundDelay   = 3 * time.Second
	// deadlyInterval is the interval at which such a request comes, and deadlyTime how
	// long it does.
	deadlyInterval = 90 * time.Millisecond
	deadlyTime     = 6 * time.Second
	// crashedTime is how long a crashed endpoint is down.
	crashedTime = 1200 * time.Millisecond
)

// deadly is a request that crashes the endpoints that run it. World.mu guards it.
type deadly struct {
	path string
	// crashes and sends are when it crashed an endpoint and when it reached one.
	crashes []time.Time
	sends   []time.Time
}

// crash has a relay crash if the request is a deadly one, and returns for how long.
func (w *world) crash(way *relay.Relay, q *http.Request) time.Duration {
	w.mu.Lock()
	i := slices.IndexFunc(w.deadly, func(x *deadly) bool {
		return x.path == q.URL.Path
	})
	if i < 0 {
		w.mu.Unlock()
		return 0
	}
	now := time.Now()
	x := w.deadly[i]
	x.crashes = append(x.crashes, now)
	x.sends = append(x.sends, now)
	w.mu.Unlock()
	way.Crash(crashedTime)
	return crashedTime
}

// sendDeadly has clients send a request that crashes endpoints to all hosts in turn.
func (w *world) sendDeadly(group *sync.WaitGroup) {
	w.note("deadly")
	w.mu.Lock()
	x := &deadly{
		path: fmt.Sprintf("%sdeadly-%d", desk.PathSafe, len(w.deadly)),
	}
	w.deadly = append(w.deadly, x)
	w.mu.Unlock()
	h := &http.Client{
		Transport: &http.Transport{},
		Timeout:   clientDeadline,
	}
	group.Go(func() {
		defer h.CloseIdleConnections()
		senders := sync.WaitGroup{}
		end := time.Now().Add(deadlyTime)
		for i := 0; time.Now().Before(end); i++ {
			senders.Go(func() {
				p := w.processes[i%len(w.processes)]
				w.askPath(context.Background(), h, p, x.path, fmt.Sprintf("d%d", i))
			})
			time.Sleep(deadlyInterval)
		}
		senders.Wait()
	})
}

// settleDeadly checks that no deadly request was sent on for long.
func (w *world) settleDeadly() {
	for _, x := range w.deadly {
		if len(x.crashes) < boundCrashes {
			continue
		}
		bound := x.crashes[boundCrashes-1].Add(boundDelay)
		n := 0
		for _, t := range x.sends {
			if t.After(bound) {
				n++
			}
		}
		if n > boundSends {
			w.ledger.broken = append(w.ledger.broken, fmt.Sprintf("%s was sent %d times later than %s after the third crash, %d crashes in all", x.path, n, boundDelay, len(x.crashes)))
		}
	}
}
