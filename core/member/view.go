package member

import (
	"math/bits"
	"math/rand/v2"
	"sort"
	"time"

	"heatherford/core/store"
)

// Options configure a View.
type Options struct {
	// Self is this host.
	Self store.Host
	// Incarnation is the incarnation of this process. It should be greater than
	// that of any earlier process of the same name; if it is not, because the
	// clock went back, the View raises it.
	Incarnation uint64
	// Seed and Incarnation determine the random order of probes.
	Seed uint64
	// Now is the time of the start.
	Now time.Time
}

const (
	// suspectTime is how long a host of a small fleet is suspected before it
	// is declared dead. In larger fleets the time grows with the logarithm of
	// the number of hosts, as does the time that a refutation takes to spread.
	suspectTime = 1200 * time.Millisecond
	// cutOffFailures is the number of consecutive failed probes, and cutOffTime
	// the time without any contact, after which a daemon assumes that it is cut
	// off itself. Both conditions have to hold.
	cutOffFailures = 3
	cutOffTime     = 5 * time.Second
	// forgetTime is how long the entry of a dead host that is not listed is
	// kept, so that late updates do not add the host again.
	forgetTime = time.Minute
	// sendsPerBit is the largest number of messages into which a daemon puts an
	// update, for each bit of the number of hosts.
	sendsPerBit = 3
)

// View is the state of all hosts as one daemon knows it. It is not safe for
// concurrent use.
type View struct {
	self        store.Host
	incarnation uint64
	random      *rand.Rand
	// others maps the names of all other hosts to their entries.
	others map[string]*entry
	// queue holds the names of the hosts still to be probed in this round.
	queue []string
	// failedProbes is the number of probes that failed since the last contact.
	failedProbes int
	// contactAt is when another host or the platform last answered or sent a
	// message.
	contactAt time.Time
}

// New returns a View that contains only this host.
func New(o Options) *View {
	return &View{
		self:        o.Self,
		incarnation: o.Incarnation,
		random:      rand.New(rand.NewPCG(o.Seed, o.Incarnation)),
		others:      map[string]*entry{},
		contactAt:   o.Now,
	}
}

// Self returns the update with which this host describes itself.
func (v *View) Self() Update {
	return Update{
		Host:        v.self,
		Incarnation: v.incarnation,
		State:       Alive,
	}
}

// Leave marks this host as leaving.
func (v *View) Leave() {
	v.self.State = store.HostLeaving
}

// SetListed merges the platform's list of hosts, which was received at the time
// now. A host that is known only from the list counts as alive until a probe
// fails. What a host says of itself takes precedence over the list.
func (v *View) SetListed(now time.Time, hosts []store.Host) {
	v.RecordContact(now)
	listed := map[string]bool{}
	for _, h := range hosts {
		listed[h.Name] = true
		if h.Name == v.self.Name {
			continue
		}
		v.addListed(h)
	}
	for n, e := range v.others {
		if e.listed && !listed[n] {
			e.listed = false
			e.unlisted = true
			if e.State == Dead {
				e.forgetAt = now.Add(forgetTime)
			}
		}
	}
}

// addListed adds or updates the entry of a host in the platform's list.
func (v *View) addListed(h store.Host) {
	e, ok := v.others[h.Name]
	if !ok {
		e = &entry{
			Update: Update{
				Host:  h,
				State: Alive,
			},
		}
		e.Host.State = store.HostLive
		v.others[h.Name] = e
	}
	if e.Incarnation == 0 && e.listAddress != h.PeerAddress {
		e.Host = h
		e.Host.State = store.HostLive
		e.State = Alive
	}
	e.listAddress = h.PeerAddress
	e.listed = true
	e.unlisted = false
	e.listLeaving = h.State == store.HostLeaving
	e.forgetAt = time.Time{}
}

// RecordContact records that another host or the platform answered at the time
// now, which shows that this host is not cut off.
func (v *View) RecordContact(now time.Time) {
	v.contactAt = now
	v.failedProbes = 0
}

// RecordMessage records that the host of u sent or answered a message itself at
// the time now. This overrides what others say of the same incarnation.
func (v *View) RecordMessage(now time.Time, u Update) {
	if u.Host.Name == v.self.Name {
		return
	}
	v.RecordContact(now)
	e, ok := v.others[u.Host.Name]
	if ok && u.Incarnation < e.Incarnation {
		// This is an earlier process of the name, or its clock went back. The
		// host is told the higher incarnation and then raises its own.
		e.outdated = true
		return
	}
	if !ok {
		e = &entry{}
		v.others[u.Host.Name] = e
	}
	changed := !ok || u.supersedes(e.Update) || e.State != Alive
	// Hosts that are known from the list need no gossip to become known: the
	// other daemons have the list too.
	expected := ok && e.listed && e.Incarnation == 0 && e.State == Alive && u.Host == e.Host
	v.set(now, e, u.keepLeaving(e.Update))
	if changed && !expected {
		e.sends = v.sends()
	}
}

