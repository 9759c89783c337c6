package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"heatherford/standin/desk"
	"heatherford/standin/rows"
)

const (
	// copyInterval is how often the table is copied, and copies the number of copies that
	// it may return from.
	copyInterval = 700 * time.Millisecond
	copies       = 12
	// lostWrites bounds the writes of others that the table loses with a return.
	lostWrites = 60
	// watchInterval is how often each host is asked for the newest configuration.
	watchInterval = 150 * time.Millisecond
	// watchTimeout bounds such a request.
	watchTimeout = time.Second
	// applyTime is how long after its acknowledgement a configuration has to be in force.
	applyTime = 2 * time.Second
)

// keepCopies copies the table from time to time until ctx ends.
func (w *world) keepCopies(ctx context.Context) {
	t := time.NewTicker(copyInterval)
	defer t.Stop()
	for {
		w.mu.Lock()
		w.copies = append(w.copies, w.table.Copy())
		w.copies = w.copies[max(0, len(w.copies)-copies):]
		w.mu.Unlock()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// restore has the table be away and come back restored from a copy. The operator writes the newest
// configuration again, some time later.
func (w *world) restore(group *sync.WaitGroup, away time.Duration) {
	later := time.Duration(w.random.IntN(600)) * time.Millisecond
	pick := w.random.IntN(copies)
	w.note("restore")
	w.mu.Lock()
	c := w.copies[min(pick, len(w.copies)-1)]
	// Copies of a history that is lost are no longer returned from.
	w.copies = []*rows.Copy{c}
	w.mu.Unlock()
	// Other users of the table write too, so that the counter falls back far.
	for i := range w.random.IntN(lostWrites) {
		w.table.Put("other", fmt.Sprint(i), "")
	}
	w.table.Set(rows.Faults{
		Status: http.StatusServiceUnavailable,
	})
	group.Go(func() {
		time.Sleep(away)
		w.table.Restore(c)
		w.table.Set(rows.Faults{})
		time.Sleep(later)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.table.Put("op", "config", desk.Configuration(w.version, w.service))
	})
}

// knowledge is what a watch knows of a host's process.
type knowledge struct {
	start int
	// newest is the newest version by which the process served.
	newest int
}

// watch asks a host for the route that only the newest configuration has until ctx ends, and
// checks that no process goes back behind a configuration by which it served.
func (w *world) watch(ctx context.Context, p *process) {
	h := &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
		Timeout: watchTimeout,
	}
	k := knowledge{}
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		start := p.starts()
		version := w.newest()
		status := w.askAt(ctx, h, p, version, i)
		if p.starts() != start {
			continue
		}
		if k.start != start {
			k = knowledge{
				start: start,
			}
		}
		switch latest := w.newest(); {
		case status == http.StatusNotFound && k.newest == version && latest == version:
			w.ledger.note(func() {
				w.ledger.broken = append(w.ledger.broken, fmt.Sprintf("%s went back behind configuration %d", p.name, version))
			})
		case served(status):
			k.newest = max(k.newest, version)
		}
	}
}

// served reports whether a status shows that the host has a route.
func served(status int) bool {
	return status == http.StatusOK || status == http.StatusBadGateway || status == http.StatusGatewayTimeout
}

// askAt sends a request to a host on the route that only the version has, and returns the
// status, or 0 if there is no answer.
func (w *world) askAt(ctx context.Context, h *http.Client, p *process, version, n int) int {
	return w.askPath(ctx, h, p, desk.PathOf(version), fmt.Sprintf("w%d", n))
}

// askPath sends a request to a host on a path, with an identifier that ends with a name, and
// returns the status, or 0 if there is no answer.
func (w *world) askPath(ctx context.Context, h *http.Client, p *process, path, name string) int {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.callers+path, nil)
	if err != nil {
		return 0
	}
	q.Host = desk.Host
	q.Header.Set(desk.HeaderID, fmt.Sprintf("s%d-%s-%s%s", w.options.Seed, p.name, name, path))
	q.Header.Set(desk.HeaderDeadline, fmt.Sprint(watchTimeout.Milliseconds()))
	w.ledger.note(func() { w.ledger.asks = append(w.ledger.asks, time.Now()) })
	q, sent := trace(q)
	a, err := h.Do(q)
	if err != nil {
		w.ledger.noteLoss(p.callers, q, sent, q.Header.Get(desk.HeaderID), err)
		return 0
	}
	a.Body.Close()
	return a.StatusCode
}

// newest returns the newest configuration's version.
func (w *world) newest() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// checkApplied checks that every host serves by the newest configuration, in calm times.
func (w *world) checkApplied() {
	version := w.newest()
	h := &http.Client{
		Timeout: watchTimeout,
	}
	defer h.CloseIdleConnections()
	for _, p := range w.processes {
		if s := w.askAt(context.Background(), h, p, version, -1); !served(s) {
			w.ledger.note(func() {
				w.ledger.broken = append(w.ledger.broken, fmt.Sprintf("%s answers %d on a route of configuration %d %s after its acknowledgement", p.name, s, version, applyTime))
			})
		}
	}
}
