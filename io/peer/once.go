package peer

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"heatherford/core"
	"heatherford/core/code"
	"heatherford/core/once"
	"heatherford/core/store"
	"heatherford/core/ticket"
	"heatherford/io/peer/peerpb"
)

// onceTimeout bounds one call about tickets.
const onceTimeout = time.Second

// newOnce returns what runs work that may not be repeated, and connects it to
// the other hosts.
func newOnce(k *core.Kernel, c *client, r *carrier) *once.Once {
	return once.New(once.Options{
		Host:         k.Settings.Host,
		CommitRate:   k.Settings.Limits.ClaimWrites,
		Store:        &k.PluginFuncs.Store,
		Snapshot:     k.Snapshot,
		Forward:      r.pass,
		FetchHome:    c.home,
		FetchKeyring: c.keyring,
		HandOver:     c.handOver,
		Announce:     c.announce,

		PlatformDown: k.PlatformDown,

		Record:  k.Record,
		Log:     k.Log,
		Metrics: k.Metrics,
		Now:     k.Now,
	})
}

func (c *client) once(h store.Host) peerpb.Once {
	return peerpb.NewOnceProtobufClient("http://"+h.PeerAddress.String(), &http.Client{
		Transport: c.transport,
		Timeout:   onceTimeout,
	})
}

// home asks h for what tickets say of it.
func (c *client) home(ctx context.Context, h store.Host) (once.Home, error) {
	a, err := c.once(h).Home(ctx, &peerpb.HomeRequest{})
	if err != nil {
		return once.Home{}, code.Wrap(code.PeerUnreachable, err, "peer: host %q does not say who it is", h.Name)
	}
	return once.Home{
		Incarnation: a.Incarnation,
		Mode:        ticket.Mode(a.Mode),
	}, nil
}

// keyring asks h for the secrets of tickets.
func (c *client) keyring(ctx context.Context, h store.Host) (ticket.Keyring, error) {
	k := ticket.Keyring{}
	a, err := c.once(h).Keyring(ctx, &peerpb.KeyringRequest{})
	if err != nil {
		return k, code.Wrap(code.PeerUnreachable, err, "peer: host %q gives no secrets", h.Name)
	}
	if err := json.Unmarshal(a.Keyring, &k); err != nil {
		return k, code.Wrap(code.PeerUnreachable, err, "peer: cannot decode the secrets of host %q", h.Name)
	}
	return k, nil
}

// announce tells h of this process.
func (c *client) announce(ctx context.Context, h store.Host, x once.Home) error {
	_, err := c.once(h).Announce(ctx, &peerpb.AnnounceRequest{
		Host:        c.kernel.Settings.Host,
		Incarnation: x.Incarnation,
	})
	if err != nil {
		return code.Wrap(code.PeerUnreachable, err, "peer: host %q was not told of this process", h.Name)
	}
	return nil
}

// handOver leaves tickets to h.
func (c *client) handOver(ctx context.Context, h store.Host, x once.Handover) error {
	b, err := json.Marshal(x)
	if err != nil {
		return code.Wrap(code.PeerUnreachable, err, "peer: cannot encode what is handed over")
	}
	if _, err := c.once(h).TakeOver(ctx, &peerpb.TakeOverRequest{
		Handover: b,
	}); err != nil {
		return code.Wrap(code.PeerUnreachable, err, "peer: host %q takes over no tickets", h.Name)
	}
	return nil
}

// onceServer answers other daemons.
type onceServer struct {
	once *once.Once
}

// Home implements peerpb.Once.
func (s *onceServer) Home(context.Context, *peerpb.HomeRequest) (*peerpb.HomeResponse, error) {
	h := s.once.Home()
	return &peerpb.HomeResponse{
		Incarnation: h.Incarnation,
		Mode:        string(h.Mode),
	}, nil
}

// Keyring implements peerpb.Once.
func (s *onceServer) Keyring(context.Context, *peerpb.KeyringRequest) (*peerpb.KeyringResponse, error) {
	b, err := json.Marshal(s.once.Keyring())
	if err != nil {
		return nil, err
	}
	return &peerpb.KeyringResponse{
		Keyring: b,
	}, nil
}

// Announce implements peerpb.Once.
func (s *onceServer) Announce(ctx context.Context, r *peerpb.AnnounceRequest) (*peerpb.AnnounceResponse, error) {
	if err := checkName(ctx, r.Host); err != nil {
		return nil, err
	}
	s.once.SetHome(r.Host, once.Home{
		Incarnation: r.Incarnation,
	})
	return &peerpb.AnnounceResponse{}, nil
}

// TakeOver implements peerpb.Once.
func (s *onceServer) TakeOver(_ context.Context, r *peerpb.TakeOverRequest) (*peerpb.TakeOverResponse, error) {
	h := once.Handover{}
	if err := json.Unmarshal(r.Handover, &h); err != nil {
		return nil, err
	}
	s.once.TakeOver(h)
	return &peerpb.TakeOverResponse{}, nil
}
