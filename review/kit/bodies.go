package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// memory returns the resident memory of the process of a host in MB, or 0.
func (h *host) memory() int {
	h.mu.Lock()
	pid := h.process.Pid
	h.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, v, _ := bytes.Cut(b, []byte("VmRSS:"))
	f := bytes.Fields(v)
	if len(f) == 0 {
		return 0
	}
	n, err := strconv.Atoi(string(f[0]))
	if err != nil {
		return 0
	}
	const kbPerMB = 1024
	return n / kbPerMB
}

// guard kills the process of a host once it exceeds the memory that it may use, as the platform
// does, and starts it again a second later.
type guard struct {
	host *host

	mu    sync.Mutex
	peak  int
	kills int
}

func (g *guard) run(end <-chan struct{}) {
	const interval = 10 * time.Millisecond
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-end:
			return
		case <-t.C:
		}
		n := g.host.memory()
		g.mu.Lock()
		g.peak = max(g.peak, n)
		g.mu.Unlock()
		if n <= memoryMB {
			continue
		}
		g.host.world.note("platform: host %s uses %d MB of %d and is killed", g.host.name, n, memoryMB)
		g.host.kill()
		g.mu.Lock()
		g.kills++
		g.mu.Unlock()
		time.Sleep(time.Second)
		if err := g.host.start(); err != nil {
			g.host.world.note("host %s: cannot start: %v", g.host.name, err)
			return
		}
	}
}

// upload is a body that a client sends in steps.
type upload struct {
	left  int
	pause time.Duration
	step  int
}

// Read implements io.Reader.
func (u *upload) Read(b []byte) (int, error) {
	if u.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(u.pause)
	n := min(len(b), u.step, u.left)
	clear(b[:n])
	u.left -= n
	return n, nil
}

// The traffic of playBodies.
const (
	bodyBytes   = 10 << 20
	uploadTime  = time.Second
	bookingWork = 2 * time.Second
	// bookingDeadline is how long clients wait for the answer.
	bookingDeadline = 8 * time.Second
	// bookingInterval is the time between two requests to a host in usual times.
	bookingInterval = 800 * time.Millisecond
	// burstTenths is the factor of the burst in tenths.
	burstTenths = 24
	burstTime   = 6800 * time.Millisecond
	usualTime   = 8 * time.Second
	// connections is how many connections to each host the clients keep open.
	connections = 30
)

// booking is a request of playBodies.
type booking struct {
	id     string
	kept   bool
	status int
	err    error
}

// playBodies sends bookings of a few megabytes, and more of them for some seconds.
func playBodies(w *world, trouble bool) (verdict, error) {
	mu := sync.Mutex{}
	runs := map[string]bool{}
	serve := func(_ *endpoint, rw http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get(headerID)
		mu.Lock()
		runs[id] = true
		mu.Unlock()
		select {
		case <-time.After(bookingWork):
		case <-r.Context().Done():
			return
		}
		rw.Header().Set(headerSeal, "seal-of-"+id)
		io.WriteString(rw, "recorded")
	}
	const slots = 9
	for z := range zones {
		for i := range 2 {
			if err := w.addEndpoint(fmt.Sprintf("i-%s-%d", z, i), "booking-desk", z, slots, serve); err != nil {
				return verdict{}, err
			}
		}
	}
	w.configure([]routeSpec{{"booking", "/booking/", "unsafe", "booking-desk", "8000ms"}}, []string{"booking-desk"})
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
	guards := []*guard{}
	group := sync.WaitGroup{}
	for _, h := range w.hosts {
		g := &guard{host: h}
		guards = append(guards, g)
		group.Go(func() { g.run(end) })
	}
	answers := []booking{}
	callers := map[*host]*caller{}
	for _, h := range w.hosts {
		callers[h] = newCaller()
		callers[h].keep(h, connections)
	}
	senders := sync.WaitGroup{}
	began := time.Now()
	for i, h := range w.hosts {
		senders.Go(func() {
			client := callers[h]
			sent := sync.WaitGroup{}
			for n := 0; ; n++ {
				t := time.Since(began)
				interval := bookingInterval
				switch {
				case t > 2*usualTime+burstTime:
					sent.Wait()
					return
				case t > usualTime && t < usualTime+burstTime && trouble:
					interval = bookingInterval * 10 / burstTenths
				}
				sent.Go(func() {
					x := sendBooking(client, h, fmt.Sprintf("b%d-%d", i, n))
					w.note("client: %s to %s: kept connection %t, status %d, err %v", x.id, h.name, x.kept, x.status, x.err)
					mu.Lock()
					answers = append(answers, x)
					mu.Unlock()
				})
				time.Sleep(interval)
			}
		})
	}
	senders.Wait()
	close(end)
	group.Wait()
	kills, peak := 0, 0
	for _, g := range guards {
		kills += g.kills
		peak = max(peak, g.peak)
		w.note("host %s: peak %d MB, killed %d times", g.host.name, g.peak, g.kills)
	}
	lost, served, statuses := 0, 0, map[int]int{}
	for _, x := range answers {
		statuses[x.status]++
		if x.status == http.StatusOK {
			served++
		}
		if x.err != nil && x.kept && runs[x.id] && (errors.Is(x.err, io.EOF) || errors.Is(x.err, io.ErrUnexpectedEOF) || errors.Is(x.err, syscall.ECONNRESET)) {
			lost++
			w.note("lost: %s was passed on to an endpoint, and its kept connection closed without an answer", x.id)
		}
	}
	return verdict{
		broken: lost > 3,
		text: fmt.Sprintf("%d bookings, %d served, statuses %v; peak %d MB of %d, hosts killed for their memory %d times; %d requests of kept connections were passed on and their connections closed without an answer",
			len(answers), served, statuses, peak, memoryMB, kills, lost),
	}, nil
}

// keep opens connections to a host and sends a small request on each, so that they are kept.
func (c *caller) keep(h *host, n int) {
	c.client.Transport.(*http.Transport).MaxIdleConnsPerHost = n
	group := sync.WaitGroup{}
	for i := range n {
		group.Go(func() {
			id := fmt.Sprintf("first-%s-%d", h.name, i)
			c.send(h.front, http.MethodPost, "/booking/first", id, id, bookingDeadline, []byte("small"))
		})
	}
	group.Wait()
}

func sendBooking(c *caller, h *host, id string) booking {
	x := booking{id: id}
	const step = 64 << 10
	r, err := http.NewRequest(http.MethodPost, "http://"+h.front+"/booking/week", &upload{
		left:  bodyBytes,
		step:  step,
		pause: uploadTime * step / bodyBytes,
	})
	if err != nil {
		x.err = err
		return x
	}
	r.ContentLength = bodyBytes
	r.Host = siteHost
	r.Header.Set(headerID, id)
	r.Header.Set("X-Heatherford-Affinity-Key", id)
	r.Header.Set(headerDeadline, strconv.FormatInt(bookingDeadline.Milliseconds(), 10))
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { x.kept = i.Reused },
	}))
	a, err := c.client.Do(r)
	if err != nil {
		x.err = err
		return x
	}
	defer a.Body.Close()
	x.status = a.StatusCode
	_, x.err = io.Copy(io.Discard, a.Body)
	return x
}
