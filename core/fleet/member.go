package fleet

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member describes a host to other hosts.
type Member struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Started is when the host's process started, by the host's wall clock. It
	// distinguishes the incarnations of a host.
	Started time.Time `json:"started"`
	// PeerAddr is the address for messages from other hosts, over UDP and TCP.
	PeerAddr netip.AddrPort `json:"peers"`
	// CallerAddr is the address at which the host accepts requests.
	CallerAddr netip.AddrPort `json:"callers"`
	// Cores is the CPU capacity of the host, in cores.
	Cores float64 `json:"cores,omitempty"`
	// Leaving is true if the host accepts no new callers.
	Leaving bool `json:"leaving,omitempty"`
	// Isolated is true if the host reaches no endpoint, by its own word. It still serves
	// callers, through other hosts.
	Isolated bool `json:"isolated,omitempty"`
}

// hashName returns a hash by which all hosts order members alike. The order mixes the
// hosts of all zones.
func (m *Member) hashName() uint64 {
	return xxhash.Sum64String(m.Name)
}

// peer is the state that this host keeps of another one.
type peer struct {
	Member
	// nameHash is the result of Member.hashName.
	nameHash uint64
	// lastHeartbeat is the time of the last heartbeat, received directly or by gossip.
	lastHeartbeat time.Time
	// listedUntil is the end of the grace period after the platform listed the host.
	// During it, the host counts as alive without a heartbeat.
	listedUntil time.Time
	// lastReported is when the relay of the host's zone last reported it alive.
	lastReported time.Time
	// omittedAt is when the relay of the host's zone first left it out of its reports, or
	// zero if the latest report names it.
	omittedAt time.Time
	// isolationAt is when the host said whether it is isolated, directly or through
	// others.
	isolationAt time.Time
}

// lastAlive returns the latest time at which the host was known or assumed to be alive.
func (p *peer) lastAlive() time.Time {
	t := p.lastHeartbeat
	for _, x := range []time.Time{p.listedUntil, p.lastReported} {
		if x.After(t) {
			t = x
		}
	}
	return t
}