// set replaces the update of an entry and starts or ends the timers of its state.
func (v *View) set(now time.Time, e *entry, u Update) {
	e.Update = u
	e.outdated = false
	e.deadAt = time.Time{}
	e.forgetAt = time.Time{}
	if u.State == Suspect {
		e.suspectAt = now
		e.deadAt = now.Add(v.suspectTime())
	}
	if u.State == Dead && !e.listed {
		e.forgetAt = now.Add(forgetTime)
	}
}

// RecordFailedProbe records that the named host answered no probe, neither
// directly nor through relays. Refused is true if its address refused the
// connection, which shows that this host is not cut off.
func (v *View) RecordFailedProbe(now time.Time, name string, refused bool) {
	if refused {
		v.RecordContact(now)
	} else {
		v.failedProbes++
	}
	e := v.others[name]
	if e == nil || e.State != Alive {
		return
	}
	u := e.Update
	u.State = Suspect
	v.set(now, e, u)
	e.sends = v.sends()
}

// RecordReplaced records that a host of another name answered at the address of
// the named host, which is therefore dead.
func (v *View) RecordReplaced(now time.Time, name string) {
	v.RecordContact(now)
	e := v.others[name]
	if e == nil || e.State == Dead {
		return
	}
	u := e.Update
	u.State = Dead
	v.set(now, e, u)
	e.sends = v.sends()
}

// Merge merges another daemon's gossip about hosts, received at the time now.
func (v *View) Merge(now time.Time, updates []Update) {
	for _, u := range updates {
		if u.Host.Name == v.self.Name {
			v.refute(u)
			continue
		}
		e, ok := v.others[u.Host.Name]
		if !ok && u.State == Dead {
			continue
		}
		if ok && !u.supersedes(e.Update) {
			e.resend(u, v.sends())
			continue
		}
		if !ok {
			e = &entry{}
			v.others[u.Host.Name] = e
		}
		v.set(now, e, u.keepLeaving(e.Update))
		e.sends = v.sends()
	}
}

// refute raises the incarnation of this host above that of u if u says that this
// host is suspected or dead, or has a greater incarnation.
func (v *View) refute(u Update) {
	if u.Incarnation < v.incarnation || (u.Incarnation == v.incarnation && u.State == Alive) {
		return
	}
	v.incarnation = u.Incarnation + 1
}

// Expire declares hosts dead whose time of suspicion is over, and removes the
// entries of hosts that were dead for long. A daemon that has had no contact since
// the suspicion began may be cut off itself and declares no host dead.
func (v *View) Expire(now time.Time) {
	for n, e := range v.others {
		if !e.forgetAt.IsZero() && !now.Before(e.forgetAt) {
			delete(v.others, n)
			continue
		}
		if e.State != Suspect || now.Before(e.deadAt) {
			continue
		}
		if !v.contactAt.After(e.suspectAt) {
			// After contact has returned, the host gets the whole time again to
			// refute the suspicion.
			e.suspectAt = now
			e.deadAt = now.Add(v.suspectTime())
			continue
		}
		u := e.Update
		u.State = Dead
		v.set(now, e, u)
		e.sends = v.sends()
	}
}

// CutOff reports whether this host has to assume that it is cut off: it has had no
// contact for cutOffTime and its last cutOffFailures probes failed, though it
// knows at least two other hosts.
func (v *View) CutOff(now time.Time) bool {
	const minOthers = 2
	return len(v.others) >= minOthers && v.failedProbes >= cutOffFailures && now.Sub(v.contactAt) > cutOffTime
}

// bits returns the number of bits of the number of hosts, which grows with its
// logarithm.
func (v *View) bits() int {
	return bits.Len(uint(len(v.others) + 1))
}

// sends returns the largest number of messages to put a new update into.
func (v *View) sends() int {
	return sendsPerBit * v.bits()
}

// suspectTime returns how long a host is suspected before it is declared dead.
func (v *View) suspectTime() time.Duration {
	const smallFleetBits = 5
	return suspectTime * time.Duration(max(v.bits(), smallFleetBits)) / smallFleetBits
}

// HostStatus is the state of another host, for operators.
type HostStatus struct {
	Update
	// Listed is true if the platform's newest list contains the host.
	Listed bool
}

// Statuses returns the states of all other hosts, also dead ones, ordered by name.
func (v *View) Statuses() []HostStatus {
	s := make([]HostStatus, 0, len(v.others))
	for _, e := range v.others {
		k := HostStatus{
			Update: e.Update,
			Listed: e.listed,
		}
		k.Host = e.host()
		s = append(s, k)
	}
	sort.Slice(s, func(i, j int) bool {
		return s[i].Host.Name < s[j].Host.Name
	})
	return s
}

// Hosts returns this host and all others that are not dead, ordered by name.
// Those that are to get no new requests have the state HostLeaving.
func (v *View) Hosts() []store.Host {
	s := []store.Host{v.self}
	for _, k := range v.Statuses() {
		if k.State != Dead {
			s = append(s, k.Host)
		}
	}
	sort.Slice(s, func(i, j int) bool {
		return s[i].Name < s[j].Name
	})
	return s
}

// Suspects returns the set of the names of suspected hosts.
func (v *View) Suspects() map[string]bool {
	m := map[string]bool{}
	for n, e := range v.others {
		if e.State == Suspect {
			m[n] = true
		}
	}
	return m
}
