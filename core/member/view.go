package member

import (
	"math/bits"
	"math/rand/v2"
	"sort"
	"time"

	"heatherford/core/store"
)

// Options are what a View is built from.
type Options struct {
	// Self is this host.
	Self store.Host
	// Incarnation of this process, greater than that of any earlier one of the
	// same name, if clocks allow. A View raises it when it is not.
	Incarnation uint64
	// Seed fixes the order of probes.
	Seed uint64
	// Now is the time of the start.
	Now time.Time
}

const (
	// suspectTime is how long a host of a small fleet is suspected before it
	// is declared dead. It grows with the logarithm of the number of hosts,
	// as the way of a refutation does.
	suspectTime = 1200 * time.Millisecond
	// cutOffMisses is the number of probes that fail one after another, and
	// cutOffTime the time without any contact, after which a daemon takes
	// itself for cut off.
	cutOffMisses = 3
	cutOffTime   = 5 * time.Second
	// forgetTime is how long a dead host that is not listed is remembered, so
	// that late updates do not bring it back.
	forgetTime = time.Minute
	// sendsPerBit bounds how often an update is passed on, for each bit of the
	// number of hosts.
	sendsPerBit = 3
)

// View is what one daemon knows of all hosts. It is not safe for concurrent use.
type View struct {
	self        store.Host
	incarnation uint64
	random      *rand.Rand
	// others maps names to hosts; this host is not among them.
	others map[string]*entry
	// queue holds the names that are probed next.
	queue []string
	// misses is the number of probes that failed since the last contact.
	misses int
	// contactAt is when a sign of life last came from outside.
	contactAt time.Time
}

// New returns a view that knows only this host.
func New(o Options) *View {
	return &View{
		self:        o.Self,
		incarnation: o.Incarnation,
		random:      rand.New(rand.NewPCG(o.Seed, o.Incarnation)),
		others:      map[string]*entry{},
		contactAt:   o.Now,
	}
}

// Self returns the update of this host.
func (v *View) Self() Update {
	return Update{
		Host:        v.self,
		Incarnation: v.incarnation,
		State:       Alive,
	}
}

// Leave says that this host is leaving.
func (v *View) Leave() {
	v.self.State = store.HostLeaving
}

// List takes the platform's list of hosts. A host that is only listed counts as
// alive until a probe fails; what a host says of itself goes before the list.
func (v *View) List(now time.Time, hosts []store.Host) {
	v.Contact(now)
	listed := map[string]bool{}
	for _, h := range hosts {
		listed[h.Name] = true
		if h.Name == v.self.Name {
			continue
		}
		v.list(h)
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

func (v *View) list(h store.Host) {
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

// Contact says that a sign of life came from outside at the time now: an answer
// of another host or of the platform.
func (v *View) Contact(now time.Time) {
	v.contactAt = now
	v.misses = 0
}

// Heard says that the host of u itself sent or answered a message. Its own word
// refutes what others say of the same incarnation.
func (v *View) Heard(now time.Time, u Update) {
	if u.Host.Name == v.self.Name {
		return
	}
	v.Contact(now)
	e, ok := v.others[u.Host.Name]
	if ok && u.Incarnation < e.Incarnation {
		// An earlier process of the name, or a clock that went back: the host
		// learns of the higher incarnation and raises its own.
		e.behind = true
		return
	}
	if !ok {
		e = &entry{}
		v.others[u.Host.Name] = e
	}
	changed := !ok || u.supersedes(e.Update) || e.State != Alive
	// All others know the host by the list as well as this one did.
	expected := ok && e.listed && e.Incarnation == 0 && e.State == Alive && u.Host == e.Host
	v.set(now, e, u.merge(e.Update))
	if changed && !expected {
		e.sends = v.sends()
	}
}

// set replaces what is known of a host.
func (v *View) set(now time.Time, e *entry, u Update) {
	e.Update = u
	e.behind = false
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

// Missed says that the host with the name answered no probe, neither directly
// nor through others. Refused means that its address took no connection, which
// shows that this host is not cut off.
func (v *View) Missed(now time.Time, name string, refused bool) {
	if refused {
		v.Contact(now)
	} else {
		v.misses++
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

// Replaced says that the address of the host with the name was answered by a
// host of another name: the process is gone.
func (v *View) Replaced(now time.Time, name string) {
	v.Contact(now)
	e := v.others[name]
	if e == nil || e.State == Dead {
		return
	}
	u := e.Update
	u.State = Dead
	v.set(now, e, u)
	e.sends = v.sends()
}

// Merge takes what another daemon says of hosts.
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
			e.correct(u, v.sends())
			continue
		}
		if !ok {
			e = &entry{}
			v.others[u.Host.Name] = e
		}
		v.set(now, e, u.merge(e.Update))
		e.sends = v.sends()
	}
}

// refute raises the incarnation if others doubt this host or know a later one.
func (v *View) refute(u Update) {
	if u.Incarnation < v.incarnation || (u.Incarnation == v.incarnation && u.State == Alive) {
		return
	}
	v.incarnation = u.Incarnation + 1
}

// Tick declares suspected hosts dead whose time is over, and forgets old ones. A
// daemon that has had no contact since the suspicion doubts itself and declares
// nobody dead.
func (v *View) Tick(now time.Time) {
	for n, e := range v.others {
		if !e.forgetAt.IsZero() && !now.Before(e.forgetAt) {
			delete(v.others, n)
			continue
		}
		if e.State != Suspect || now.Before(e.deadAt) {
			continue
		}
		if !v.contactAt.After(e.suspectAt) {
			// Once there is contact again, the host has time to refute.
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

// CutOff reports whether this host has to take itself for cut off: it has had no
// contact for long, though there are other hosts.
func (v *View) CutOff(now time.Time) bool {
	const fewest = 2
	return len(v.others) >= fewest && v.misses >= cutOffMisses && now.Sub(v.contactAt) > cutOffTime
}

func (v *View) bits() int {
	return bits.Len(uint(len(v.others) + 1))
}

func (v *View) sends() int {
	return sendsPerBit * v.bits()
}

func (v *View) suspectTime() time.Duration {
	const smallFleetBits = 5
	return suspectTime * time.Duration(max(v.bits(), smallFleetBits)) / smallFleetBits
}

// Known is what is known of a host, for operators.
type Known struct {
	Update
	// Listed is true if the platform lists the host.
	Listed bool
}

// All returns all other hosts, ordered by name.
func (v *View) All() []Known {
	s := make([]Known, 0, len(v.others))
	for _, e := range v.others {
		k := Known{
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
// Those that take no new work have the state HostLeaving.
func (v *View) Hosts() []store.Host {
	s := []store.Host{v.self}
	for _, k := range v.All() {
		if k.State != Dead {
			s = append(s, k.Host)
		}
	}
	sort.Slice(s, func(i, j int) bool {
		return s[i].Name < s[j].Name
	})
	return s
}

// Suspects returns the names of suspected hosts.
func (v *View) Suspects() map[string]bool {
	m := map[string]bool{}
	for n, e := range v.others {
		if e.State == Suspect {
			m[n] = true
		}
	}
	return m
}
