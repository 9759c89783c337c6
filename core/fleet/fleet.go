package fleet

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherford/core/internal/hash"
)

const (
	// NearInterval is the interval at which hosts tell those of their zone that
	// they live.
	NearInterval = 100 * time.Millisecond
	// PassInterval is the same where news is passed on: each word costs its
	// receiver some wake-ups.
	PassInterval = 200 * time.Millisecond
	// nearHosts is the most hosts of a zone of which each tells all others each
	// time. In larger zones it tells one in nearPart of them in turn, at least
	// nearTargets, and these pass it on.
	nearHosts   = 12
	nearPart    = 8
	nearTargets = 4
	// nearSilence is how long nothing may be heard of a host of the own zone
	// before it counts as dead: seven times the interval.
	nearSilence = 700 * time.Millisecond
	// passedSilence is the same where news is passed on: in a zone of 94 hosts the
	// oldest word was 0.82 s old with one tick in fifty lost.
	passedSilence = 1200 * time.Millisecond
	// farSilence is the same for hosts of other zones, of which relays tell
	// every 500 ms.
	farSilence = 2500 * time.Millisecond
	// runGap is how long nothing has been heard of a host's run before another run
	// is believed that seems to have started earlier: the host's time of day was set
	// back. It is five times the interval, and datagrams are not on their way as long.
	runGap = 500 * time.Millisecond
	// sharerAge is how long a silent host keeps its part of what all may do together:
	// long beside an outage of the network between zones.
	sharerAge = 10 * time.Minute
	// startGrace is how long hosts of the platform's list count as alive before
	// they are heard.
	startGrace = 1500 * time.Millisecond
	// relays is the number of hosts of a zone that other zones' relays tell.
	relays = 2
)

// Fleet is a host's view of the hosts. Only one goroutine may use it.
type Fleet struct {
	self Member
	// order is the place of this host.
	order uint64
	peers map[string]*peer
}

// New returns a view in which only the host itself lives.
func New(self Member) *Fleet {
	return &Fleet{
		self:  self,
		order: self.place(),
		peers: map[string]*peer{},
	}
}

// Self returns the host itself.
func (f *Fleet) Self() Member {
	return f.self
}

// Leave marks the host itself as leaving.
func (f *Fleet) Leave() {
	f.self.Leaving = true
}

// List takes in the platform's list of hosts. Hosts that are new to this one
// count as alive for a while.
func (f *Fleet) List(s []Member, now time.Time) {
	for _, m := range s {
		if f.learn(m) {
			f.peers[m.Name].listed = now.Add(startGrace)
		}
	}
}

// learn takes in a description and reports whether the host was unknown or has
// started anew.
func (f *Fleet) learn(m Member) bool {
	if m.Name == f.self.Name || m.Name == "" {
		return false
	}
	p := f.peers[m.Name]
	if p == nil || p.Started.Before(m.Started) {
		f.peers[m.Name] = &peer{
			Member: m,
			order:  m.place(),
		}
		return true
	}
	if p.Started.Equal(m.Started) {
		p.Member = m
	}
	return false
}

// Hear notes a message that came from the host itself.
func (f *Fleet) Hear(m Member, now time.Time) {
	if p := f.peers[m.Name]; p != nil && m.Started.Before(p.Started) && now.Sub(p.heard) > runGap {
		delete(f.peers, m.Name)
	}
	f.learn(m)
	p := f.peers[m.Name]
	if p == nil || p.Started.After(m.Started) {
		return
	}
	p.heard = now
}

// Vouch notes that another host of the zone has heard of a host, as of the time. It
// reports false if this host does not know it, or an earlier start of it.
func (f *Fleet) Vouch(name string, started time.Time, leaving bool, at time.Time) bool {
	p := f.peers[name]
	switch {
	case name == f.self.Name:
		return true
	case p == nil || p.Started.Before(started):
		return false
	case p.Started.Equal(started) && at.After(p.heard):
		p.heard = at
		p.Leaving = leaving
	}
	return true
}

// Tell notes what the relay of another zone says of its zone: the names of the
// hosts that live there, as of the time. It returns a name that this host does
// not know, or an empty string.
func (f *Fleet) Tell(zone string, live []string, at time.Time) string {
	unknown := ""
	named := map[string]bool{}
	for _, n := range live {
		named[n] = true
		p := f.peers[n]
		if p == nil {
			if n != f.self.Name {
				unknown = n
			}
			continue
		}
		if at.After(p.told) {
			p.told = at
			p.absent = time.Time{}
		}
	}
	for _, p := range f.peers {
		if p.Zone == zone && zone != f.self.Zone && !named[p.Name] && at.After(p.told) && p.absent.IsZero() {
			p.absent = at
		}
	}
	return unknown
}

// quiet returns how long nothing may be heard of a host of the own zone.
func (f *Fleet) quiet() time.Duration {
	if f.Large() {
		return passedSilence
	}
	return nearSilence
}

// alive reports whether a host lives of which nothing may be heard for so long.
func (f *Fleet) alive(p *peer, silence time.Duration, now time.Time) bool {
	if now.Before(p.listed) {
		return true
	}
	t := p.heard
	if p.Zone != f.self.Zone && p.told.After(t) {
		t = p.told
	}
	if !p.absent.IsZero() && !p.heard.After(p.absent) {
		return false
	}
	return now.Sub(t) <= silence
}

