package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// work is a request at an endpoint.
type work struct {
	begun time.Time
	// broken is true if the connection ended before the endpoint was through, and ended is
	// when.
	broken bool
	ended  time.Time
}

// playSilence stops a host with SIGTERM while endpoints are at work on answers that they have
// begun: they send a part, work on, and send the rest.
func playSilence(w *world, trouble bool) (verdict, error) {
	const (
		clients  = 8
		deadline = 3 * time.Second
		// restAfter is how long an endpoint works between the two parts of each third answer.
		restAfter = 1200 * time.Millisecond
		grace     = 6 * time.Second
		latest    = 2 * time.Second
	)
	mu := sync.Mutex{}
	runs := map[string]*work{}
	serve := func(e *endpoint, rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headerID)
		_, _ = io.Copy(io.Discard, r.Body)
		x := &work{begun: time.Now()}
		mu.Lock()
		runs[id] = x
		n := len(runs)
		mu.Unlock()
		first, rest := "assigned ", "and confirmed"
		rw.Header().Set(headerSeal, "seal-of-"+id)
		rw.Header().Set("Content-Length", strconv.Itoa(len(first)+len(rest)))
		io.WriteString(rw, first)
		if n%3 == 0 {
			_ = http.NewResponseController(rw).Flush()
			select {
			case <-time.After(restAfter):
			case <-r.Context().Done():
			}
		}
		mu.Lock()
		x.ended = time.Now()
		x.broken = r.Context().Err() != nil
		mu.Unlock()
		if x.broken {
			w.note("endpoint %s: the connection of %s ended %s after the run began", e.id, id, time.Since(x.begun).Round(time.Millisecond))
			return
		}
		io.WriteString(rw, rest)
	}
	const slots = 6
	for z := range zones {
		for i := range 2 {
			if err := w.addEndpoint(fmt.Sprintf("i-%s-%d", z, i), "steward-dispatch", z, slots, serve); err != nil {
				return verdict{}, err
			}
		}
	}
	w.configure([]routeSpec{{"reassign", "/reassign/", "unsafe", "steward-dispatch", "4000ms"}}, []string{"steward-dispatch"})
	for z := range zones {
		if err := w.addHost(z); err != nil {
			return verdict{}, err
		}
	}
	if err := w.untilReady(); err != nil {
		return verdict{}, err
	}
	// All that is started is calm for longer than stableWindow.
	time.Sleep(4 * time.Second)
	h := w.hosts[0]
	stopAt := time.Now().Add(2 * time.Second)
	group := sync.WaitGroup{}
	answers := map[string]answer{}
	for c := range clients {
		group.Go(func() {
			k := newCaller()
			for i := 0; time.Now().Before(stopAt.Add(latest)); i++ {
				id := fmt.Sprintf("c%d-%d", c, i)
				a := k.send(h.front, http.MethodPost, "/reassign/cart", id, id, deadline, []byte("move"))
				w.note("client: %s sent at %.3f: status %d, seal %t, %d bytes, err %v", id, a.sent.Sub(w.began).Seconds(), a.status, a.sealed, len(a.body), a.err)
				mu.Lock()
				answers[id] = a
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Until(stopAt))
	if trouble {
		w.note("operator: SIGTERM to %s", h.name)
		h.signal(syscall.SIGTERM)
	}
	term := time.Now()
	group.Wait()
	lost, cut, served := 0, 0, 0
	for id, a := range answers {
		x := runs[id]
		switch {
		case a.err == nil && a.status == http.StatusOK && a.sealed:
			served++
			continue
		case x == nil || !x.broken:
			continue
		}
		cut++
		inTime := a.ended.Sub(a.sent) < deadline-200*time.Millisecond
		if trouble && inTime && a.ended.After(term) && a.ended.Before(term.Add(grace*5/6)) {
			lost++
			w.note("lost: %s, sent %s after SIGTERM, at work at its endpoint, was broken off after %s of its %s: status %d, err %v", id,
				a.sent.Sub(term).Round(time.Millisecond), a.ended.Sub(a.sent).Round(time.Millisecond), deadline, a.status, a.err)
		}
	}
	return verdict{
		broken: lost > 0,
		text:   fmt.Sprintf("%d requests, %d served; %d broken off while their endpoint was at work, %d of them after the SIGTERM of their machine, in its grace and before their deadlines", len(answers), served, cut, lost),
	}, nil
}
