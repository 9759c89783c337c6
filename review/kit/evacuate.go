package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"heatherford/standin/rows"
)

// The times of playEvacuate.
const (
	// lostHistory is how much older than its return the copy of the store is, and away for how
	// long the store is away before that.
	lostHistory = 8 * time.Second
	away        = 2 * time.Second
	// writeDelay is how long after the store's return the operator writes.
	writeDelay = 50 * time.Millisecond
	// evacTime is the bound of the rule, and watchTime how long requests are watched after it.
	evacTime  = 5 * time.Second
	watchTime = 7 * time.Second
)

// playEvacuate evacuates a zone, takes that back, and evacuates it again as the store is back from
// a copy that is older than the taking back.
func playEvacuate(w *world, trouble bool) (verdict, error) {
	const zone, key = "gc-north", "evacuate/gc-north"
	mu := sync.Mutex{}
	arrivals := []time.Time{}
	serve := func(e *endpoint, rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headerID)
		_, _ = io.Copy(io.Discard, r.Body)
		if e.zone == zone {
			mu.Lock()
			arrivals = append(arrivals, time.Now())
			mu.Unlock()
			w.note("endpoint %s: %s", e.id, id)
		}
		const work = 20 * time.Millisecond
		time.Sleep(work)
		rw.Header().Set(headerSeal, "seal-of-"+id)
		io.WriteString(rw, "pitch")
	}
	const slots = 3
	for z := range zones {
		for i := range 2 {
			if err := w.addEndpoint(fmt.Sprintf("i-%s-%d", z, i), "booking-desk", z, slots, serve); err != nil {
				return verdict{}, err
			}
		}
	}
	configure := func() {
		w.configure([]routeSpec{{"booking", "/booking/", "unsafe", "booking-desk", "2500ms"}}, []string{"booking-desk"})
	}
	configure()
	for z := range zones {
		if err := w.addHost(z); err != nil {
			return verdict{}, err
		}
	}
	if err := w.untilReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	end := make(chan struct{})
	group := sync.WaitGroup{}
	for i, h := range w.hosts {
		group.Go(func() {
			c := newCaller()
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				case <-time.After(40 * time.Millisecond):
				}
				id := fmt.Sprintf("booking-%d-%d", i, n)
				c.send(h.front, http.MethodPost, "/booking/slot", id, id, 2500*time.Millisecond, []byte("booking"))
			}
		})
	}
	w.note("operator: evacuates %s", zone)
	w.put("op", key, map[string]any{})
	time.Sleep(4 * time.Second)
	c := w.table.Copy()
	copied := time.Now()
	w.note("store: a copy is made")
	time.Sleep(time.Second)
	w.note("operator: takes the evacuation of %s back", zone)
	w.table.Remove("op", key)
	time.Sleep(time.Until(copied.Add(lostHistory - away)))
	if trouble {
		w.note("store: is away")
		w.table.Set(rows.Faults{Status: http.StatusServiceUnavailable})
	}
	time.Sleep(away)
	if trouble {
		w.note("store: is back from the copy, %s old", time.Since(copied).Round(time.Millisecond))
		w.table.Restore(c)
		w.table.Set(rows.Faults{})
	}
	time.Sleep(writeDelay)
	configure()
	w.put("op", key, map[string]any{})
	ordered := time.Now()
	w.note("operator: evacuates %s, which the store acknowledges", zone)
	time.Sleep(evacTime + watchTime)
	close(end)
	group.Wait()
	late, last := 0, time.Duration(0)
	for _, t := range arrivals {
		if d := t.Sub(ordered); d > evacTime {
			late++
			last = max(last, d)
		}
	}
	return verdict{
		broken: late > 0,
		text: fmt.Sprintf("%d requests reached endpoints of %s later than %s after the acknowledgement of its evacuation, the last one after %s",
			late, zone, evacTime, last.Round(time.Millisecond)),
	}, nil
}
