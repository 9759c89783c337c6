package core

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"heatherford/core/config"
	"heatherford/core/drain"
	"heatherford/core/member"
	"heatherford/core/store"
	"heatherford/core/timeline"
)

// newView returns the membership state of a daemon that starts: it knows only itself.
func newView(k *Kernel) *member.View {
	now := k.Now()
	return member.New(member.Options{
		Self: store.Host{
			Name:          k.Settings.Host,
			Zone:          k.Settings.Zone,
			Region:        k.Settings.Region,
			State:         store.HostLive,
			CallerAddress: k.Settings.CallerAddress,
			PeerAddress:   k.Settings.PeerAddress,
		},
		Incarnation: uint64(now.UnixNano()),
		Seed:        uint64(now.UnixNano()),
		Now:         now,
	})
}

// updateHosts derives hosts and suspects from the membership state, the notices and the
// declaration, and passes changes on to the grants and loads.
func (c *control) updateHosts() {
	c.setCutOff(c.view.CutOff(c.kernel.Now()))
	hosts := c.view.Hosts()
	for i, h := range hosts {
		if c.hostLeaving(h) {
			hosts[i].State = store.HostLeaving
		}
	}
	suspects := c.view.Suspects()
	if sameHosts(hosts, c.hosts) && sameNames(suspects, c.suspects) {
		return
	}
	c.recordHosts(hosts)
	c.hosts = hosts
	c.suspects = suspects
	c.changed = true
	c.grants.SetLive(hosts)
	c.kernel.loads.retain(func(host string) bool {
		return slices.ContainsFunc(hosts, func(h store.Host) bool {
			return h.Name == host
		})
	})
}

// hostLeaving reports whether the host is leaving by its own word, the declaration or a
// notice.
func (c *control) hostLeaving(h store.Host) bool {
	if h.State == store.HostLeaving {
		return true
	}
	if c.version != nil {
		for _, n := range c.version.Declaration.LeavingHosts {
			if n == h.Name {
				return true
			}
		}
	}
	_, leaving := c.notices.Leaving(drain.Subject{
		Kind: drain.Host,
		Name: h.Name,
	})
	return leaving
}

// lookupHosts returns the hosts that look-ups may return: those that are neither leaving
// nor suspected or, if there are none, all that are not dead.
func (c *control) lookupHosts() []store.Host {
	s := []store.Host{}
	for _, h := range c.hosts {
		if h.State == store.HostLive && !c.suspects[h.Name] {
			s = append(s, h)
		}
	}
	if len(s) == 0 {
		return c.hosts
	}
	return s
}

// recordHosts records how hosts differs from the hosts known before.
func (c *control) recordHosts(hosts []store.Host) {
	old := map[string]store.Host{}
	for _, h := range c.hosts {
		old[h.Name] = h
	}
	for _, h := range hosts {
		o, ok := old[h.Name]
		delete(old, h.Name)
		switch {
		case !ok:
			c.recordHost(h.Name, "", "is alive")
		case h.State != o.State:
			c.recordHost(h.Name, "", "is "+string(h.State))
		}
	}
	for n := range old {
		c.recordHost(n, timeline.PhaseFailed, "is dead")
	}
}

func (c *control) recordHost(name string, phase timeline.Phase, text string) {
	level.Info(c.kernel.Log).Log("msg", "member: host "+text, "subject", name)
	c.kernel.Record(timeline.Event{
		Kind:    timeline.KindMember,
		Phase:   phase,
		Subject: name,
		Text:    text,
	})
}

// setCutOff sets whether this host considers itself cut off. While it is, it may miss
// new versions, so its version counts as not fresh.
func (c *control) setCutOff(now bool) {
	if now {
		c.kernel.Freshness.Reset(time.Now())
	}
	if now == c.isCutOff {
		return
	}
	c.isCutOff = now
	text := "has contact again"
	if now {
		text = "is cut off"
	}
	c.recordHost(c.kernel.Settings.Host, "", text)
}

func sameHosts(a, b []store.Host) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func sameNames(a, b map[string]bool) bool {
	if len(a) != len(b) {
		return false
	}
	for n := range a {
		if !b[n] {
			return false
		}
	}
	return true
}

// OfferHosts hands the platform's list of hosts to the control goroutine and waits until
// it is in effect.
func (k *Kernel) OfferHosts(hosts []store.Host) {
	k.post(func(c *control) {
		c.offerHosts(hosts)
	})
	k.flush()
}

