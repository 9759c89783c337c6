package edge

import (
	"maps"
	"slices"
	"time"

	"heatherford/core/balance"
	"heatherford/core/fleet"
)

const (
	// zonesInterval is the interval at which the relay of a large zone tells its hosts of
	// other zones and of shares.
	zonesInterval = 500 * time.Millisecond
	// zonesRounds is the number of rounds of ticks in a large zone of which one passes on
	// what relays told of other zones.
	zonesRounds = 2
	// zoneHosts is the most names of hosts of other zones in a tick, at some 20 bytes
	// each, but for a zone that has more.
	zoneHosts = 256
	// toldAgain is how much newer what others pass on of a zone has to be than what is
	// known: its relay tells at longer intervals, and ages are not exact.
	toldAgain = farInterval / 2
)

// zoneState is what a relay told of its zone.
type zoneState struct {
	at   time.Time
	live []string
	uses map[string]balance.Use
}

// addZones adds what a relay tells of zones and shares.
func (c *control) addZones(t *Tick, now time.Time) {
	t.Shares = c.edge.balancer.Shares()
	t.Zones = c.knownZones(now)
}

// knownZones returns what is known of other zones, as far as there is room, the rest in
// the next rounds.
func (c *control) knownZones(now time.Time) []ZoneNews {
	zones := slices.Sorted(maps.Keys(c.zones))
	s := []ZoneNews{}
	hosts := 0
	for range zones {
		c.nextZone++
		z := zones[c.nextZone%len(zones)]
		n := c.zones[z]
		if hosts += len(n.live); hosts > zoneHosts && len(s) > 0 {
			c.nextZone--
			break
		}
		s = append(s, ZoneNews{
			Zone: z,
			Live: n.live,
			Age:  now.Sub(n.at),
		})
	}
	return s
}

func (c *control) ownZone() ZoneNews {
	z := c.fleet.Self().Zone
	n := ZoneNews{
		Zone: z,
		Uses: c.edge.balancer.Uses(),
	}
	for _, m := range fleet.Zone(c.live, z) {
		if !m.Leaving {
			n.Live = append(n.Live, m.Name)
		}
	}
	return n
}

// hearZones takes in what relays say of zones, or others pass on of that, and reports
// whether it names a host that this one does not know.
func (c *control) hearZones(t *Tick, now time.Time) bool {
	unknown := false
	for i := range t.Zones {
		z := &t.Zones[i]
		at := now.Add(-z.Age)
		if z.Zone == c.fleet.Self().Zone || (t.From.Zone != z.Zone && at.Before(c.zones[z.Zone].at.Add(toldAgain))) {
			continue
		}
		if n := c.fleet.Tell(z.Zone, z.Live, at); n != "" {
			unknown = true
		}
		if o := c.zones[z.Zone]; at.After(o.at) {
			uses := z.Uses
			if uses == nil {
				uses = o.uses
			}
			c.zones[z.Zone] = zoneState{
				at:   at,
				live: z.Live,
				uses: uses,
			}
		}
	}
	return unknown
}
