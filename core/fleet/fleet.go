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
	// HeartbeatInterval is the interval of heartbeats within a zone without gossip.
	HeartbeatInterval = 100 * time.Millisecond
	// GossipInterval is the interval of heartbeats in a zone with gossip. It is longer
	// because each message wakes its receiver several times.
	GossipInterval = 200 * time.Millisecond
	// fullMeshHosts is the largest number of hosts in a zone, this one included, with
	// which each host sends every heartbeat to all others. In larger zones it sends each
	// heartbeat to one in gossipDivisor of them in turn, at least minGossipTargets, and
	// the receivers gossip it on.
	fullMeshHosts    = 12
	gossipDivisor    = 8
	minGossipTargets = 4
	// directTimeout is how long a host of the own zone may be silent before it counts
	// as dead: seven intervals.
	directTimeout = 700 * time.Millisecond
	// gossipTimeout is the same in zones with gossip. In a zone of 94 hosts with one
	// tick in fifty lost, the oldest heartbeat was 0.82 s old.
	gossipTimeout = 1200 * time.Millisecond
	// remoteTimeout is the same for hosts of other zones, which relays report every
	// 500 ms.
	remoteTimeout = 2500 * time.Millisecond
	// incarnationGap is how long an incarnation of a host must be silent before another
	// one with an earlier start is accepted, which appears after the host's wall clock
	// was set back. It is five intervals, longer than any datagram is in transit, so
	// that late messages of an earlier incarnation are not accepted.
	incarnationGap = 500 * time.Millisecond
	// budgetHostAge is how long a silent host keeps its share of fleet-wide budgets. It
	// exceeds usual network outages between zones.
	budgetHostAge = 10 * time.Minute
	// listedGrace is how long hosts listed by the platform count as alive before their
	// first heartbeat.
	listedGrace = 1500 * time.Millisecond
	// relaysPerZone is the number of live hosts of each other zone to which a relay
	// reports.
	relaysPerZone = 2
)

// Fleet is a host's view of the hosts. It is not safe for concurrent use.
type Fleet struct {
	self Member
	// nameHash is the name's hash, which decides this host's place in the order.
	nameHash uint64
	peers    map[string]*peer
}

// New returns a view in which only the host itself is alive.
func New(self Member) *Fleet {
	return &Fleet{
		self:     self,
		nameHash: self.hashName(),
		peers:    map[string]*peer{},
	}
}

// Self returns the description of the host itself.
func (f *Fleet) Self() Member {
	return f.self
}

// Leave marks the host itself as leaving.
func (f *Fleet) Leave() {
	f.self.Leaving = true
}

// AddListed merges the platform's list of hosts. A host that is new to this one counts
// as alive for listedGrace.
func (f *Fleet) AddListed(s []Member, now time.Time) {
	for _, m := range s {
		if f.merge(m) {
			f.peers[m.Name].listedUntil = now.Add(listedGrace)
		}
	}
}

// merge updates the description of a host. It reports whether the host was unknown or
// has restarted.
func (f *Fleet) merge(m Member) bool {
	if m.Name == f.self.Name || m.Name == "" {
		return false
	}
	p := f.peers[m.Name]
	if p == nil || p.Started.Before(m.Started) {
		m.Isolated = false
		f.peers[m.Name] = &peer{
			Member:   m,
			nameHash: m.hashName(),
		}
		return true
	}
	if p.Started.Equal(m.Started) {
		// The description may be older than what the host last said of its way to the
		// endpoints.
		m.Isolated = p.Isolated
		p.Member = m
	}
	return false
}

// RecordHeartbeat records a heartbeat that came from the host itself.
func (f *Fleet) RecordHeartbeat(m Member, now time.Time) {
	if p := f.peers[m.Name]; p != nil && m.Started.Before(p.Started) && now.Sub(p.lastHeartbeat) > incarnationGap {
		delete(f.peers, m.Name)
	}
	f.merge(m)
	p := f.peers[m.Name]
	if p == nil || p.Started.After(m.Started) {
		return
	}
	p.lastHeartbeat = now
	p.recordIsolation(m.Isolated, now)
}

