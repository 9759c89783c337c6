package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The traffic of playDeadly.
const (
	// downTime is how long an endpoint is away after a crash.
	downTime = 2 * time.Second
	// volley is how many clients send the deadly request at once, and volleys how often they do.
	volley         = 6
	volleys        = 8
	volleyInterval = 3500 * time.Millisecond
	// stableWindow is that of the settings.
	stableWindow = 3 * time.Second
	// mostRetries is the most retries that may reach endpoints once a request has crashed three.
	mostRetries = 3
	deadlyPath  = "/look/deadly"
)

// playDeadly has clients send a request that crashes each endpoint that begins to run it.
func playDeadly(w *world, trouble bool) (verdict, error) {
	mu := sync.Mutex{}
	reached, crashes, bookingsLost := []time.Time{}, []time.Time{}, 0
	serve := func(e *endpoint, rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headerID)
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == deadlyPath {
			now := time.Now()
			mu.Lock()
			reached = append(reached, now)
			if trouble {
				crashes = append(crashes, now)
			}
			mu.Unlock()
			w.note("endpoint %s: begins to run the deadly request as %s", e.id, id)
			if trouble {
				e.crash(downTime)
				return
			}
		}
		const work = 60 * time.Millisecond
		select {
		case <-time.After(work):
		case <-r.Context().Done():
			return
		}
		rw.Header().Set(headerSeal, "seal-of-"+id)
		io.WriteString(rw, "pitch of "+id)
	}
	const slots = 9
	for z := range zones {
		if err := w.addEndpoint("i-"+z, "rota-view", z, slots, serve); err != nil {
			return verdict{}, err
		}
	}
	w.configure([]routeSpec{
		{"look", "/look/", "safe", "rota-view", "2500ms"},
		{"book", "/book/", "unsafe", "rota-view", "2500ms"},
	}, []string{"rota-view"})
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
				case <-time.After(30 * time.Millisecond):
				}
				id := fmt.Sprintf("book-%d-%d", i, n)
				a := c.send(h.front, http.MethodPost, "/book/slot", id, id, 2500*time.Millisecond, []byte("booking"))
				if a.status == http.StatusBadGateway || a.err != nil {
					mu.Lock()
					bookingsLost++
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(time.Second)
	for v := range volleys {
		w.note("clients: %d of them send the deadly request at once", volley)
		for i := range volley {
			h := w.hosts[i%len(w.hosts)]
			group.Go(func() {
				id := fmt.Sprintf("deadly-%d-%d", v, i)
				a := newCaller().send(h.front, http.MethodGet, deadlyPath, id, "7", 2500*time.Millisecond, nil)
				w.note("client: %s to %s: status %d, err %v", id, h.name, a.status, a.err)
			})
		}
		time.Sleep(volleyInterval)
	}
	close(end)
	group.Wait()
	late := 0
	if len(crashes) >= 3 {
		slices.SortFunc(crashes, time.Time.Compare)
		for _, t := range reached {
			if t.After(crashes[2].Add(stableWindow)) {
				late++
			}
		}
	}
	return verdict{
		broken: late > mostRetries,
		text: fmt.Sprintf("%d runs of the deadly request, %d of them later than %s after it had crashed the third endpoint; %d bookings got a 502 or no answer meanwhile",
			len(reached), late, stableWindow, bookingsLost),
	}, nil
}
