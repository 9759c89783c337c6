package edge

import (
	"sort"
	"time"

	"heatherford/core/balance"
)

const (
	// passAge is the age up to which news of others is passed on in a large zone:
	// by then others have passed it on twice.
	passAge = 450 * time.Millisecond
	// passMost is the most hosts that a tick tells of, and passStates the most
	// endpoints of theirs: at some 100 bytes each, a tick stays under 50 KB.
	passMost   = 48
	passStates = 160
)

// heardHost is what a host of the own zone told of itself.
type heardHost struct {
	at      time.Time
	started time.Time
	leaving bool
	owned   map[string]balance.State
}

// others returns what was heard lately of other hosts of the zone, the newest first.
// That they live is told of all, the states of their endpoints as far as there is room.
func (c *control) others(now time.Time) []HostNews {
	s := []HostNews{}
	for n, h := range c.heard {
		age := now.Sub(h.at)
		if age > passAge {
			continue
		}
		s = append(s, HostNews{
			Name:    n,
			Started: h.started,
			Leaving: h.leaving,
			Age:     age,
			Owned:   h.owned,
		})
	}
	sort.Slice(s, func(i, j int) bool {
		return s[i].Age < s[j].Age
	})
	s = s[:min(passMost, len(s))]
	states := 0
	for i := range s {
		if states += len(s[i].Owned); states > passStates {
			s[i].Owned = nil
		}
	}
	return s
}

// hearOthers takes in what a host of the own zone passes on of others. It reports
// whether it names a host that this one does not know.
func (c *control) hearOthers(t *Tick, now time.Time) bool {
	unknown := false
	for i := range t.Others {
		o := &t.Others[i]
		if o.Name == c.fleet.Self().Name {
			continue
		}
		at := now.Add(-o.Age - transit)
		if !c.fleet.Vouch(o.Name, o.Started, o.Leaving, at) {
			unknown = true
			continue
		}
		c.note(o.Name, heardHost{
			at:      at,
			started: o.Started,
			leaving: o.Leaving,
			owned:   o.Owned,
		})
	}
	return unknown
}

// note keeps what a host of the own zone told of itself, unless newer is known.
func (c *control) note(name string, h heardHost) {
	if !h.at.After(c.heard[name].at) {
		return
	}
	c.heard[name] = h
	c.edge.balancer.Tell(h.owned, h.at)
}