// Live returns the hosts that live, this one among them, in the order that all
// hosts know.
func (f *Fleet) Live(now time.Time) []Member {
	s := []*peer{f.asPeer()}
	near := f.quiet()
	for _, p := range f.peers {
		silence := farSilence
		if p.Zone == f.self.Zone {
			silence = near
		}
		if f.alive(p, silence, now) {
			s = append(s, p)
		}
	}
	return inOrder(s)
}

// asPeer returns the host itself as others see it.
func (f *Fleet) asPeer() *peer {
	return &peer{
		Member: f.self,
		order:  f.order,
	}
}

// Sharers returns the number of hosts, this one among them, that have a part of what all
// hosts may do together. A host that is silent keeps its part, since it may only be out of
// reach.
func (f *Fleet) Sharers(now time.Time) int {
	n := 0
	for _, k := range f.SharersByZone(now) {
		n += k
	}
	return n
}

// SharersByZone returns the same number for each zone.
func (f *Fleet) SharersByZone(now time.Time) map[string]int {
	m := map[string]int{
		f.self.Zone: 1,
	}
	for _, p := range f.peers {
		if now.Sub(p.known()) <= sharerAge {
			m[p.Zone]++
		}
	}
	return m
}

// inOrder returns the members of peers in the order that all hosts know.
func inOrder(s []*peer) []Member {
	slices.SortFunc(s, before)
	m := make([]Member, len(s))
	for i, p := range s {
		m[i] = p.Member
	}
	return m
}

// before compares the places of two hosts. Those with more processor time go first:
// reading for the others and telling them costs most.
func before(a, b *peer) int {
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.order, b.order), cmp.Compare(a.Name, b.Name))
}

// Known returns all hosts that this one has heard of.
func (f *Fleet) Known() []Member {
	s := []Member{f.self}
	for _, p := range f.peers {
		s = append(s, p.Member)
	}
	sort.Slice(s, func(i, j int) bool {
		return s[i].Name < s[j].Name
	})
	return s
}

// Zone returns the members of a zone, in their order.
func Zone(s []Member, zone string) []Member {
	z := []Member{}
	for _, m := range s {
		if m.Zone == zone {
			z = append(z, m)
		}
	}
	return z
}

// Staying returns the members that do not leave.
func Staying(s []Member) []Member {
	z := []Member{}
	for _, m := range s {
		if !m.Leaving {
			z = append(z, m)
		}
	}
	return z
}

// Owner returns the name of the member that an endpoint belongs to, or an empty
// string without members. Few endpoints change their owner when a member comes or
// goes.
func Owner(s []Member, endpoint string) string {
	best := ""
	most := uint64(0)
	e := xxhash.Sum64String(endpoint)
	for i := range s {
		if h := hash.Mix(s[i].place(), e); best == "" || h > most {
			best = s[i].Name
			most = h
		}
	}
	return best
}

// Place returns the position of the named host among the members that do not
// leave, or the number of these if it is not among them.
func Place(s []Member, name string) int {
	n := 0
	for _, m := range s {
		if m.Leaving {
			continue
		}
		if m.Name == name {
			return n
		}
		n++
	}
	return n
}

// FarTargets returns the hosts of other zones that a relay tells of its zone: the
// first ones that live, and the first one of all, so that two parts of a fleet that
// were cut, or that have not met yet, find each other.
func (f *Fleet) FarTargets(live []Member) []Member {
	told := map[string]bool{}
	s := []Member{}
	add := func(members []Member) {
		for _, m := range members {
			if !told[m.Name] {
				told[m.Name] = true
				s = append(s, m)
			}
		}
	}
	zones := map[string]bool{}
	for _, p := range f.peers {
		zones[p.Zone] = p.Zone != f.self.Zone
	}
	for z, other := range zones {
		if other {
			m := Zone(live, z)
			add(m[:min(relays, len(m))])
			add(f.all(z)[:1])
		}
	}
	sort.Slice(s, func(i, j int) bool {
		return s[i].Name < s[j].Name
	})
	return s
}

func (f *Fleet) all(zone string) []Member {
	s := []*peer{}
	for _, p := range f.peers {
		if p.Zone == zone {
			s = append(s, p)
		}
	}
	return inOrder(s)
}

// Large reports whether the own zone has so many hosts that news is passed on.
func (f *Fleet) Large() bool {
	n := 1
	for _, p := range f.peers {
		if p.Zone == f.self.Zone {
			n++
		}
	}
	return n > nearHosts
}

// Neighbours returns all hosts of the own zone, dead ones too: each finds its way back
// by what it hears.
func (f *Fleet) Neighbours() []Member {
	return f.all(f.self.Zone)
}

// NearTargets returns the hosts of the own zone that are told in a round: all of them,
// or some in turn if the zone is large.
func (f *Fleet) NearTargets(round int) []Member {
	s := f.Neighbours()
	if !f.Large() {
		return s
	}
	// Each host begins behind its own place, so that all hear as much.
	self := f.asPeer()
	first := sort.Search(len(s), func(i int) bool {
		return before(&peer{
			Member: s[i],
			order:  s[i].place(),
		}, self) > 0
	})
	t := []Member{}
	n := max(nearTargets, len(s)/nearPart)
	for i := range n {
		t = append(t, s[(first+round*n+i)%len(s)])
	}
	return t
}
