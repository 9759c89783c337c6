package edge

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/balance"
	"heatherford/core/fleet"
	"heatherford/core/registry"
)

// leaveBound is how long all hosts may take to learn that an endpoint leaves: half of
// the 3 s after which nothing may be sent to it, which leaves time for requests that
// are on their way.
const leaveBound = 1500 * time.Millisecond

// TestRemovalWithoutFetches guards against requests to endpoints that have left
// because no host could fetch the change in time: heartbeats hold it.
func TestRemovalWithoutFetches(t *testing.T) {
	k := newCluster(t)
	s := append(k.startMany(24, "a", "z1"), k.startMany(14, "b", "z2")...)
	k.waitReady(s...)
	setFault(k, k.fetchFails, "", true)
	before := map[*Edge]int{}
	for _, e := range s {
		before[e] = usableSlots(e)
	}
	k.removeEndpoint("e1")
	k.removeEndpoint("e3")
	d := k.eventually(leaveBound, "the endpoints gone everywhere", func() bool {
		for _, e := range s {
			if usableSlots(e) != before[e]-3 {
				return false
			}
		}
		return true
	})
	k.c.Logf("removed everywhere after %s", d)
}

// TestManyRemovalsWithoutFetches guards against the same where a quarter of a large
// fleet's endpoints leaves at the same moment.
func TestManyRemovalsWithoutFetches(t *testing.T) {
	k := newCluster(t)
	const many = 80
	k.putMany(many, "z1", false)
	s := k.startMany(14, "a", "z1")
	k.waitReady(s...)
	setFault(k, k.fetchFails, "", true)
	before := usableSlots(s[0])
	k.putMany(many, "z1", true)
	d := k.eventually(leaveBound, "the endpoints gone everywhere", func() bool {
		for _, e := range s {
			if usableSlots(e) != before-3*many {
				return false
			}
		}
		return true
	})
	k.c.Logf("removed everywhere after %s", d)
}

// TestTickOfAHostlessZone guards against heartbeats that are too long for a datagram
// and get lost, so that live hosts count as dead. The endpoints of a zone without
// hosts have every host as their owner, so no heartbeat holds their states.
func TestTickOfAHostlessZone(t *testing.T) {
	k := newCluster(t)
	for i := range 400 {
		k.addEndpoint(fmt.Sprint("i-0123456789ab", i), "z2")
	}
	s := k.startMany(24, "a", "z1")
	k.waitReady(s...)
	<-time.After(time.Second)
	const datagram = 60 << 10
	k.c.Logf("the longest heartbeat has %d bytes", k.longestHeartbeat.Load())
	k.c.Check(k.longestHeartbeat.Load() < datagram, qt.IsTrue, qt.Commentf("a heartbeat of %d bytes", k.longestHeartbeat.Load()))
}

// TestTickOfManyEndpoints guards against the same where few hosts own many endpoints:
// each heartbeat holds the states of some, all of them in turn.
func TestTickOfManyEndpoints(t *testing.T) {
	k := newCluster(t)
	for i := range 1000 {
		k.addEndpoint(fmt.Sprint("i-0123456789ab", i), "z1")
	}
	a, b := k.start("a", "z1"), k.start("b", "z1")
	k.waitReady(a, b)
	for i := range 200 {
		k.addEndpoint(fmt.Sprint("i-0123456789cd", i), "z1")
		k.removeEndpoint(fmt.Sprint("i-0123456789ab", i))
	}
	<-time.After(time.Second)
	const datagram = 60 << 10
	k.c.Logf("the longest heartbeat has %d bytes", k.longestHeartbeat.Load())
	k.c.Check(k.longestHeartbeat.Load() < datagram, qt.IsTrue, qt.Commentf("a heartbeat of %d bytes", k.longestHeartbeat.Load()))
	m := a.balancer.OwnedStates(time.Now())
	sent := map[string]bool{}
	for round := range len(m)/maxOwnedStates + 1 {
		for id := range ofRound(m, maxOwnedStates, round) {
			sent[id] = true
		}
	}
	k.c.Check(sent, qt.HasLen, len(m))
}

// TestZoneHeardByOthers guards against a live zone that counts as dead at a host
// which loses the heartbeats of its own zone's relay host: gossip holds the zone's
// state too.
func TestZoneHeardByOthers(t *testing.T) {
	k := newCluster(t)
	s := append(k.startMany(16, "a", "z1"), k.startMany(3, "b", "z2")...)
	k.waitReady(s...)
	relay, last := "", (*Edge)(nil)
	for _, m := range s[0].View().Live {
		if m.Zone == "z1" && relay == "" {
			relay = m.Name
		}
		if m.Zone == "z1" {
			last = k.edges[m.Name]
		}
	}
	setFault(k, k.heartbeatsLost, [2]string{relay, last.options.Self.Name}, true)
	for range 50 {
		<-time.After(100 * time.Millisecond)
		far := 0
		for _, m := range last.View().Live {
			if m.Zone == "z2" {
				far++
			}
		}
		k.c.Assert(far, qt.Equals, 3)
	}
}

