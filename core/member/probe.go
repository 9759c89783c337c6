package member

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"heatherford/core/store"
)

const (
	// gossipUpdates is the largest number of gossiped updates in one message,
	// besides the sender's update and one about the receiver.
	gossipUpdates = 6
	// probeRelays is the number of hosts through which a host is probed after
	// the direct probe failed.
	probeRelays = 2
	// readersPerZone is the number of hosts of each zone that are readers: they
	// read the platform often.
	readersPerZone = 2
	// One in deadProbeOdds probes goes to a dead host that is still listed. This
	// detects the end of a network partition.
	deadProbeOdds = 4
)

// NextProbe returns the host to probe next and whether there is one. Every host
// that is not dead is probed once in a round; the order is shuffled for each
// round.
func (v *View) NextProbe() (store.Host, bool) {
	if h, ok := v.sampleDead(); ok {
		return h, true
	}
	for range len(v.others) + 1 {
		if len(v.queue) == 0 {
			v.fillQueue()
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
	return v.randomDead()
}

// fillQueue starts a new round.
func (v *View) fillQueue() {
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

// sampleDead returns a dead host in one of deadProbeOdds calls.
func (v *View) sampleDead() (store.Host, bool) {
	if v.random.IntN(deadProbeOdds) != 0 {
		return store.Host{}, false
	}
	return v.randomDead()
}

// randomDead returns a random dead host that is still listed. If its address in
// the list differs from the one that it sent itself, either may be returned.
func (v *View) randomDead() (store.Host, bool) {
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

// RandomAlive returns up to n other alive hosts in random order. The host named
// without is left out.
func (v *View) RandomAlive(n int, without string) []store.Host {
	s := []store.Host{}
	for _, k := range v.Statuses() {
		if k.State == Alive && k.Host.Name != without {
			s = append(s, k.Host)
		}
	}
	v.random.Shuffle(len(s), func(i, j int) {
		s[i], s[j] = s[j], s[i]
	})
	return s[:min(n, len(s))]
}

// Relays returns the hosts through which to probe the named host.
func (v *View) Relays(name string) []store.Host {
	return v.RandomAlive(probeRelays, name)
}

// Gossip returns the updates to put into a message to the named host: first the
// update of this host; then the one of the receiver if it is not known as alive
// or has sent an outdated incarnation, so that it can refute; then those with the
// most sends left. It decreases the number of sends left of the latter.
func (v *View) Gossip(to string) []Update {
	s := []Update{v.Self()}
	if e := v.others[to]; e != nil && (e.State != Alive || e.outdated) {
		s = append(s, e.Update)
	}
	pending := []*entry{}
	for n, e := range v.others {
		if e.sends > 0 && n != to {
			pending = append(pending, e)
		}
	}
	sort.Slice(pending, func(i, j int) bool {
		if pending[i].sends != pending[j].sends {
			return pending[i].sends > pending[j].sends
		}
		return pending[i].Host.Name < pending[j].Host.Name
	})
	for _, e := range pending[:min(gossipUpdates, len(pending))] {
		e.sends--
		s = append(s, e.Update)
	}
	return s
}

// Reader reports whether this host is a reader, one of the readersPerZone hosts of
// its zone that read the platform often: those with the greatest hashes of their
// names among the alive hosts that are not leaving. While views differ, a zone may
// have more or fewer readers; therefore all other hosts also read the platform,
// but less often.
func (v *View) Reader() bool {
	own := xxhash.Sum64String(v.self.Name)
	ahead := 0
	for n, e := range v.others {
		if e.State == Alive && e.Host.Zone == v.self.Zone && e.host().State == store.HostLive && xxhash.Sum64String(n) > own {
			ahead++
		}
	}
	return ahead < readersPerZone
}
