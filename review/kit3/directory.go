package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"
)

// directory is a client's knowledge of the hosts of its zone. It is not safe for concurrent use.
type directory struct {
	world     *world
	zone      string
	addresses []string
	until     time.Time
	// failed holds the addresses that failed the client, until when it leaves them out.
	failed map[string]time.Time
}

// failTime is for how long a client leaves an address out that failed it.
const failTime = time.Second

// pick returns the address of a host for a new connection, or an empty text if none is known.
func (d *directory) pick() string {
	if time.Now().After(d.until) {
		d.resolve()
	}
	s := []string{}
	for _, a := range d.addresses {
		if time.Now().After(d.failed[a]) {
			s = append(s, a)
		}
	}
	if len(s) == 0 {
		return ""
	}
	return s[rand.IntN(len(s))]
}

// fail notes that an address failed the client.
func (d *directory) fail(address string) {
	if d.failed == nil {
		d.failed = map[string]time.Time{}
	}
	d.failed[address] = time.Now().Add(failTime)
}

// resolve asks up to three hosts, those of the zone first, which hosts to use.
func (d *directory) resolve() {
	w := d.world
	hosts := []*host{}
	for _, near := range []bool{true, false} {
		for _, h := range w.hosts {
			if (h.zone == d.zone) == near {
				hosts = append(hosts, h)
			}
		}
	}
	const most = 3
	for _, h := range hosts[:min(most, len(hosts))] {
		if d.ask(h) {
			return
		}
	}
	// Clients keep an old answer if they cannot get a new one.
	d.until = time.Now().Add(failTime)
}

// ask asks a host, and reports whether it answered.
func (d *directory) ask(h *host) bool {
	c := http.Client{
		Timeout: time.Second,
	}
	q := url.Values{
		"name":   {domain},
		"region": {d.world.regionOf(d.zone)},
		"zone":   {d.zone},
	}
	a, err := c.Get("http://" + h.directory() + "/resolve?" + q.Encode())
	if err != nil {
		return false
	}
	defer a.Body.Close()
	x := struct {
		Addresses []string `json:"addresses"`
		TTL       string   `json:"ttl"`
	}{}
	if a.StatusCode != http.StatusOK || json.NewDecoder(a.Body).Decode(&x) != nil {
		return false
	}
	ttl, err := time.ParseDuration(x.TTL)
	if err != nil || len(x.Addresses) == 0 {
		return false
	}
	d.addresses = x.Addresses
	d.until = time.Now().Add(ttl)
	return true
}
