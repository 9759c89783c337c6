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
	// rewriteDelay is the same for one that takes longer, and lapseTime how long requests are
	// watched then.
	rewriteDelay = time.Second
	lapseTime    = 22 * time.Second
	// evacTime is the bound of the rule, and watchTime how long requests are watched after it.
	evacTime  = 5 * time.Second
	watchTime = 7 * time.Second
)

// evacuated is the zone that is evacuated, and evacuateKey the row of the order.
const (
	evacuated   = "gc-north"
	evacuateKey = "evacuate/" + evacuated
)

// zoneWatch notes the requests that reach the endpoints of the evacuated zone, from clients that
// book all the while.
type zoneWatch struct {
	world *world
	end   chan struct{}
	group sync.WaitGroup

	mu       sync.Mutex
	arrivals []time.Time
}

// watchZone starts endpoints, hosts and clients.
func (w *world) watchZone(hostsPerZone int) (*zoneWatch, error) {
	v := &zoneWatch{
		world: w,
		end:   make(chan struct{}),
	}
	const slots = 3
	for z := range zones {
		for i := range 2 {
			if err := w.addEndpoint(fmt.Sprintf("i-%s-%d", z, i), "booking-desk", z, slots, v.serve); err != nil {
				return nil, err
			}
		}
	}
	v.configure()
	for z := range zones {
		for range hostsPerZone {
			if err := w.addHost(z); err != nil {
				return nil, err
			}
		}
	}
	if err := w.untilReady(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	for i, h := range w.hosts {
		v.group.Go(func() { v.book(i, h) })
	}
	return v, nil
}

func (v *zoneWatch) configure() {
	v.world.configure([]routeSpec{{"booking", "/booking/", "unsafe", "booking-desk", "2500ms"}}, []string{"booking-desk"})
}

func (v *zoneWatch) serve(e *endpoint, rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	_, _ = io.Copy(io.Discard, r.Body)
	if e.zone == evacuated {
		v.mu.Lock()
		v.arrivals = append(v.arrivals, time.Now())
		v.mu.Unlock()
		v.world.note("endpoint %s: %s", e.id, id)
	}
	const work = 20 * time.Millisecond
	time.Sleep(work)
	rw.Header().Set(headerSeal, "seal-of-"+id)
	io.WriteString(rw, "pitch")
}

// book sends bookings to a host until the end.
func (v *zoneWatch) book(i int, h *host) {
	const pause, deadline = 40 * time.Millisecond, 2500 * time.Millisecond
	c := newCaller()
	for n := 0; ; n++ {
		select {
		case <-v.end:
			return
		case <-time.After(pause):
		}
		id := fmt.Sprintf("booking-%d-%d", i, n)
		c.send(h.front, http.MethodPost, "/booking/slot", id, id, deadline, []byte("booking"))
	}
}

// verdict ends the clients and judges the requests since the acknowledgement of the evacuation.
func (v *zoneWatch) verdict(ordered time.Time) verdict {
	close(v.end)
	v.group.Wait()
	late, last := 0, time.Duration(0)
	for _, t := range v.arrivals {
		if d := t.Sub(ordered); d > evacTime {
			late++
			last = max(last, d)
		}
	}
	return verdict{
		broken: late > 0,
		text: fmt.Sprintf("%d requests reached endpoints of %s later than %s after the acknowledgement of its evacuation, the last one after %s",
			late, evacuated, evacTime, last.Round(time.Millisecond)),
	}
}

// evacuate has the operator evacuate the zone.
func (v *zoneWatch) evacuate() {
	v.world.put("op", evacuateKey, map[string]any{})
	v.world.note("operator: evacuates %s, which the store acknowledges", evacuated)
}

// restore has the store away for a time until it is back from a copy.
func (v *zoneWatch) restore(c *rows.Copy, copied time.Time, trouble bool) {
	w := v.world
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
}

// copy makes a copy of the store.
func (v *zoneWatch) copy() (*rows.Copy, time.Time) {
	v.world.note("store: a copy is made")
	return v.world.table.Copy(), time.Now()
}

// playEvacuate evacuates a zone, takes that back, and evacuates it again as the store is back from
// a copy that is older than the taking back.
func playEvacuate(w *world, trouble bool) (verdict, error) {
	v, err := w.watchZone(1)
	if err != nil {
		return verdict{}, err
	}
	v.evacuate()
	time.Sleep(4 * time.Second)
	c, copied := v.copy()
	time.Sleep(time.Second)
	w.note("operator: takes the evacuation of %s back", evacuated)
	w.table.Remove("op", evacuateKey)
	v.restore(c, copied, trouble)
	time.Sleep(writeDelay)
	v.configure()
	v.evacuate()
	ordered := time.Now()
	time.Sleep(evacTime + watchTime)
	return v.verdict(ordered), nil
}

// playLapse evacuates a zone for good. The copy from which the store is back lacks that, and the
// operator writes it again a second later.
func playLapse(w *world, trouble bool) (verdict, error) {
	v, err := w.watchZone(3)
	if err != nil {
		return verdict{}, err
	}
	c, copied := v.copy()
	time.Sleep(2 * time.Second)
	v.evacuate()
	v.restore(c, copied, trouble)
	time.Sleep(rewriteDelay)
	v.configure()
	v.evacuate()
	ordered := time.Now()
	time.Sleep(lapseTime)
	return v.verdict(ordered), nil
}
