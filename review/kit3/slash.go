package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lostServers and lostAnswers are the share of the servers that lose answers, and the share
	// of their answers that they lose: the largest dose on the users' standard days.
	lostServers = 0.6
	lostAnswers = 0.4
	// lostTime is for how long they do.
	lostTime = 4 * time.Second
	// bookers is the number of clients in a zone that send bookings.
	bookers = 3
)

// nestedRoutes are a route for bookings, which may run once, and one for look-ups of bookings
// below it, which may be repeated.
func nestedRoutes() []routeOptions {
	return []routeOptions{
		{
			name:     "r-book",
			prefix:   "/book/",
			kind:     "unsafe",
			service:  "booking-desk",
			timeout:  "1500ms",
			target:   "400ms",
			priority: 2,
		},
		{
			name:     "r-book-look",
			prefix:   "/book/look/",
			kind:     "safe",
			service:  "booking-desk",
			timeout:  "1200ms",
			target:   "200ms",
			priority: 1,
		},
	}
}

// slash shows that a booking runs twice whose path has an encoded slash where the prefix of a route
// of repeatable requests has a slash, when the answer of the first run is lost.
func slash(r *record, trouble bool) (string, error) {
	w, err := newWorld(r, twoZones, trouble)
	if err != nil {
		return "", err
	}
	defer w.close()
	const servers, work = 5, 100 * time.Millisecond
	services := []string{"booking-desk"}
	w.addHosts()
	w.configure(nestedRoutes(), services)
	losing := atomic.Bool{}
	for i := range servers * len(w.zones) {
		loses := float64(i) < lostServers*float64(servers*len(w.zones))
		if err := w.addServer(serverOptions{
			id:      fmt.Sprintf("i-booking-desk-%d", i+1),
			service: services[0],
			zone:    w.zones[i%len(w.zones)].name,
			slots:   3,
			work:    work,
			answer: func(http.ResponseWriter, *http.Request) bool {
				if loses && losing.Load() && rand.Float64() < lostAnswers {
					// The server resets the connection after the run.
					panic(http.ErrAbortHandler)
				}
				return false
			},
		}); err != nil {
			return "", err
		}
	}
	if err := w.startHosts(); err != nil {
		return "", err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &ledger{}
	group := sync.WaitGroup{}
	for _, z := range w.zones {
		for range bookers {
			group.Go(func() { w.book(ctx, z.name, l) })
		}
	}
	time.Sleep(stableWindow + time.Second)
	if trouble {
		r.add("answers are lost", "servers", lostServers, "answers", lostAnswers)
		losing.Store(true)
	}
	time.Sleep(lostTime)
	losing.Store(false)
	time.Sleep(stableWindow)
	cancel()
	group.Wait()
	return w.judgeSlash(l), nil
}

// book sends bookings over kept connections until ctx ends: of stalls with a plain name, and of
// those whose name has a slash, which stands encoded in the path.
func (w *world) book(ctx context.Context, zone string, l *ledger) {
	const pause, deadline = 60 * time.Millisecond, 1500 * time.Millisecond
	c := &client{
		world: w,
	}
	defer c.close()
	d := &directory{
		world: w,
		zone:  zone,
	}
	for host := ""; ctx.Err() == nil; {
		if c.conn == nil {
			host = d.pick()
		}
		if host != "" {
			target := fmt.Sprintf("/book/stall-%d", rand.IntN(34))
			if rand.IntN(2) == 0 {
				target = fmt.Sprintf("/book/look%%2Fout-%d", rand.IntN(34))
			}
			o := c.ask(question{
				host:     host,
				method:   http.MethodPost,
				target:   target,
				name:     domain,
				deadline: deadline,
				body:     []byte("a booking"),
			})
			l.add(o)
			if o.err != nil {
				d.fail(host)
			}
		}
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(pause)))
	}
}

// judgeSlash returns what is wrong, or an empty text: bookings that ran more than once. None has a
// path that begins with the prefix of the other route.
func (w *world) judgeSlash(l *ledger) string {
	runs := map[string]int{}
	for _, s := range w.servers {
		for _, x := range s.came() {
			if x.ran {
				runs[x.id]++
			}
		}
	}
	all := l.all()
	twice := 0
	for _, o := range all {
		if runs[o.id] > 1 {
			twice++
			w.record.add("ran more than once", "id", o.id, "runs", runs[o.id])
		}
	}
	w.record.add("judged", "requests", len(all), "ran_more_than_once", twice)
	if twice == 0 {
		return ""
	}
	return fmt.Sprintf("TWICE: %d of %d requests that may run once ran more than once", twice, len(all))
}
