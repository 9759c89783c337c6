package peer

import (
	"context"
	"net/http"
	"time"

	"heatherford/core"
	"heatherford/core/code"
	"heatherford/core/grant"
	"heatherford/core/quota"
	"heatherford/core/store"
	"heatherford/io/peer/peerpb"
)

// grantTimeout bounds one call about grants.
const grantTimeout = time.Second

// grantCalls returns the calls about grants that the kernel makes.
func (c *client) grantCalls() core.GrantCalls {
	return core.GrantCalls{
		Revoke: c.askGrant,
		Cede:   c.cedeGrant,
		Offer:  c.offerGrant,
		Tell:   c.tellGrant,
		Learn:  c.learnGrants,
	}
}

func (c *client) grants(h store.Host) (peerpb.Grants, error) {
	if !h.PeerAddress.IsValid() {
		return nil, code.New(code.PeerUnreachable, "peer: the host is not known any more")
	}
	return peerpb.NewGrantsProtobufClient("http://"+h.PeerAddress.String(), &http.Client{
		Transport: c.transport,
		Timeout:   grantTimeout,
	}), nil
}

func (c *client) askGrant(ctx context.Context, h store.Host, q grant.Revoke) (grant.Acknowledgement, error) {
	p, err := c.grants(h)
	if err != nil {
		return grant.Acknowledgement{}, err
	}
	a, err := p.Ask(ctx, &peerpb.AskRequest{
		Endpoint:    q.Endpoint,
		Epoch:       q.Epoch,
		Incarnation: q.Incarnation,
		Serial:      q.Serial,
	})
	return grant.Acknowledgement{
		Incarnation: a.GetIncarnation(),
		Done:        a.GetDone(),
	}, grantError(h, err)
}

func (c *client) cedeGrant(ctx context.Context, h store.Host, x grant.Cede) (grant.Reply, error) {
	p, err := c.grants(h)
	if err != nil {
		return grant.Reply{}, err
	}
	q := &peerpb.CedeRequest{
		Endpoint: x.Endpoint,
		Epoch:    x.Epoch,
		Serial:   x.Serial,
		Version:  x.Version,
		Slots:    uint32(x.Limits.Slots),
	}
	for _, l := range x.Limits.Shares {
		q.Parts = append(q.Parts, &peerpb.GrantPart{
			Name:  string(l.Name),
			Limit: uint32(l.Limit),
		})
	}
	return grantReply(h)(p.Cede(ctx, q))
}

func (c *client) offerGrant(ctx context.Context, h store.Host, o grant.Offer) (grant.Reply, error) {
	p, err := c.grants(h)
	if err != nil {
		return grant.Reply{}, err
	}
	return grantReply(h)(p.Offer(ctx, &peerpb.OfferRequest{
		Endpoint: o.Endpoint,
	}))
}

func (c *client) tellGrant(ctx context.Context, h store.Host, t grant.Announce) error {
	p, err := c.grants(h)
	if err != nil {
		return err
	}
	_, err = p.Tell(ctx, ownershipMessage(t.Ownership))
	return grantError(h, err)
}

func (c *client) learnGrants(ctx context.Context, h store.Host) ([]grant.Ownership, error) {
	p, err := c.grants(h)
	if err != nil {
		return nil, err
	}
	a, err := p.Learn(ctx, &peerpb.LearnRequest{})
	all := []grant.Ownership{}
	for _, o := range a.GetOwners() {
		all = append(all, ownership(o))
	}
	return all, grantError(h, err)
}

func ownershipMessage(o grant.Ownership) *peerpb.Ownership {
	return &peerpb.Ownership{
		Endpoint: o.Endpoint,
		Host:     o.Host,
		Epoch:    o.Epoch,
		Version:  o.Version,
		Part:     o.Ceded,
	}
}

func ownership(o *peerpb.Ownership) grant.Ownership {
	return grant.Ownership{
		Endpoint: o.Endpoint,
		Host:     o.Host,
		Epoch:    o.Epoch,
		Version:  o.Version,
		Ceded:    o.Part,
	}
}

// grantReply returns a function that converts the host's answer.
func grantReply(h store.Host) func(a *peerpb.GrantReply, err error) (grant.Reply, error) {
	return func(a *peerpb.GrantReply, err error) (grant.Reply, error) {
		return grant.Reply{
			Incarnation: a.GetIncarnation(),
			OK:          a.GetOk(),
		}, grantError(h, err)
	}
}

func grantError(h store.Host, err error) error {
	if err == nil {
		return nil
	}
	return code.Wrap(code.PeerUnreachable, err, "peer: host %q gave no answer about a grant", h.Name)
}

// grantsServer answers other daemons about grants.
type grantsServer struct {
	kernel *core.Kernel
}

// Ask implements peerpb.Grants.
func (s *grantsServer) Ask(ctx context.Context, r *peerpb.AskRequest) (*peerpb.AskResponse, error) {
	a, err := s.kernel.HandleGrantRevoke(ctx, grant.Revoke{
		Host:        s.kernel.Settings.Host,
		Endpoint:    r.Endpoint,
		Epoch:       r.Epoch,
		Incarnation: r.Incarnation,
		Serial:      r.Serial,
	})
	if err != nil {
		return nil, err
	}
	return &peerpb.AskResponse{
		Incarnation: a.Incarnation,
		Done:        a.Done,
	}, nil
}

// Cede implements peerpb.Grants.
func (s *grantsServer) Cede(ctx context.Context, r *peerpb.CedeRequest) (*peerpb.GrantReply, error) {
	l := quota.Limits{
		Slots: int(r.Slots),
	}
	for _, p := range r.Parts {
		l.Shares = append(l.Shares, quota.CapShare{
			Name:  quota.CapName(p.Name),
			Limit: int(p.Limit),
		})
	}
	return reply(s.kernel.HandleGrantCede(ctx, grant.Cede{
		Host:     s.kernel.Settings.Host,
		Endpoint: r.Endpoint,
		Epoch:    r.Epoch,
		Serial:   r.Serial,
		Version:  r.Version,
		Limits:   l,
	}))
}

// Offer implements peerpb.Grants.
func (s *grantsServer) Offer(ctx context.Context, _ *peerpb.OfferRequest) (*peerpb.GrantReply, error) {
	return reply(s.kernel.HandleGrantOffer(ctx))
}

// Tell implements peerpb.Grants.
func (s *grantsServer) Tell(_ context.Context, r *peerpb.Ownership) (*peerpb.GrantReply, error) {
	s.kernel.HandleGrantAnnounce(ownership(r))
	return &peerpb.GrantReply{}, nil
}

// Learn implements peerpb.Grants.
func (s *grantsServer) Learn(ctx context.Context, _ *peerpb.LearnRequest) (*peerpb.LearnResponse, error) {
	all, err := s.kernel.GrantOwners(ctx)
	if err != nil {
		return nil, err
	}
	a := &peerpb.LearnResponse{}
	for _, o := range all {
		a.Owners = append(a.Owners, ownershipMessage(o))
	}
	return a, nil
}

func reply(a grant.Reply, err error) (*peerpb.GrantReply, error) {
	if err != nil {
		return nil, err
	}
	return &peerpb.GrantReply{
		Incarnation: a.Incarnation,
		Ok:          a.OK,
	}, nil
}
