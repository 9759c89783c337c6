package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// maxBodyBytes is the longest body that a client may send by the configuration, as on the
	// users' page.
	maxBodyBytes = 64 << 20
	// uploadBytes is the length of the bodies that clients send.
	uploadBytes = 20 << 20
	// uploaders is the usual number of clients that send them, and burstUploaders that in the
	// burst.
	uploaders      = 2
	burstUploaders = 5
	// burstTime is how long the burst lasts.
	burstTime = 6 * time.Second
	// uploadRate is the most bytes a second that each of them sends, such that all of them
	// together stay below the 700 Mbit/s of the link of a single host.
	uploadRate = 16_000_000
	// uploadDeadline is how long such a client waits for the answer.
	uploadDeadline = 8 * time.Second
	// lookers is the number of clients in a zone that send short requests.
	lookers = 8
	// lostBound is the number of requests that may be lost.
	lostBound = 3
)

// twoZones are the zones of the small deployment.
var twoZones = []zone{
	{
		name:   "bne-north",
		region: "brisbane",
	},
	{
		name:   "bne-south",
		region: "brisbane",
	},
}

// usualRoutes are the routes of the small deployment.
func usualRoutes() []routeOptions {
	return []routeOptions{
		{
			name:     "r-look",
			prefix:   "/look/",
			kind:     "safe",
			service:  "rota-view",
			timeout:  "1200ms",
			target:   "200ms",
			priority: 1,
		},
		{
			name:     "r-book",
			prefix:   "/book/",
			kind:     "unsafe",
			service:  "booking-desk",
			timeout:  "8000ms",
			target:   "2000ms",
			priority: 2,
		},
	}
}

// addUsualServers starts the servers of a service, as many in each zone.
func (w *world) addUsualServers(service string, perZone int, work time.Duration) error {
	const slots = 3
	for i := range perZone * len(w.zones) {
		if err := w.addServer(serverOptions{
			id:      fmt.Sprintf("i-%s-%d", service, i+1),
			service: service,
			zone:    w.zones[i%len(w.zones)].name,
			slots:   slots,
			work:    work,
		}); err != nil {
			return err
		}
	}
	return nil
}

// uploads shows that a host of the users' size is killed for its memory when some clients send
// bodies at the same time that are far shorter than the configuration allows, and that the
// requests are lost that it has in hand.
func uploads(r *record, trouble bool) (string, error) {
	w, err := newWorld(r, twoZones, trouble)
	if err != nil {
		return "", err
	}
	defer w.close()
	const servers, work = 4, 300 * time.Millisecond
	w.addHosts()
	w.configure(usualRoutes(), []string{"rota-view", "booking-desk"})
	for _, s := range []string{"rota-view", "booking-desk"} {
		if err := w.addUsualServers(s, servers, work); err != nil {
			return "", err
		}
	}
	if err := w.startHosts(); err != nil {
		return "", err
	}
	started := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	l := &ledger{}
	group := sync.WaitGroup{}
	for _, z := range w.zones {
		for range lookers {
			group.Go(func() { w.look(ctx, z.name, l) })
		}
	}
	time.Sleep(stableWindow + time.Second)
	n := uploaders
	if trouble {
		n = burstUploaders
	}
	r.add("burst begins", "clients", n, "bytes", uploadBytes)
	burst, end := context.WithTimeout(ctx, burstTime)
	sends := sync.WaitGroup{}
	for range n {
		sends.Go(func() { w.upload(burst, w.zones[0].name, l) })
	}
	sends.Wait()
	end()
	r.add("burst ended")
	time.Sleep(time.Second)
	cancel()
	group.Wait()
	return w.judgeUploads(l, started), nil
}

// judgeUploads returns what is wrong, or an empty text.
func (w *world) judgeUploads(l *ledger, started time.Time) string {
	lost := w.lost(l, started)
	for _, o := range lost {
		w.record.add("lost", "id", o.id, "host", o.host, "err", o.err)
	}
	kills := 0
	for _, h := range w.hosts {
		kills += len(h.killed())
	}
	w.record.add("judged", "requests", len(l.all()), "lost", len(lost), "killed_for_memory", kills)
	if len(lost) <= lostBound {
		return ""
	}
	return fmt.Sprintf("LOST: hosts in touch closed kept connections without an answer on %d requests that servers had, %d processes were killed for their memory",
		len(lost), kills)
}

// look sends short requests over kept connections until ctx ends.
func (w *world) look(ctx context.Context, zone string, l *ledger) {
	const pause, deadline = 40 * time.Millisecond, 1200 * time.Millisecond
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
			o := c.ask(question{
				host:     host,
				method:   http.MethodGet,
				target:   fmt.Sprintf("/look/%d", rand.IntN(68)),
				name:     domain,
				deadline: deadline,
			})
			l.add(o)
			if o.err != nil {
				d.fail(host)
			}
		}
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(pause)))
	}
}

// upload sends long bodies, one after the other, each on a new connection, until ctx ends.
func (w *world) upload(ctx context.Context, zone string, l *ledger) {
	const pause = 100 * time.Millisecond
	d := &directory{
		world: w,
		zone:  zone,
	}
	body := make([]byte, uploadBytes)
	for ctx.Err() == nil {
		c := &client{
			world: w,
		}
		if host := d.pick(); host != "" {
			o := c.ask(question{
				host:     host,
				method:   http.MethodPost,
				target:   "/book/1",
				name:     domain,
				deadline: uploadDeadline,
				body:     body,
				rate:     uploadRate,
			})
			l.add(o)
			if o.err != nil {
				d.fail(host)
			}
			c.close()
		}
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(pause)))
	}
}