// TestLongestTick guards against heartbeats that are too long for a datagram in the
// largest planned fleet, 32 zones of 94 hosts, while much changes and a heartbeat
// holds all that it may.
func TestLongestTick(t *testing.T) {
	const (
		zones    = 32
		hosts    = 94
		datagram = 60 << 10
	)
	c := qt.New(t)
	now := time.Now()
	self := fleet.Member{
		Name:       "front-availability-zone-00-000",
		Zone:       "availability-zone-00",
		Region:     "region-0",
		Started:    now,
		PeerAddr:   netip.MustParseAddrPort("10.200.100.100:65535"),
		CallerAddr: netip.MustParseAddrPort("10.200.100.100:65535"),
		Cores:      0.112,
	}
	longest := 0
	e := New(Options{
		Self: self,
		Transport: Transport{
			SendHeartbeat: func(_ []fleet.Member, t *Heartbeat) {
				b, err := json.Marshal(t)
				c.Assert(err, qt.IsNil)
				longest = max(longest, len(b))
			},
		},
	})
	x := &control{
		edge:       &e.shared,
		registry:   registry.New(),
		fleet:      fleet.New(self),
		zones:      map[string]zoneState{},
		hostStates: map[string]hostState{},
		live:       []fleet.Member{self},
	}
	state := balance.State{
		Load:         100,
		Backlog:      1234567 * time.Microsecond,
		Slowdown:     12.34,
		Strict:       true,
		FailureRate:  0.25,
		MissRate:     0.25,
		SuspendedFor: 1234 * time.Millisecond,
	}
	stated := map[string]balance.LimitReport{}
	for i := range 2 * maxLimits {
		stated[fmt.Sprintf("i-0123456789%06d", i)] = balance.LimitReport{
			StatedLimit: balance.StatedLimit{
				Stated: true,
				Rate:   12.345678,
			},
			StartedAt: now,
			Age:       12345678 * time.Microsecond,
		}
	}
	e.balancer.RecordStatedLimits(stated, now)
	for i := range hosts {
		m := self
		m.Name = fmt.Sprintf("front-availability-zone-00-%03d", i+1)
		x.fleet.RecordHeartbeat(m, now)
		owned := map[string]balance.State{}
		for k := range 8 {
			owned[fmt.Sprintf("i-%05d%05d", i, k)] = state
		}
		x.hostStates[m.Name] = hostState{
			at:      now,
			started: now,
			owned:   owned,
		}
	}
	for i := range zones {
		z := zoneState{
			at: now,
		}
		for k := range hosts {
			z.live = append(z.live, fmt.Sprintf("front-availability-zone-%02d-%03d", i, k))
		}
		x.zones[fmt.Sprintf("availability-zone-%02d", i)] = z
	}
	own := []registry.Endpoint{}
	records := []registry.Record{}
	for i := range 400 {
		p := registry.Endpoint{
			ID:        fmt.Sprintf("i-%010d", i),
			Upstream:  fmt.Sprintf("upstream-%d", i%20),
			Address:   self.PeerAddr,
			Zone:      self.Zone,
			Slots:     9,
			StartedAt: now,
			Sequence:  1000000,
		}
		own = append(own, p)
		records = append(records, registry.Record{
			Version:  versionAt(i + 1),
			Endpoint: &p,
		})
	}
	limits := map[string]balance.Limits{}
	for i := range 20 {
		limits[fmt.Sprintf("upstream-%d", i)] = balance.Limits{}
	}
	e.balancer.SetEndpoints(own, limits, func(*registry.Endpoint) balance.Placement {
		return balance.Placement{
			Owner: self.Name,
		}
	}, now)
	for i := 0; i < len(records); i += 10 {
		x.apply(registry.Update{
			Part:    registry.Endpoints,
			Version: versionAt(i + 10),
			Records: records[i : i+10],
		}, now, now)
	}
	for range 10 {
		x.sendZoneHeartbeat(now)
		x.sendFullZoneHeartbeat(now)
		x.sendRemoteHeartbeat(now)
	}
	c.Logf("the longest heartbeat has %d bytes", longest)
	c.Check(longest < datagram, qt.IsTrue, qt.Commentf("%d bytes", longest))
}
