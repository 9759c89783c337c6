package ingress

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"heatherford/core/edge"
	"heatherford/core/fleet"
)

const (
	// maxHosts is the most hosts that an answer names.
	maxHosts = 64
	// fewHosts is the number of hosts of a zone below which those of its region
	// are named too, so that a caller has another one if one ends.
	fewHosts = 2
)

// Query is a look-up of hosts.
type Query struct {
	// Name is the host name that the caller will ask for.
	Name   string
	Region string
	Zone   string
}

// Hosts returns the hosts that a caller should use: those of its zone, else of
// its region, else of regions where its requests may be served.
func Hosts(v *edge.View, q Query) []netip.AddrPort {
	region := q.Region
	zone := []fleet.Member{}
	near := []fleet.Member{}
	far := []fleet.Member{}
	for _, m := range v.Live {
		switch {
		case m.Leaving:
		case m.Zone == q.Zone:
			zone = append(zone, m)
		case m.Region == region:
			near = append(near, m)
		case allowed(v, q.Name, m.Region):
			far = append(far, m)
		}
	}
	s := zone
	if len(s) < fewHosts {
		s = append(s, near...)
	}
	if len(s) == 0 {
		s = far
	}
	a := []netip.AddrPort{}
	for _, m := range s[:min(maxHosts, len(s))] {
		a = append(a, m.CallerAddr)
	}
	return a
}

func allowed(v *edge.View, name, region string) bool {
	if v.Table == nil {
		return true
	}
	regions, bound := v.Table.Regions(name)
	if !bound {
		return true
	}
	for _, r := range regions {
		if r == region {
			return true
		}
	}
	return false
}

// Lookups describe how look-ups are asked and answered.
type Lookups struct {
	// Query reads a look-up from its URL.
	Query func(r *http.Request) Query
	// Answer returns the answer's value for JSON.
	Answer func(hosts []netip.AddrPort, ttl time.Duration) any
	// TTL is how long callers keep an answer.
	TTL time.Duration
}

// directory answers look-ups.
type directory struct {
	edge    *edge.Edge
	lookups Lookups
}

// ServeHTTP implements http.Handler.
func (d *directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	hosts := Hosts(d.edge.View(), d.lookups.Query(r))
	if len(hosts) == 0 {
		http.Error(w, "no host takes callers", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(d.lookups.Answer(hosts, d.lookups.TTL))
}
