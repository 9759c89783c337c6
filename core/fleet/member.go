package fleet

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is a host as other hosts see it.
type Member struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Started is when the host's process started, in its own time of day; it
	// distinguishes incarnations.
	Started time.Time `json:"started"`
	// Peers is where it hears other hosts, over UDP and TCP.
	Peers netip.AddrPort `json:"peers"`
	// Callers is where it takes requests.
	Callers netip.AddrPort `json:"callers"`
	// Cores is the processor time that it has, in cores.
	Cores float64 `json:"cores,omitempty"`
	// Leaving hosts take no new callers.
	Leaving bool `json:"leaving,omitempty"`
}

// place orders members in a way that all hosts agree on and that spreads over
// zones.
func (m *Member) place() uint64 {
	return xxhash.Sum64String(m.Name)
}

// peer is what this host knows of another one.
type peer struct {
	Member
	// order is the member's place.
	order uint64
	// heard is when the host itself was heard last, or was taken to live.
	heard time.Time
	// listed is until when the host is taken to live because it was listed.
	listed time.Time
	// told is when the relay of its zone last said that it lives.
	told time.Time
	// absent is when the relay of its zone first left it out, or zero.
	absent time.Time
}

// known returns when the host was last known to live, or was taken to.
func (p *peer) known() time.Time {
	t := p.heard
	for _, x := range []time.Time{p.listed, p.told} {
		if x.After(t) {
			t = x
		}
	}
	return t
}
