package peer

import (
	"context"
	"math/rand/v2"

	"heatherford/core/code"
	"heatherford/core/rollup"
	"heatherford/core/store"
	"heatherford/io/peer/peerpb"
)

// keepTries bounds the hosts that are asked to keep roll-ups.
const keepTries = 5

// keep hands the roll-ups to other hosts that stay, one after the other until
// all are taken.
func (c *client) keep(ctx context.Context, s []rollup.Object) error {
	hosts := c.others()
	rand.Shuffle(len(hosts), func(i, j int) {
		hosts[i], hosts[j] = hosts[j], hosts[i]
	})
	tries := 0
	for _, h := range hosts {
		if len(s) == 0 || tries == keepTries {
			break
		}
		if h.State == store.HostLeaving {
			continue
		}
		tries++
		a, err := c.timelinePeer(h).Keep(ctx, keepRequest(s))
		if err != nil || a.Taken < 0 || int(a.Taken) > len(s) {
			continue
		}
		s = s[a.Taken:]
	}
	if len(s) > 0 {
		return code.New(code.PeerUnreachable, "peer: no host keeps %d roll-ups", len(s))
	}
	return nil
}

func keepRequest(s []rollup.Object) *peerpb.KeepRequest {
	m := &peerpb.KeepRequest{}
	for _, o := range s {
		m.RollUps = append(m.RollUps, &peerpb.RollUp{
			Name: o.Name,
			Data: o.Data,
		})
	}
	return m
}
