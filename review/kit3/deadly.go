package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// deadlyTarget is the target of the request that crashes servers.
	deadlyTarget = "/look/deadly"
	// deadlyTime is for how long it comes, and deadlyPause the pause between two of it.
	deadlyTime  = 20 * time.Second
	deadlyPause = 800 * time.Millisecond
	// firstTime and secondTime are for how long it comes before and after the hosts were killed.
	firstTime  = 3 * time.Second
	secondTime = 16 * time.Second
	// crashDelay is how long after the whole answer the server crashes, and downTime how long it
	// is down.
	crashDelay = 300 * time.Millisecond
	downTime   = 3 * time.Second
	// deadlyBound is the number of retries that may reach servers.
	deadlyBound = 3
)

// crash ends the server's process, which is back after a time under the same identifier.
func (s *server) crash(down time.Duration) {
	s.mu.Lock()
	address, up := s.address, s.http != nil
	s.mu.Unlock()
	if !up {
		return
	}
	s.world.record.add("server crashed", "server", s.options.id)
	s.stop()
	time.AfterFunc(down, func() {
		if s.world.closed.Load() {
			return
		}
		if err := s.start(address); err != nil {
			s.world.record.add("server not started", "server", s.options.id, "err", err)
		}
	})
}

// deadly shows that a request that crashes each server a moment after its answer is never held
// back.
func deadly(r *record, trouble bool) (string, error) {
	return playDeadly(r, trouble, func(w *world, s *server, a http.ResponseWriter, q *http.Request) {
		io.WriteString(a, bodyOf(s.options.service, q.Header.Get(headerID)))
		time.AfterFunc(crashDelay, func() {
			w.crashes.add(time.Now())
			s.crash(downTime)
		})
	}, func(w *world, l *ledger) error {
		w.sendDeadly(l, deadlyTime)
		return nil
	})
}

// forgotten shows that hosts forget a request that crashes servers when all of them are killed at
// once, so that it crashes as many again.
func forgotten(r *record, trouble bool) (string, error) {
	return playDeadly(r, trouble, func(w *world, s *server, _ http.ResponseWriter, _ *http.Request) {
		w.crashes.add(time.Now())
		s.crash(downTime)
		panic(http.ErrAbortHandler)
	}, func(w *world, l *ledger) error {
		w.sendDeadly(l, firstTime)
		if trouble && os.Getenv("KILL") != "0" {
			for _, h := range w.hosts {
				h.signal(syscall.SIGKILL)
			}
			time.Sleep(restartDelay)
			if err := w.awaitReady(); err != nil {
				return err
			}
		}
		time.Sleep(stableWindow + time.Second)
		w.sendDeadly(l, secondTime)
		return nil
	})
}

// playDeadly plays a case in which a request crashes the servers that run it, by crash, and comes
// as send says.
func playDeadly(r *record, trouble bool, crash func(w *world, s *server, a http.ResponseWriter, q *http.Request),
	send func(w *world, l *ledger) error,
) (string, error) {
	w, err := newWorld(r, twoZones, trouble)
	if err != nil {
		return "", err
	}
	defer w.close()
	const servers, work = 6, 100 * time.Millisecond
	w.addHosts()
	w.configure(usualRoutes()[:1], []string{"rota-view"})
	for i := range servers * len(w.zones) {
		s := &server{
			world: w,
			options: serverOptions{
				id:      fmt.Sprintf("i-rota-view-%d", i+1),
				service: "rota-view",
				zone:    w.zones[i%len(w.zones)].name,
				slots:   3,
				work:    work,
			},
		}
		s.options.answer = func(a http.ResponseWriter, q *http.Request) bool {
			if !trouble || q.RequestURI != deadlyTarget {
				return false
			}
			crash(w, s, a, q)
			return true
		}
		if err := s.start("127.0.0.1:0"); err != nil {
			return "", err
		}
		w.servers = append(w.servers, s)
	}
	if err := w.startHosts(); err != nil {
		return "", err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &ledger{}
	group := sync.WaitGroup{}
	for _, z := range w.zones {
		for range lookers {
			group.Go(func() { w.look(ctx, z.name, l) })
		}
	}
	time.Sleep(stableWindow + time.Second)
	r.add("the deadly request begins")
	err = send(w, l)
	r.add("the deadly request ends")
	cancel()
	group.Wait()
	if err != nil {
		return "", err
	}
	return w.judgeDeadly(l, w.crashes.third()), nil
}

// sendDeadly sends the request from time to time for a while, to any host, each time on a new
// connection.
func (w *world) sendDeadly(l *ledger, d time.Duration) {
	const deadline = 1200 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(deadlyPause) {
		c := &client{
			world: w,
		}
		l.add(c.ask(question{
			host:     w.hosts[rand.IntN(len(w.hosts))].front(),
			method:   http.MethodGet,
			target:   deadlyTarget,
			name:     domain,
			deadline: deadline,
		}))
		c.close()
	}
}

// judgeDeadly returns what is wrong, or an empty text: the request reached servers more often than
// it may, later than the stable window after the third crash.
func (w *world) judgeDeadly(l *ledger, third time.Time) string {
	late, unknown := 0, 0
	for _, s := range w.servers {
		for _, x := range s.came() {
			if x.target == deadlyTarget && !third.IsZero() && x.at.After(third.Add(stableWindow)) {
				late++
			}
		}
	}
	for _, o := range l.all() {
		if o.status == http.StatusBadGateway {
			unknown++
		}
	}
	w.record.add("judged", "late_arrivals", late, "bound", deadlyBound, "answers_502", unknown, "requests", len(l.all()))
	if late <= deadlyBound {
		return ""
	}
	return fmt.Sprintf("BUDGET: a request that crashes servers reached %d of them later than %s after the third crash, %d may be", late, stableWindow, deadlyBound)
}

// crashTimes are the times of crashes. The zero value is ready. It is safe for concurrent use.
type crashTimes struct {
	mu    sync.Mutex
	times []time.Time
}

func (c *crashTimes) add(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.times = append(c.times, t)
}

// third returns the time of the third crash, or zero.
func (c *crashTimes) third() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	const n = 3
	if len(c.times) < n {
		return time.Time{}
	}
	return c.times[n-1]
}
