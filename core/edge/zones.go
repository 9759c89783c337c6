package edge

import (
	"maps"
	"math"
	"slices"
	"time"

	"heatherford/core/balance"
	"heatherford/core/fleet"
)

const (
	// zonesInterval is the interval at which the relay host of a large zone sends its
	// hosts the states of other zones and the spillover shares.
	zonesInterval = 500 * time.Millisecond
	// zonesEveryRounds is the number of gossip rounds of a large zone of which one
	// passes on what relay hosts reported of other zones.
	zonesEveryRounds = 2
	// maxZoneHosts is the most names of hosts of other zones in a heartbeat, at some
	// 20 bytes each. A zone that alone has more is still sent whole.
	maxZoneHosts = 256
	// maxPlausibleSlots is the most slots, in use or not, that a zone can report.
	maxPlausibleSlots = 1 << 40
	// relayedZoneMargin is how much newer a zone's state from gossip has to be than
	// what is known: its relay host sends at longer intervals, and ages are not
	// exact.
	relayedZoneMargin = remoteInterval / 2
)

// zoneState is what a relay host reported of its zone.
type zoneState struct {
	at       time.Time
	live     []string
	isolated []string
	uses     map[string]balance.SlotUse
}

// addZones adds the spillover shares and the states of other zones to a heartbeat.
func (c *control) addZones(t *Heartbeat, now time.Time) {
	t.Shares = c.edge.balancer.Shares()
	t.Zones = c.zoneStatuses(now)
}

// zoneStatuses returns the states of other zones as far as there is room, and the
// rest in the next rounds.
func (c *control) zoneStatuses(now time.Time) []ZoneStatus {
	zones := slices.Sorted(maps.Keys(c.zones))
	s := []ZoneStatus{}
	hosts := 0
	for range zones {
		c.zoneCursor++
		z := zones[c.zoneCursor%len(zones)]
		n := c.zones[z]
		if hosts += len(n.live); hosts > maxZoneHosts && len(s) > 0 {
			c.zoneCursor--
			break
		}
		s = append(s, ZoneStatus{
			Zone:     z,
			Live:     n.live,
			Isolated: n.isolated,
			Age:      now.Sub(n.at),
		})
	}
	return s
}

// ownZoneStatus returns the state of the own zone.
func (c *control) ownZoneStatus() ZoneStatus {
	z := c.fleet.Self().Zone
	n := ZoneStatus{
		Zone: z,
		Uses: c.edge.balancer.SlotUses(),
	}
	for _, m := range fleet.InZone(c.live, z) {
		if !m.Leaving {
			n.Live = append(n.Live, m.Name)
		}
		if m.Isolated {
			n.Isolated = append(n.Isolated, m.Name)
		}
	}
	return n
}

// plausible returns the uses of slots that may be true. Sums of others may be no numbers,
// with which this host could send no heartbeat.
func plausible(uses map[string]balance.SlotUse) map[string]balance.SlotUse {
	m := map[string]balance.SlotUse{}
	for n, u := range uses {
		if u.Slots >= 0 && u.Slots <= maxPlausibleSlots && math.Abs(u.Used) <= maxPlausibleSlots && math.Abs(u.MissingSlots) <= maxPlausibleSlots {
			m[n] = u
		}
	}
	return m
}

// handleZones handles the states of zones in a heartbeat, from their relay hosts or
// by gossip. It reports whether it names a host that this one does not know.
func (c *control) handleZones(t *Heartbeat, now time.Time) bool {
	unknownHost := false
	for i := range t.Zones {
		z := &t.Zones[i]
		at := now.Add(-max(0, z.Age))
		if z.Zone == c.fleet.Self().Zone || (t.From.Zone != z.Zone && at.Before(c.zones[z.Zone].at.Add(relayedZoneMargin))) {
			continue
		}
		if n := c.fleet.RecordZoneReport(z.Zone, z.Live, z.Isolated, at); n != "" {
			unknownHost = true
		}
		if o := c.zones[z.Zone]; at.After(o.at) {
			uses := plausible(z.Uses)
			if z.Uses == nil {
				uses = o.uses
			}
			c.zones[z.Zone] = zoneState{
				at:       at,
				live:     z.Live,
				isolated: z.Isolated,
				uses:     uses,
			}
		}
	}
	return unknownHost
}
