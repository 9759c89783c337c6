package grant

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"heatherford/core/intent"
	"heatherford/core/store"
	"heatherford/internal/rapidtb"
)

// fleet returns a declaration with six availability zones in three regions, and
// the hosts.
func fleet(endpoints, hosts int) (*intent.Declaration, []store.Host) {
	d := &intent.Declaration{
		Upstreams: []intent.Upstream{
			{
				Name: "u",
			},
		},
	}
	zones := []string{}
	regions := []string{}
	for i := range 3 {
		r := intent.Region{
			Name:  fmt.Sprintf("r%d", i),
			Zones: []string{fmt.Sprintf("r%d-a", i), fmt.Sprintf("r%d-b", i)},
		}
		d.Regions = append(d.Regions, r)
		zones = append(zones, r.Zones...)
		regions = append(regions, r.Name, r.Name)
	}
	for i := range endpoints {
		d.Upstreams[0].Endpoints = append(d.Upstreams[0].Endpoints, intent.Endpoint{
			Name:  fmt.Sprintf("e%02d", i),
			Zone:  zones[i%len(zones)],
			Slots: 3,
		})
	}
	s := []store.Host{}
	for i := range hosts {
		s = append(s, store.Host{
			Name:   fmt.Sprintf("h%02d", i),
			Zone:   zones[i%len(zones)],
			Region: regions[i%len(zones)],
			State:  store.HostLive,
		})
	}
	return d, s
}

func loads(chosen map[string]string, hosts []store.Host) (least, most int) {
	n := map[string]int{}
	for _, h := range chosen {
		n[h]++
	}
	least = len(chosen)
	for _, h := range hosts {
		least = min(least, n[h.Name])
		most = max(most, n[h.Name])
	}
	return least, most
}

// TestGrantBalance checks that 18 to 22 hosts share 40 endpoints evenly and in
// their zones, and that the loss of a host moves only its own endpoints.
func TestGrantBalance(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := rapidtb.New(t, r)
		d, hosts := fleet(40, rapid.IntRange(18, 22).Draw(r, "hosts"))
		chosen := Assign(d, hosts, nil)
		least, most := loads(chosen, hosts)
		c.Assert(least >= 1, qt.IsTrue)
		c.Assert(most <= 3, qt.IsTrue, qt.Commentf("a host has %d", most))
		for _, e := range d.Upstreams[0].Endpoints {
			for _, h := range hosts {
				if h.Name == chosen[e.Name] {
					c.Assert(h.Zone, qt.Equals, e.Zone)
				}
			}
		}
		lost := rapid.SampledFrom(hosts).Draw(r, "lost").Name
		next := Assign(d, without(hosts, lost), chosen)
		for e, h := range chosen {
			if h != lost {
				c.Assert(next[e], qt.Equals, h)
			}
		}
		back := Assign(d, hosts, next)
		least, most = loads(back, hosts)
		c.Assert(least >= 1, qt.IsTrue)
		c.Assert(most <= 3, qt.IsTrue)
	})
}

// TestGrantZoneLost checks that the endpoints of a zone without hosts are owned
// by hosts of their region.
func TestGrantZoneLost(t *testing.T) {
	c := qt.New(t)
	d, hosts := fleet(12, 12)
	left := []store.Host{}
	for _, h := range hosts {
		if h.Zone != "r0-a" {
			left = append(left, h)
		}
	}
	chosen := Assign(d, left, Assign(d, hosts, nil))
	for _, e := range d.Upstreams[0].Endpoints {
		if e.Zone != "r0-a" {
			continue
		}
		for _, h := range left {
			if h.Name == chosen[e.Name] {
				c.Assert(h.Zone, qt.Equals, "r0-b")
			}
		}
	}
}

// TestGrantStandby checks that an owner and its standby are in two zones of one
// region.
func TestGrantStandby(t *testing.T) {
	c := qt.New(t)
	d, hosts := fleet(40, 20)
	zones := map[string]store.Host{}
	for _, h := range hosts {
		zones[h.Name] = h
	}
	for e, o := range Assign(d, hosts, nil) {
		endpoint, _ := d.Endpoint(e)
		s := zones[chooseStandby(d, endpoint, hosts, o)]
		c.Assert(s.Region, qt.Equals, zones[o].Region)
		c.Assert(s.Zone, qt.Not(qt.Equals), zones[o].Zone)
	}
}