// RecordGossip records a heartbeat that another host of the zone received at the given
// time and gossips on. It reports false if this host does not know the host that sent
// the heartbeat, or knows only an earlier incarnation of it.
func (f *Fleet) RecordGossip(name string, started time.Time, leaving, isolated bool, at time.Time) bool {
	p := f.peers[name]
	switch {
	case name == f.self.Name:
		return true
	case p == nil || p.Started.Before(started):
		return false
	case p.Started.Equal(started) && at.After(p.lastHeartbeat):
		p.lastHeartbeat = at
		p.Leaving = leaving
		p.recordIsolation(isolated, at)
	}
	return true
}

// RecordZoneReport records a report by the relay of another zone: the names of the
// zone's hosts that were alive at the given time, and of those that were isolated. It
// returns a name that this host does not know, or an empty string.
func (f *Fleet) RecordZoneReport(zone string, live, isolated []string, at time.Time) string {
	unknown := ""
	reported := map[string]bool{}
	for _, n := range live {
		reported[n] = true
		p := f.peers[n]
		if p == nil {
			if n != f.self.Name {
				unknown = n
			}
			continue
		}
		if at.After(p.lastReported) {
			p.lastReported = at
			p.omittedAt = time.Time{}
			if p.Zone == zone {
				p.recordIsolation(slices.Contains(isolated, n), at)
			}
		}
	}
	for _, p := range f.peers {
		if p.Zone == zone && zone != f.self.Zone && !reported[p.Name] && at.After(p.lastReported) && p.omittedAt.IsZero() {
			p.omittedAt = at
		}
	}
	return unknown
}

// zoneTimeout returns how long a host of the own zone may be silent before it counts as
// dead.
func (f *Fleet) zoneTimeout() time.Duration {
	if f.UsesGossip() {
		return gossipTimeout
	}
	return directTimeout
}

// alive reports whether a host counts as alive if it may be silent for the timeout. A
// host that its zone's relay left out is dead unless it sent a heartbeat since.
func (f *Fleet) alive(p *peer, timeout time.Duration, now time.Time) bool {
	if now.Before(p.listedUntil) {
		return true
	}
	t := p.lastHeartbeat
	if p.Zone != f.self.Zone && p.lastReported.After(t) {
		t = p.lastReported
	}
	if !p.omittedAt.IsZero() && !p.lastHeartbeat.After(p.omittedAt) {
		return false
	}
	return now.Sub(t) <= timeout
}

// Live returns the live hosts, this one included, in the order that all hosts compute
// alike.
func (f *Fleet) Live(now time.Time) []Member {
	s := []*peer{f.selfPeer()}
	own := f.zoneTimeout()
	for _, p := range f.peers {
		timeout := remoteTimeout
		if p.Zone == f.self.Zone {
			timeout = own
		}
		if f.alive(p, timeout, now) {
			s = append(s, p)
		}
	}
	return sortedMembers(s)
}

// selfPeer returns the host itself as a peer, for sorting.
func (f *Fleet) selfPeer() *peer {
	return &peer{
		Member:   f.self,
		nameHash: f.nameHash,
	}
}

// BudgetHosts returns the number of hosts, this one included, that have a share of
// fleet-wide budgets. A silent host keeps its share for budgetHostAge, since it may
// still be running behind a network outage.
func (f *Fleet) BudgetHosts(now time.Time) int {
	n := 0
	for _, k := range f.BudgetHostsByZone(now) {
		n += k
	}
	return n
}

// BudgetHostsByZone returns the number of budget hosts in each zone.
func (f *Fleet) BudgetHostsByZone(now time.Time) map[string]int {
	m := map[string]int{
		f.self.Zone: 1,
	}
	for _, p := range f.peers {
		if now.Sub(p.lastAlive()) <= budgetHostAge {
			m[p.Zone]++
		}
	}
	return m
}

