package main

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"heatherford/core/strict"
)

// profile is what a user's workloads are like. Slots, endpoints, connections
// and the network are as in the sample declarations and the brief; the service
// times set the request rates to what one machine carries.
type profile struct {
	// callers is the number of callers in each zone.
	callers   int
	service   map[string]time.Duration
	probeCost time.Duration
	network   Network
	// day holds the load of each kind on an ordinary day, as a share of its
	// upstream's capacity.
	day map[string]float64
	// low and urgent are the kinds that flood, of the lowest and of the highest
	// rank.
	low    []string
	urgent []string
}

func profiles() map[string]profile {
	return map[string]profile{
		"authority": {
			callers: 100,
			service: map[string]time.Duration{
				"waiver-desk":  200 * time.Millisecond,
				"group-ledger": 250 * time.Millisecond,
				"deposit-till": 300 * time.Millisecond,
			},
			network: Network{
				Callers: strict.Duration(3 * time.Millisecond),
				Zones:   strict.Duration(1500 * time.Microsecond),
				Regions: strict.Duration(12 * time.Millisecond),
			},
			day: map[string]float64{
				"waiver-lookup":      0.45,
				"waiver-audit":       0.25,
				"group-lookup":       0.4,
				"group-registration": 0.3,
				"deposit-charge":     0.7,
			},
			low:    []string{"waiver-audit"},
			urgent: []string{"waiver-lookup"},
		},
		"pitchwise": {
			callers: 100,
			service: map[string]time.Duration{
				"rota-view":        120 * time.Millisecond,
				"booking-desk":     150 * time.Millisecond,
				"steward-dispatch": 150 * time.Millisecond,
			},
			probeCost: 6 * time.Millisecond,
			network: Network{
				Callers: strict.Duration(time.Millisecond),
				Zones:   strict.Duration(time.Millisecond),
				Regions: strict.Duration(12 * time.Millisecond),
			},
			day: map[string]float64{
				"pitch-reassignment": 0.2,
				"block-check":        0.5,
				"slot-booking":       0.4,
				"booking-check":      0.3,
				"pitch-lookup":       0.7,
			},
			low:    []string{"booking-check", "pitch-lookup"},
			urgent: []string{"block-check"},
		},
	}
}

const (
	warmup     = 8 * time.Second
	floodLoad  = 3
	quietShare = 1.0 / 7
	faultAfter = 5 * time.Second
)

// scenarios returns the scenarios of the lab's user. Hosts that a scenario
// kills are killed by the lab's script.
func (l *lab) scenarios(control netip.AddrPort) []Scenario {
	day := l.scenario(control, "day", nil)
	quiet := l.scenario(control, "quiet", nil)
	for i := range quiet.Flows {
		quiet.Flows[i].Rate *= quietShare
	}
	frozen := l.scenario(control, "frozen_measurements", nil)
	frozen.Faults = append(frozen.Faults, Fault{
		Method: http.MethodPut,
		Path:   "/faults",
		Body:   json.RawMessage(`{"frozen":true}`),
	})
	region := l.scenario(control, "region_loss", nil)
	region.Faults = append(region.Faults, Fault{
		At:     strict.Duration(faultAfter),
		Method: http.MethodPut,
		Path:   "/faults?region=" + l.lostRegion(),
		Body:   json.RawMessage(`{"gone":true}`),
	})
	broken := l.scenario(control, "broken_upstream", nil)
	broken.Faults = append(broken.Faults, Fault{
		Method: http.MethodPut,
		Path:   "/faults?endpoint=" + l.declaration.Upstreams[0].Name,
		Body:   json.RawMessage(`{"broken":true}`),
	})
	return []Scenario{
		day,
		quiet,
		l.scenario(control, "flood_low", l.profile.low),
		l.scenario(control, "flood_urgent", l.profile.urgent),
		l.scenario(control, "owner_death", nil),
		region,
		frozen,
		broken,
	}
}

// scenario returns an ordinary day with the flooding kinds at three times their
// upstream's capacity.
func (l *lab) scenario(control netip.AddrPort, name string, flood []string) Scenario {
	s := Scenario{
		Name:     name,
		Warmup:   strict.Duration(warmup),
		Duration: strict.Duration(l.options.seconds * float64(time.Second)),
		Control:  control,
		Zones:    l.zones(),
		Network:  l.profile.network,
	}
	for _, h := range l.hosts {
		s.Hosts = append(s.Hosts, Host{
			Name:    h.Name,
			Address: h.CallerAddress,
			Zone:    h.Zone,
			Region:  h.Region,
		})
	}
	capacity := map[string]float64{}
	for _, u := range l.declaration.Upstreams {
		x := Upstream{
			Name:    u.Name,
			Service: strict.Duration(l.profile.service[u.Name]),
		}
		for _, e := range u.Endpoints {
			x.Slots += e.Slots
		}
		capacity[u.Name] = x.capacity()
		s.Upstreams = append(s.Upstreams, x)
	}
	for _, k := range l.declaration.Kinds {
		load := l.profile.day[k.Name]
		for _, n := range flood {
			if n == k.Name {
				load = floodLoad
			}
		}
		s.Flows = append(s.Flows, Flow{
			Kind:       k.Name,
			Rank:       k.Rank,
			Upstream:   k.Upstream,
			Repeatable: k.Repeatable,
			Deadline:   k.Deadline,
			Weight:     k.Weight,
			Rate:       load * capacity[k.Upstream],
		})
	}
	return s
}
