package peer

import (
	"context"
	"encoding/json"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherford/core"
	"heatherford/core/member"
	"heatherford/core/store"
	"heatherford/io/peer/peerpb"
)

const (
	// describers is the number of hosts that are asked side by side for
	// their reports.
	describers = 64
	// describeTimeout bounds the asking of one host.
	describeTimeout = time.Second
)

// describeAll asks all known hosts that are not dead for their reports. A host
// that does not answer has none.
func (x *exchanger) describeAll(ctx context.Context) []core.PeerReport {
	known := x.kernel.OtherHosts()
	all := make([]core.PeerReport, len(known))
	g := errgroup.Group{}
	g.SetLimit(describers)
	for i, k := range known {
		all[i].Host = k.Host
		all[i].State = k.State
		if k.State == member.Dead {
			continue
		}
		g.Go(func() error {
			r, err := x.describe(ctx, k.Host)
			all[i].Report = r
			return err
		})
	}
	// A host without a report is shown as one that does not answer.
	_ = g.Wait()
	return all
}

func (x *exchanger) describe(ctx context.Context, h store.Host) (*core.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, describeTimeout)
	defer cancel()
	a, err := x.peer(h).Describe(ctx, &peerpb.DescribeRequest{})
	if err != nil {
		return nil, err
	}
	r := &core.Report{}
	return r, json.Unmarshal(a.GetReport(), r)
}
