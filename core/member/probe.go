package member

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"heatherford/core/store"
)

const (
	// gossipUpdates is the most updates in one message.
	gossipUpdates = 6
	// relays is the number of hosts that probe for one whose probe failed.
	relays = 2
	// readersPerZone is the number of hosts of each zone that read the
	// platform often.
	readersPerZone = 2
	// deadProbeOdds is the share of probes, one in so many, that goes to a dead
	// host that is still listed: that is how a partition is found to be over.
	deadProbeOdds = 4
)

// Next returns the host to probe next and whether there is one. Every host that
// is not dead is probed once in a round, in an order that changes.
func (v *View) Next() (store.Host, bool) {
	if h, ok := v.nextDead(); ok {
		return h, true
	}
	for range len(v.others) + 1 {
		if len(v.queue) == 0 {
			v.fill()
		}
		if len(v.queue) == 0 {
			break
		}
		n := v.queue[0]
		v.queue = v.queue[1:]
		if e := v.others[n]; e != nil && e.State != Dead {
			return e.Host, true
		}
	}
	return v.anyDead()
}

func (v *View) fill() {
	for n, e := range v.others {
		if e.State != Dead {
			v.queue = append(v.queue, n)
		}
	}
	sort.Strings(v.queue)
	v.random.Shuffle(len(v.queue), func(i, j int) {
		v.queue[i], v.queue[j] = v.queue[j], v.queue[i]
	})
}

func (v *View) nextDead() (store.Host, bool) {
	if v.random.IntN(deadProbeOdds) != 0 {
		return store.Host{}, false
	}
	return v.anyDead()
}

// anyDead returns a dead host that is still listed, at the address of the list
// or at its own, as the dice fall.
func (v *View) anyDead() (store.Host, bool) {
	s := []store.Host{}
	for _, e := range v.others {
		if e.State != Dead || !e.listed {
			continue
		}
		h := e.Host
		s = append(s, h)
		if e.listAddress != h.PeerAddress {
			h.PeerAddress = e.listAddress
			s = append(s, h)
		}
	}
	if len(s) == 0 {
		return store.Host{}, false
	}
	sort.Slice(s, func(i, j int) bool {
		if s[i].Name != s[j].Name {
			return s[i].Name < s[j].Name
		}
		return s[i].PeerAddress.Compare(s[j].PeerAddress) < 0
	})
	return s[v.random.IntN(len(s))], true
}

// Pick returns up to n other live hosts in random order, without the one named.
func (v *View) Pick(n int, without string) []store.Host {
	s := []store.Host{}
	for _, k := range v.All() {
		if k.State == Alive && k.Host.Name != without {
			s = append(s, k.Host)
		}
	}
	v.random.Shuffle(len(s), func(i, j int) {
		s[i], s[j] = s[j], s[i]
	})
	return s[:min(n, len(s))]
}

// Relays returns the hosts to probe the named one through.
func (v *View) Relays(name string) []store.Host {
	return v.Pick(relays, name)
}

// Gossip returns the updates to put into a message to the host with the name:
// what is known of that host if it is doubted, then those that were passed on
// least often.
func (v *View) Gossip(to string) []Update {
	s := []Update{v.Self()}
	if e := v.others[to]; e != nil && (e.State != Alive || e.behind) {
		s = append(s, e.Update)
	}
	hot := []*entry{}
	for n, e := range v.others {
		if e.sends > 0 && n != to {
			hot = append(hot, e)
		}
	}
	sort.Slice(hot, func(i, j int) bool {
		if hot[i].sends != hot[j].sends {
			return hot[i].sends > hot[j].sends
		}
		return hot[i].Host.Name < hot[j].Host.Name
	})
	for _, e := range hot[:min(gossipUpdates, len(hot))] {
		e.sends--
		s = append(s, e.Update)
	}
	return s
}

// Reader reports whether this host is one of the few of its zone that read the
// platform often. Hosts whose views differ may both think so, or neither for a
// while; each also reads the platform now and then, whatever this says.
func (v *View) Reader() bool {
	mine := xxhash.Sum64String(v.self.Name)
	before := 0
	for n, e := range v.others {
		if e.State == Alive && e.Host.Zone == v.self.Zone && e.host().State == store.HostLive && xxhash.Sum64String(n) > mine {
			before++
		}
	}
	return before < readersPerZone
}
