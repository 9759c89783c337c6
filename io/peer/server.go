package peer

import (
	"context"
	"encoding/json"

	"heatherford/core"
	"heatherford/core/config"
	"heatherford/core/intent"
	"heatherford/io/peer/peerpb"
)

// server answers other daemons.
type server struct {
	kernel *core.Kernel
}

// Exchange implements peerpb.Peer.
func (s *server) Exchange(_ context.Context, r *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	if len(r.Pushed) > 0 {
		v, err := config.Decode(r.Pushed)
		if err != nil {
			return nil, err
		}
		s.kernel.OfferVersion(v)
	}
	a := &peerpb.ExchangeResponse{
		Host:    s.kernel.Settings.Host,
		Version: number(s.kernel.Snapshot().Version),
	}
	if a.Version > r.Version {
		b, err := json.Marshal(s.kernel.Snapshot().Version)
		if err != nil {
			return nil, err
		}
		a.Newer = b
	}
	return a, nil
}

func number(v *intent.Version) uint64 {
	if v == nil {
		return 0
	}
	return v.Number
}
