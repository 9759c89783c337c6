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

// newView returns the view of a daemon that starts.
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

// updateHosts derives the hosts that traffic uses from all that is known.
func (c *control) updateHosts() {
	c.cutOff(c.view.CutOff(c.kernel.Now()))
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
	c.grants.SetAlive(hosts)
	c.kernel.loads.forget(func(host string) bool {
		return slices.ContainsFunc(hosts, func(h store.Host) bool {
			return h.Name == host
		})
	})
}

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
	_, leaving := c.signs.Leaving(drain.Subject{
		Kind: drain.Host,
		Name: h.Name,
	})
	return leaving
}

// nameable returns the hosts that look-ups may name: those that are neither
// leaving nor suspected, or if there are none, all that are not dead.
func (c *control) nameable() []store.Host {
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

// recordHosts puts the difference to the hosts known before on the time line.
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

// cutOff notes whether this host takes itself for cut off. While it does, it may
// miss versions.
func (c *control) cutOff(now bool) {
	if now {
		c.kernel.Fresh.Reset(time.Now())
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

// OfferHosts hands the platform's list of hosts to the control goroutine.
func (k *Kernel) OfferHosts(hosts []store.Host) {
	k.post(func(c *control) {
		c.offerHosts(hosts)
	})
	k.settle()
}

func (c *control) offerHosts(hosts []store.Host) {
	c.view.List(c.kernel.Now(), hosts)
	c.grants.SetHosts(hosts, c.kernel.Now())
	c.updateHosts()
	c.listSigns(hosts)
}

// listSigns passes on which hosts the platform lists as leaving, for the hosts
// that read the list seldom.
func (c *control) listSigns(hosts []store.Host) {
	if !c.view.Reader() {
		return
	}
	for _, h := range hosts {
		c.offerSign(drain.Subject{
			Kind: drain.Host,
			Name: h.Name,
		}, h.State == store.HostLeaving, "platform's list")
	}
}

// Gossip is what daemons tell each other of hosts and drains in each message.
type Gossip struct {
	// Self is the sender.
	Self    member.Update
	Members []member.Update
	Signs   []drain.Sign
}

// gossipSigns is the most signs in one message.
const gossipSigns = 6

// Gossip returns what to tell the host with the name.
func (k *Kernel) Gossip(to string) Gossip {
	return ask(k, func(c *control) Gossip {
		s := c.view.Gossip(to)
		return Gossip{
			Self:    s[0],
			Members: s[1:],
			Signs:   c.signs.Gossip(gossipSigns),
		}
	})
}

// Everyone returns what is known of all other hosts.
func (k *Kernel) Everyone() []member.Known {
	return ask(k, func(c *control) []member.Known {
		return c.view.All()
	})
}

// OfferGossip takes what another daemon told in a message of its own or in an
// answer.
func (k *Kernel) OfferGossip(g Gossip) {
	for _, s := range g.Signs {
		k.Clock.Observe(s.At)
	}
	k.post(func(c *control) {
		now := c.kernel.Now()
		c.view.Heard(now, g.Self)
		c.view.Merge(now, g.Members)
		for _, s := range g.Signs {
			if c.signs.Offer(now, s) {
				c.signChanged(s)
			}
		}
		c.updateHosts()
	})
}

// NextProbe returns the host to probe next, or nil if there is none.
func (k *Kernel) NextProbe() *store.Host {
	return ask(k, func(c *control) *store.Host {
		h, ok := c.view.Next()
		if !ok {
			return nil
		}
		return &h
	})
}

// ProbeRelays returns the hosts through which to probe the named one.
func (k *Kernel) ProbeRelays(name string) []store.Host {
	return ask(k, func(c *control) []store.Host {
		return c.view.Relays(name)
	})
}

// PickHosts returns up to n other live hosts in random order.
func (k *Kernel) PickHosts(n int) []store.Host {
	return ask(k, func(c *control) []store.Host {
		return c.view.Pick(n, "")
	})
}

// ProbeMissed says that the named host answered no probe. Refused means that its
// address took no connection.
func (k *Kernel) ProbeMissed(name string, refused bool) {
	k.post(func(c *control) {
		c.view.Missed(c.kernel.Now(), name, refused)
		c.updateHosts()
	})
}

// ProbeReplaced says that another host answered at the named one's address.
func (k *Kernel) ProbeReplaced(name string) {
	k.post(func(c *control) {
		c.view.Replaced(c.kernel.Now(), name)
		c.updateHosts()
	})
}

// Leave tells the other hosts, with the next messages, that this one is leaving.
func (k *Kernel) Leave() {
	k.post(func(c *control) {
		c.view.Leave()
		c.updateHosts()
	})
	k.settle()
}

// Reader reports whether this host is one of the few of its zone that read the
// platform often.
func (k *Kernel) Reader() bool {
	return ask(k, func(c *control) bool {
		return c.view.Reader()
	})
}

// Quorum returns how many of the other hosts together stand in for the table.
func (k *Kernel) Quorum() config.Quorum {
	q := config.Quorum{}
	zones := map[string]bool{}
	for _, x := range k.Everyone() {
		if x.State == member.Dead {
			continue
		}
		q.Hosts++
		zones[x.Host.Zone] = true
	}
	q.Zones = len(zones)
	return q
}
