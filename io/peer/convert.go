package peer

import (
	"net/netip"
	"time"

	"heatherford/core"
	"heatherford/core/code"
	"heatherford/core/config"
	"heatherford/core/drain"
	"heatherford/core/member"
	"heatherford/core/store"
	"heatherford/core/timeline"
	"heatherford/io/peer/peerpb"
)

func newHost(u member.Update) (*peerpb.Host, error) {
	c, err := u.Host.CallerAddress.MarshalBinary()
	if err != nil {
		return nil, code.Wrap(code.PeerUnreachable, err, "peer: caller address of %q", u.Host.Name)
	}
	p, err := u.Host.PeerAddress.MarshalBinary()
	if err != nil {
		return nil, code.Wrap(code.PeerUnreachable, err, "peer: peer address of %q", u.Host.Name)
	}
	return &peerpb.Host{
		Name:             u.Host.Name,
		AvailabilityZone: u.Host.Zone,
		Region:           u.Host.Region,
		CallerAddress:    c,
		PeerAddress:      p,
		Incarnation:      u.Incarnation,
		State:            peerpb.State(u.State),
		Leaving:          u.Host.State == store.HostLeaving,
	}, nil
}

func update(h *peerpb.Host) (member.Update, error) {
	u := member.Update{
		Host: store.Host{
			Name:   h.GetName(),
			Zone:   h.GetAvailabilityZone(),
			Region: h.GetRegion(),
			State:  store.HostLive,
		},
		Incarnation: h.GetIncarnation(),
		State:       member.State(h.GetState()),
	}
	if h.GetLeaving() {
		u.Host.State = store.HostLeaving
	}
	c := netip.AddrPort{}
	p := netip.AddrPort{}
	if err := c.UnmarshalBinary(h.GetCallerAddress()); err != nil {
		return u, code.Wrap(code.PeerDenied, err, "peer: caller address of %q", h.GetName())
	}
	if err := p.UnmarshalBinary(h.GetPeerAddress()); err != nil {
		return u, code.Wrap(code.PeerDenied, err, "peer: peer address of %q", h.GetName())
	}
	u.Host.CallerAddress = c
	u.Host.PeerAddress = p
	if u.Host.Name == "" || u.State < member.Alive || u.State > member.Dead {
		return u, code.New(code.PeerDenied, "peer: a host without a name or state")
	}
	return u, nil
}

// newKnown returns the message for what this host tells another.
func newKnown(g core.Gossip, version uint64) (*peerpb.Known, error) {
	m := &peerpb.Known{
		Version: version,
	}
	for _, u := range append([]member.Update{g.Self}, g.Members...) {
		h, err := newHost(u)
		if err != nil {
			return nil, err
		}
		m.Hosts = append(m.Hosts, h)
	}
	for _, s := range g.Notices {
		m.Signs = append(m.Signs, &peerpb.Sign{
			Kind:    string(s.Kind),
			Name:    s.Name,
			Leaving: s.Leaving,
			Source:  s.Source,
			Wall:    s.At.Wall,
			Count:   s.At.Count,
		})
	}
	return m, nil
}

// gossip returns what another host told in m. Its first host is the sender.
func gossip(m *peerpb.Known) (core.Gossip, error) {
	g := core.Gossip{}
	if len(m.GetHosts()) == 0 {
		return g, code.New(code.PeerDenied, "peer: a message without a sender")
	}
	for i, h := range m.GetHosts() {
		u, err := update(h)
		if err != nil {
			return g, err
		}
		if i == 0 {
			g.Self = u
			continue
		}
		g.Members = append(g.Members, u)
	}
	for _, s := range m.GetSigns() {
		g.Notices = append(g.Notices, drain.Notice{
			Subject: drain.Subject{
				Kind: drain.Kind(s.GetKind()),
				Name: s.GetName(),
			},
			Leaving: s.GetLeaving(),
			Source:  s.GetSource(),
			At: timeline.Stamp{
				Wall:  s.GetWall(),
				Count: s.GetCount(),
			},
		})
	}
	return g, nil
}

func newDelta(d *config.Delta) *peerpb.Delta {
	m := &peerpb.Delta{
		Base:        d.Base,
		Version:     d.Number,
		Operation:   d.Operation,
		Operator:    d.Operator,
		ConfirmedAt: d.ConfirmedAt.UnixNano(),
		Root:        d.Checksum,
		Removed:     d.Removed,
	}
	for _, p := range d.Parts {
		m.Parts = append(m.Parts, &peerpb.Part{
			Name: p.Name,
			Data: p.Data,
		})
	}
	return m
}

func newDeltas(s []*config.Delta) []*peerpb.Delta {
	m := []*peerpb.Delta{}
	for _, d := range s {
		m = append(m, newDelta(d))
	}
	return m
}

func delta(m *peerpb.Delta) *config.Delta {
	d := &config.Delta{
		Meta: config.Meta{
			Number:      m.GetVersion(),
			Operation:   m.GetOperation(),
			Operator:    m.GetOperator(),
			ConfirmedAt: time.Unix(0, m.GetConfirmedAt()).UTC(),
			Checksum:    m.GetRoot(),
		},
		Base:    m.GetBase(),
		Removed: m.GetRemoved(),
	}
	for _, p := range m.GetParts() {
		d.Parts = append(d.Parts, config.Part{
			Name: p.GetName(),
			Data: p.GetData(),
		})
	}
	return d
}

func deltas(m []*peerpb.Delta) []*config.Delta {
	s := []*config.Delta{}
	for _, d := range m {
		s = append(s, delta(d))
	}
	return s
}
