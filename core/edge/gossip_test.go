package edge

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/budget"
	"heatherford/core/fleet"
	"heatherford/core/registry"
)

// TestRounds runs the gossip rounds of large zones without goroutines. One heartbeat
// in fifty is lost; still no live host counts as dead, and all hosts soon know of one
// that dies. The largest zone is one of 3,000 hosts in 32 zones.
func TestRounds(t *testing.T) {
	for _, hosts := range []int{13, 20, 50, 94} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			c := qt.New(t)
			z := newGossipZone(hosts)
			const calm = 6 * time.Second
			z.run(calm)
			for _, h := range z.hosts {
				c.Assert(len(h.fleet.Live(z.now)), qt.Equals, hosts)
			}
			c.Check(z.falseDeaths, qt.Equals, 0)
			c.Logf("oldest state %s, %.0f heartbeats a second at each host, at most %d hosts in one", z.oldestState,
				float64(z.received)/calm.Seconds()/float64(hosts), z.maxGossip)
			z.dead = z.hosts[hosts/2].fleet.Self().Name
			const known = 2 * time.Second
			z.run(known)
			for _, h := range z.hosts {
				if h.fleet.Self().Name != z.dead {
					c.Assert(len(h.fleet.Live(z.now)), qt.Equals, hosts-1)
				}
			}
		})
	}
}

// gossipZone is a zone of hosts whose control the test steps.
type gossipZone struct {
	random *rand.Rand
	now    time.Time
	hosts  []*control
	byName map[string]*control
	// dead is a host that has died.
	dead string
	// falseDeaths counts how often a live host counted as dead at another one.
	falseDeaths int
	oldestState time.Duration
	received    int
	maxGossip   int
}

func newGossipZone(hosts int) *gossipZone {
	z := &gossipZone{
		random: rand.New(rand.NewPCG(1, uint64(hosts))),
		now:    time.Unix(1_000_000, 0),
		byName: map[string]*control{},
	}
	members := []fleet.Member{}
	for i := range hosts {
		members = append(members, fleet.Member{
			Name:    fmt.Sprint("h", i),
			Zone:    "z1",
			Region:  "r",
			Started: z.now,
		})
	}
	for _, m := range members {
		e := New(Options{
			Self: m,
			Zones: map[string]string{
				"z1": "r",
			},
			Transport: Transport{
				SendHeartbeat: z.sendHeartbeat,
			},
			RetryBudget: budget.WindowOptions{},
		})
		h := &control{
			edge:       &e.shared,
			fleet:      fleet.New(m),
			learned:    true,
			zones:      map[string]zoneState{},
			hostStates: map[string]hostState{},
		}
		h.registry = registry.New()
		h.fleet.AddListed(members, z.now)
		h.live = h.fleet.Live(z.now)
		z.hosts = append(z.hosts, h)
		z.byName[m.Name] = h
		h.nextZoneHeartbeat = z.now.Add(time.Duration(z.random.IntN(100)) * time.Millisecond)
	}
	return z
}

func (z *gossipZone) sendHeartbeat(to []fleet.Member, t *Heartbeat) {
	z.maxGossip = max(z.maxGossip, len(t.Gossip))
	for _, m := range to {
		const lost = 0.02
		if m.Name == z.dead || z.random.Float64() < lost {
			continue
		}
		z.received++
		z.byName[m.Name].handleHeartbeat(t, z.now.Add(time.Millisecond))
	}
}

// run steps the hosts every 10 ms.
func (z *gossipZone) run(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := z.now.Add(d); z.now.Before(end); z.now = z.now.Add(step) {
		for _, h := range z.hosts {
			if h.fleet.Self().Name == z.dead || z.now.Before(h.nextZoneHeartbeat) {
				continue
			}
			h.live = h.fleet.Live(z.now)
			if z.dead == "" {
				z.falseDeaths += len(z.hosts) - len(h.live)
				z.recordOldest(h)
			}
			h.sendZoneHeartbeat(z.now)
		}
	}
}

// recordOldest records the age of the oldest state that a host holds of another.
func (z *gossipZone) recordOldest(h *control) {
	const start = 2 * time.Second
	for _, o := range h.hostStates {
		if z.now.Sub(time.Unix(1_000_000, 0)) > start {
			z.oldestState = max(z.oldestState, z.now.Sub(o.at))
		}
	}
}
