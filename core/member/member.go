package member

import (
	"net/netip"
	"time"

	"heatherford/core/store"
)

// State is what is believed of a host. Of two states of one incarnation the
// greater one holds.
type State int

// The states of a host.
const (
	Alive State = iota + 1
	Suspect
	Dead
)

// Update is what one daemon tells others of a host. It is immutable.
type Update struct {
	// Host is the host as it describes itself. Its state is HostLeaving once
	// the host is leaving, which no later update of the incarnation takes back.
	Host store.Host
	// Incarnation tells processes of one name apart: a later one is greater.
	// Zero stands for a host that is known by the platform's list only.
	Incarnation uint64
	State       State
}

// supersedes reports whether u says something newer than o of the same host.
func (u Update) supersedes(o Update) bool {
	if u.Incarnation != o.Incarnation {
		return u.Incarnation > o.Incarnation
	}
	if u.State != o.State {
		return u.State > o.State
	}
	return u.Host.State == store.HostLeaving && o.Host.State != store.HostLeaving
}

// merge returns o after u, of the same host. Within an incarnation a host that
// is leaving stays so.
func (u Update) merge(o Update) Update {
	if u.Incarnation == o.Incarnation && o.Host.State == store.HostLeaving {
		u.Host.State = store.HostLeaving
	}
	return u
}

// entry is what a View knows of another host.
type entry struct {
	Update
	// listed is true if the platform's list holds the host now, unlisted if it
	// did and does not any more.
	listed   bool
	unlisted bool
	// listLeaving is true if the platform lists the host as leaving.
	listLeaving bool
	// listAddress is the peer address in the list.
	listAddress netip.AddrPort
	// suspectAt is when the last suspicion of the host began.
	suspectAt time.Time
	// deadAt is when a suspected host is declared dead. It is zero in other
	// states.
	deadAt time.Time
	// forgetAt is when a dead host that is not listed is forgotten. It is zero
	// for all others.
	forgetAt time.Time
	// behind is true if the host has been heard with an earlier incarnation
	// than the one known of it, and has to be told.
	behind bool
	// sends is how often the update can still be passed on.
	sends int
}

// correct passes what is known on again if u, which it supersedes, holds an alive
// host for another.
func (e *entry) correct(u Update, sends int) {
	if e.State == Alive && u.State != Alive && u.Incarnation < e.Incarnation {
		e.sends = sends
	}
}

// host returns the host as traffic should see it.
func (e *entry) host() store.Host {
	h := e.Host
	if e.listLeaving || e.unlisted {
		h.State = store.HostLeaving
	}
	return h
}