// sortedMembers returns the members of peers in the order that all hosts compute alike.
// It sorts s in place.
func sortedMembers(s []*peer) []Member {
	slices.SortFunc(s, comparePeers)
	m := make([]Member, len(s))
	for i, p := range s {
		m[i] = p.Member
	}
	return m
}

// comparePeers orders peers. Hosts with more CPU capacity come first, because the first
// hosts do the most expensive tasks: they read the platform's records and send them to
// the others.
func comparePeers(a, b *peer) int {
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.nameHash, b.nameHash), cmp.Compare(a.Name, b.Name))
}

// Known returns all hosts that this one knows of, itself included, ordered by name.
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

// InZone returns the members in a zone and keeps their order.
func InZone(s []Member, zone string) []Member {
	z := []Member{}
	for _, m := range s {
		if m.Zone == zone {
			z = append(z, m)
		}
	}
	return z
}

// NotLeaving returns the members that are not leaving.
func NotLeaving(s []Member) []Member {
	z := []Member{}
	for _, m := range s {
		if !m.Leaving {
			z = append(z, m)
		}
	}
	return z
}

// Owner returns the name of the member that owns an endpoint, by rendezvous hashing, or an
// empty string without members. Only a small part of the endpoints change their owner when
// a member joins or leaves.
func Owner(s []Member, endpoint string) string {
	best := ""
	highest := uint64(0)
	e := xxhash.Sum64String(endpoint)
	for i := range s {
		if h := hash.Mix(s[i].hashName(), e); best == "" || h > highest {
			best = s[i].Name
			highest = h
		}
	}
	return best
}

// Position returns the position of the named host among the members that are not
// leaving, or the number of these members if it is not one of them.
func Position(s []Member, name string) int {
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

// RemoteTargets returns the hosts of other zones to which a relay reports its zone,
// ordered by name. For each zone these are the first live hosts and the first known
// host, live or not. The latter lets two parts of a fleet connect after a network partition, or before
// they have met.
func (f *Fleet) RemoteTargets(live []Member) []Member {
	added := map[string]bool{}
	s := []Member{}
	add := func(members []Member) {
		for _, m := range members {
			if !added[m.Name] {
				added[m.Name] = true
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
			m := InZone(live, z)
			add(m[:min(relaysPerZone, len(m))])
			add(f.knownIn(z)[:1])
		}
	}
	sort.Slice(s, func(i, j int) bool {
		return s[i].Name < s[j].Name
	})
	return s
}

// knownIn returns the known hosts of a zone, without this one, in the order that all hosts
// compute alike.
func (f *Fleet) knownIn(zone string) []Member {
	s := []*peer{}
	for _, p := range f.peers {
		if p.Zone == zone {
			s = append(s, p)
		}
	}
	return sortedMembers(s)
}

// UsesGossip reports whether the own zone has so many hosts that heartbeats are gossiped.
func (f *Fleet) UsesGossip() bool {
	n := 1
	for _, p := range f.peers {
		if p.Zone == f.self.Zone {
			n++
		}
	}
	return n > fullMeshHosts
}

// ZonePeers returns all other hosts of the own zone, dead ones included: a host that was
// cut off rejoins through the messages that it receives.
func (f *Fleet) ZonePeers() []Member {
	return f.knownIn(f.self.Zone)
}

// ZoneTargets returns the hosts of the own zone that receive a heartbeat in a round: all
// of them, or a part in turn if the zone is large.
func (f *Fleet) ZoneTargets(round int) []Member {
	s := f.ZonePeers()
	if !f.UsesGossip() {
		return s
	}
	// Each host starts after its own position, so that all receive equally many.
	self := f.selfPeer()
	first := sort.Search(len(s), func(i int) bool {
		return comparePeers(&peer{
			Member:   s[i],
			nameHash: s[i].hashName(),
		}, self) > 0
	})
	t := []Member{}
	n := max(minGossipTargets, len(s)/gossipDivisor)
	for i := range n {
		t = append(t, s[(first+round*n+i)%len(s)])
	}
	return t
}
