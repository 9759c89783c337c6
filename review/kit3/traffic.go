package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// maxBodyBytes is the longest body that a client may send by the configuration, as on the
	// users' page.
	maxBodyBytes = 64 << 20
	// lookers is the number of clients in a zone that send short requests.
	lookers = 8
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