func (c *control) offerHosts(hosts []store.Host) {
	c.view.SetListed(c.kernel.Now(), hosts)
	c.grants.SetHosts(hosts, c.kernel.Now())
	c.updateHosts()
	c.offerListed(hosts)
}

// offerListed turns the listed states of hosts into notices if this host is a reader.
// Gossip then carries them to the hosts that read the list less often.
func (c *control) offerListed(hosts []store.Host) {
	if !c.view.Reader() {
		return
	}
	for _, h := range hosts {
		c.offerNotice(drain.Subject{
			Kind: drain.Host,
			Name: h.Name,
		}, h.State == store.HostLeaving, "platform's list")
	}
}

// Gossip is what daemons send each other about hosts and drains in each message.
type Gossip struct {
	// Self is the sender.
	Self    member.Update
	Members []member.Update
	Notices []drain.Notice
}

// maxGossipNotices is the maximum number of notices in one message.
const maxGossipNotices = 6

// Gossip returns the gossip to send to the named host.
func (k *Kernel) Gossip(to string) Gossip {
	return queryOrZero(k, func(c *control) Gossip {
		s := c.view.Gossip(to)
		return Gossip{
			Self:    s[0],
			Members: s[1:],
			Notices: c.notices.NextGossip(maxGossipNotices),
		}
	})
}

// OtherHosts returns the membership state of all other hosts.
func (k *Kernel) OtherHosts() []member.HostStatus {
	return queryOrZero(k, func(c *control) []member.HostStatus {
		return c.view.Statuses()
	})
}

// OfferGossip merges the gossip that another daemon sent in a request or an answer.
func (k *Kernel) OfferGossip(g Gossip) {
	for _, s := range g.Notices {
		k.Clock.Observe(s.At)
	}
	k.post(func(c *control) {
		now := c.kernel.Now()
		c.view.RecordMessage(now, g.Self)
		c.view.Merge(now, g.Members)
		for _, s := range g.Notices {
			if c.notices.Merge(now, s) {
				c.noticeChanged(s)
			}
		}
		c.updateHosts()
	})
}

// NextProbe returns the host to probe next, or nil if there is none.
func (k *Kernel) NextProbe() *store.Host {
	return queryOrZero(k, func(c *control) *store.Host {
		h, ok := c.view.NextProbe()
		if !ok {
			return nil
		}
		return &h
	})
}

// ProbeRelays returns the hosts through which to probe the named one indirectly.
func (k *Kernel) ProbeRelays(name string) []store.Host {
	return queryOrZero(k, func(c *control) []store.Host {
		return c.view.Relays(name)
	})
}

// RandomHosts returns up to n other live hosts in random order.
func (k *Kernel) RandomHosts(n int) []store.Host {
	return queryOrZero(k, func(c *control) []store.Host {
		return c.view.RandomAlive(n, "")
	})
}

// ProbeFailed reports that the named host answered no probe, neither direct nor
// indirect. If refused is true, its address refused the connection.
func (k *Kernel) ProbeFailed(name string, refused bool) {
	k.post(func(c *control) {
		c.view.RecordFailedProbe(c.kernel.Now(), name, refused)
		c.updateHosts()
	})
}

// HostReplaced reports that a host of another name answered at the named host's
// address.
func (k *Kernel) HostReplaced(name string) {
	k.post(func(c *control) {
		c.view.RecordReplaced(c.kernel.Now(), name)
		c.updateHosts()
	})
}

// AnnounceLeaving marks this host as leaving. The other hosts learn it from the next
// messages.
func (k *Kernel) AnnounceLeaving() {
	k.post(func(c *control) {
		c.view.Leave()
		c.updateHosts()
	})
	k.flush()
}

// IsReader reports whether this host is one of the few in its zone that read the
// platform often.
func (k *Kernel) IsReader() bool {
	return queryOrZero(k, func(c *control) bool {
		return c.view.Reader()
	})
}

// Quorum returns the numbers of other hosts that are not dead and of their zones. From
// them follows how many hosts must be asked to learn the newest version without the
// platform's table.
func (k *Kernel) Quorum() config.Quorum {
	q := config.Quorum{}
	zones := map[string]bool{}
	for _, x := range k.OtherHosts() {
		if x.State == member.Dead {
			continue
		}
		q.Hosts++
		zones[x.Host.Zone] = true
	}
	q.Zones = len(zones)
	return q
}
