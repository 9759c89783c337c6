package main

import (
	"net/http"
	"net/netip"
	"strings"
	"time"

	"heatherford/core/store"
	"heatherford/core/strict"
	"heatherford/standin/upstream"
)

// Settings is the content of the stand-in's settings file.
type Settings struct {
	// PlatformAddress is where the platform listens.
	PlatformAddress netip.AddrPort `json:"platform_address"`
	// ControlAddress is where the endpoints' counts are read and their faults
	// are set; without it there is no such interface.
	ControlAddress netip.AddrPort `json:"control_address,omitempty"`
	Hosts          []store.Host   `json:"hosts"`
	Endpoints      []Endpoint     `json:"endpoints,omitempty"`
	Relays         []Relay        `json:"relays,omitempty"`
	Hostiles       []Hostile      `json:"hostiles,omitempty"`
	Network        Network        `json:"network,omitempty"`
	// Seed makes service times the same in every run.
	Seed uint64 `json:"seed,omitempty"`
}

// Endpoint describes one upstream's endpoint.
type Endpoint struct {
	Name         string          `json:"name"`
	Address      netip.AddrPort  `json:"address"`
	Zone         string          `json:"availability_zone,omitempty"`
	Region       string          `json:"region,omitempty"`
	Slots        int             `json:"slots"`
	Connections  int             `json:"connections,omitempty"`
	Service      strict.Duration `json:"service"`
	Sigma        float64         `json:"sigma,omitempty"`
	LoadLag      strict.Duration `json:"load_lag,omitempty"`
	ConnectCost  strict.Duration `json:"connect_cost,omitempty"`
	ProbeCost    strict.Duration `json:"probe_cost,omitempty"`
	ColdFactor   float64         `json:"cold_factor,omitempty"`
	ColdRequests int             `json:"cold_requests,omitempty"`
}

// Network holds the times that a message takes one way. A host is known by the
// name in its Via header.
type Network struct {
	// Zones is the time between availability zones of a region.
	Zones strict.Duration `json:"zones,omitempty"`
	// Regions is the time between regions.
	Regions strict.Duration `json:"regions,omitempty"`
}

// fleet is the endpoints in the order of the settings.
type fleet struct {
	members []upstream.Member
	fleet   *upstream.Fleet
}

func newFleet(s *Settings) *fleet {
	f := &fleet{}
	regions := map[string]*upstream.Meter{}
	for _, e := range s.Endpoints {
		if regions[e.Region] == nil {
			regions[e.Region] = upstream.NewMeter(0)
		}
		f.members = append(f.members, upstream.Member{
			Name:     e.Name,
			Region:   e.Region,
			Endpoint: upstream.New(options(s, e, regions[e.Region])),
		})
	}
	f.fleet = upstream.NewFleet(f.members, regions)
	return f
}

func options(s *Settings, e Endpoint, region *upstream.Meter) upstream.Options {
	return upstream.Options{
		Name:         e.Name,
		Slots:        e.Slots,
		Connections:  e.Connections,
		Service:      e.Service.Std(),
		Sigma:        e.Sigma,
		Seed:         s.Seed,
		LoadLag:      e.LoadLag.Std(),
		ConnectCost:  e.ConnectCost.Std(),
		ProbeCost:    e.ProbeCost.Std(),
		ColdFactor:   e.ColdFactor,
		ColdRequests: e.ColdRequests,
		Region:       region,
		Leg:          leg(s, e),
	}
}

// leg returns the time that a message takes between a host and the endpoint.
func leg(s *Settings, e Endpoint) func(r *http.Request) time.Duration {
	hosts := map[string]store.Host{}
	for _, h := range s.Hosts {
		hosts[h.Name] = h
	}
	return func(r *http.Request) time.Duration {
		h, ok := hosts[sender(r)]
		switch {
		case !ok || h.Zone == e.Zone:
			return 0
		case h.Region == e.Region:
			return s.Network.Zones.Std()
		default:
			return s.Network.Regions.Std()
		}
	}
}

// sender returns the name of the host that sent r, the last in its Via headers.
func sender(r *http.Request) string {
	v := r.Header.Values("Via")
	if len(v) == 0 {
		return ""
	}
	_, name, _ := strings.Cut(v[len(v)-1], " ")
	return name
}
