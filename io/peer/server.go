package peer

import (
	"context"
	"encoding/json"

	"heatherford/core"
	"heatherford/core/code"
	"heatherford/io/peer/peerpb"
)

// server answers other daemons.
type server struct {
	kernel    *core.Kernel
	exchanger *exchanger
}

// Exchange implements peerpb.Peer.
func (s *server) Exchange(ctx context.Context, r *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	if r.GetTo() != "" && r.GetTo() != s.kernel.Settings.Host {
		// The sender learns from the answer who has the address now.
		return s.answer("", false, nil)
	}
	g, err := gossip(r.GetKnown())
	if err != nil {
		return nil, err
	}
	if err := checkName(ctx, g.Self.Host.Name); err != nil {
		return nil, err
	}
	s.kernel.OfferGossip(g)
	s.exchanger.take(r.GetKnown(), g.Self.Host)
	return s.answer(g.Self.Host.Name, r.GetAllHosts(), r.GetKnown())
}

// answer returns what this host knows better than the sender of their.
func (s *server) answer(to string, all bool, their *peerpb.Known) (*peerpb.ExchangeResponse, error) {
	b := s.kernel.Snapshot().Config
	g := s.kernel.Gossip(to)
	if all {
		for _, x := range s.kernel.OtherHosts() {
			g.Members = append(g.Members, x.Update)
		}
	}
	m, err := newKnown(g, b.Number)
	if err != nil {
		return nil, err
	}
	if their != nil {
		m.Deltas = s.exchanger.deltasFor(b, their.GetVersion())
	}
	return &peerpb.ExchangeResponse{
		Known:   m,
		Serving: s.kernel.CheckServing() == nil,
	}, nil
}

// Fetch implements peerpb.Peer.
func (s *server) Fetch(_ context.Context, r *peerpb.FetchRequest) (*peerpb.FetchResponse, error) {
	b := s.kernel.Snapshot().Config
	if b.Number <= r.GetVersion() {
		return &peerpb.FetchResponse{}, nil
	}
	d, err := b.DeltaFor(r.GetVersion(), r.GetDigests())
	if err != nil {
		return nil, err
	}
	return &peerpb.FetchResponse{
		Delta: newDelta(d),
	}, nil
}

// Probe implements peerpb.Peer.
func (s *server) Probe(ctx context.Context, r *peerpb.ProbeRequest) (*peerpb.ProbeResponse, error) {
	u, err := update(r.GetHost())
	if err != nil {
		return nil, err
	}
	return &peerpb.ProbeResponse{
		Reached: s.exchanger.exchange(ctx, u.Host, nil) == nil,
	}, nil
}

// Describe implements peerpb.Peer.
func (s *server) Describe(context.Context, *peerpb.DescribeRequest) (*peerpb.DescribeResponse, error) {
	b, err := json.Marshal(s.kernel.Report())
	if err != nil {
		return nil, code.Wrap(code.PeerUnreachable, err, "peer: cannot encode the report")
	}
	return &peerpb.DescribeResponse{
		Report: b,
	}, nil
}
