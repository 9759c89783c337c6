package edge

import (
	"sort"
	"time"

	"heatherford/core/balance"
)

const (
	// gossipAge is the age up to which the states of other hosts are passed on in a
	// large zone: by then others have passed them on twice.
	gossipAge = 450 * time.Millisecond
	// maxGossipHosts is the most hosts whose states a heartbeat passes on, and
	// maxGossipStates the most endpoints of these: at some 100 bytes each, a
	// heartbeat stays under 50 KB.
	maxGossipHosts  = 48
	maxGossipStates = 160
)

// hostState is the state that a host of the own zone sent of itself.
type hostState struct {
	at       time.Time
	started  time.Time
	leaving  bool
	isolated bool
	owned    map[string]balance.State
}

// gossip returns the recent states of other hosts of the zone, the newest first. It
// leaves out the states of their endpoints where there is no room: that hosts are
// live comes first.
func (c *control) gossip(now time.Time) []HostStatus {
	s := []HostStatus{}
	for n, h := range c.hostStates {
		age := now.Sub(h.at)
		if age > gossipAge {
			continue
		}
		s = append(s, HostStatus{
			Name:     n,
			Started:  h.started,
			Leaving:  h.leaving,
			Isolated: h.isolated,
			Age:      age,
			Owned:    h.owned,
		})
	}
	sort.Slice(s, func(i, j int) bool {
		return s[i].Age < s[j].Age
	})
	s = s[:min(maxGossipHosts, len(s))]
	states := 0
	for i := range s {
		if states += len(s[i].Owned); states > maxGossipStates {
			s[i].Owned = nil
		}
	}
	return s
}

// handleGossip handles the states of other hosts that a host of the own zone passes
// on. It reports whether it names a host that this one does not know.
func (c *control) handleGossip(t *Heartbeat, now time.Time) bool {
	unknownHost := false
	for i := range t.Gossip {
		o := &t.Gossip[i]
		if o.Name == c.fleet.Self().Name {
			continue
		}
		at := now.Add(-max(0, o.Age) - transitAllowance)
		if !c.fleet.RecordGossip(o.Name, o.Started, o.Leaving, o.Isolated, at) {
			unknownHost = true
			continue
		}
		c.recordHostState(o.Name, hostState{
			at:       at,
			started:  o.Started,
			leaving:  o.Leaving,
			isolated: o.Isolated,
			owned:    o.Owned,
		})
	}
	return unknownHost
}

// recordHostState stores the state of a host of the own zone, unless a newer one is
// known.
func (c *control) recordHostState(name string, h hostState) {
	if !h.at.After(c.hostStates[name].at) {
		return
	}
	c.hostStates[name] = h
	if c.fleet.IsIsolated(name) {
		// What it met shows its own way to the endpoints.
		return
	}
	c.edge.balancer.RecordStates(h.owned, h.at)
}
