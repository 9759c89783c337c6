package member

import (
	"net/netip"
	"time"

	"heatherford/core/store"
)

// State is the assumed state of a host. Of two states of the same incarnation,
// the greater one supersedes the other. The values are sent to other daemons.
type State int

// The states of a host.
const (
	Alive State = iota + 1
	Suspect
	Dead
)

// Update is the state of a host as one daemon gossips it to others. It is
// immutable.
type Update struct {
	// Host is the host as it describes itself. Its state is HostLeaving once
	// the host is leaving; no later update of the same incarnation reverts this.
	Host store.Host
	// Incarnation distinguishes successive processes of the same name: a later
	// process has a greater one. Zero means that the host is known only from the
	// platform's list.
	Incarnation uint64
	State       State
}

// supersedes reports whether u is newer than o, an update of the same host.
func (u Update) supersedes(o Update) bool {
	if u.Incarnation != o.Incarnation {
		return u.Incarnation > o.Incarnation
	}
	if u.State != o.State {
		return u.State > o.State
	}
	return u.Host.State == store.HostLeaving && o.Host.State != store.HostLeaving
}

// keepLeaving returns u, which follows the update o of the same host, marked as
// leaving if o is leaving and of the same incarnation.
func (u Update) keepLeaving(o Update) Update {
	if u.Incarnation == o.Incarnation && o.Host.State == store.HostLeaving {
		u.Host.State = store.HostLeaving
	}
	return u
}

// entry is what a View knows of another host.
type entry struct {
	Update
	// listed is true if the platform's newest list contains the host.
	listed bool
	// unlisted is true if an earlier list contained the host and the newest one
	// does not.
	unlisted bool
	// listLeaving is true if the platform lists the host as leaving.
	listLeaving bool
	// listAddress is the peer address in the platform's list.
	listAddress netip.AddrPort
	// suspectAt is when the last suspicion of the host began. It is moved up
	// while this host has had no contact since.
	suspectAt time.Time
	// deadAt is when a suspected host will be declared dead. It is zero in
	// other states.
	deadAt time.Time
	// forgetAt is when the entry of a dead host that is not listed is removed.
	// It is zero for all others.
	forgetAt time.Time
	// outdated is true if the host sent an incarnation below the known one. It
	// is told the known one, so that it raises its own.
	outdated bool
	// sends is the number of messages that the update is still to be put into.
	sends int
}

// resend makes the entry be gossiped again if its host is alive and u, an update
// of an earlier incarnation, says otherwise.
func (e *entry) resend(u Update, sends int) {
	if e.State == Alive && u.State != Alive && u.Incarnation < e.Incarnation {
		e.sends = sends
	}
}

// host returns the host with the state that traffic steering uses: a host that
// the platform lists as leaving or no longer lists is leaving.
func (e *entry) host() store.Host {
	h := e.Host
	if e.listLeaving || e.unlisted {
		h.State = store.HostLeaving
	}
	return h
}
