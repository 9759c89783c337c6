package peer

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"heatherford/core/intent"
	"heatherford/core/store"
	"heatherford/core/timeline"
)

const (
	// witnesses is the number of hosts that have a version before the operator
	// hears that it is confirmed.
	witnesses = 4
	// followInterval is how often the host that confirmed a version looks
	// whether it is in force everywhere, and followTime how long.
	followInterval = 100 * time.Millisecond
	followTime     = 30 * time.Second
	// followHosts is the largest fleet in which it looks.
	followHosts = 64
)

// versions are the versions that other hosts were last seen to have. It is safe
// for concurrent use.
type versions struct {
	mu    sync.Mutex
	hosts map[string]uint64
}

func (v *versions) note(host string, number uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hosts[host] = number
}

func (v *versions) of(host string) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.hosts[host]
}

// push spreads a version that was confirmed at this host, and follows it until
// it is in force everywhere. It returns once a few hosts of different zones have
// it, or have not answered in time.
func (x *exchanger) push(ctx context.Context, v *intent.Version) {
	t := spreadTask{
		hosts: pushHosts,
		push:  true,
	}
	x.tell(t)
	select {
	case x.followed <- v:
	default:
	}
	x.carryOut(ctx, t, x.spreadOverZones(witnesses))
}

// followLoop follows one version after the other.
func (x *exchanger) followLoop(ctx context.Context) {
	for {
		select {
		case v := <-x.followed:
			x.follow(ctx, v)
		case <-ctx.Done():
			return
		}
	}
}

// follow records when v is in force at all live hosts. It gives up when a newer
// version is in force.
func (x *exchanger) follow(ctx context.Context, v *intent.Version) {
	started := x.kernel.Now()
	ctx, cancel := context.WithTimeout(ctx, followTime)
	defer cancel()
	tick := time.NewTicker(followInterval)
	defer tick.Stop()
	for x.kernel.Snapshot().Config.Number == v.Number {
		behind := x.behind(v.Number)
		switch {
		case len(behind) == 0:
			x.everywhere(v, x.kernel.Now().Sub(started))
			return
		case len(behind) > followHosts:
			return
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		x.exchangeWith(ctx, behind)
	}
}

// behind returns the live hosts that were not yet seen to have the version.
func (x *exchanger) behind(number uint64) []store.Host {
	s := []store.Host{}
	for n, h := range x.kernel.Snapshot().Hosts {
		if n != x.kernel.Settings.Host && x.versions.of(n) < number {
			s = append(s, h)
		}
	}
	return s
}

func (x *exchanger) exchangeWith(ctx context.Context, hosts []store.Host) {
	g := errgroup.Group{}
	g.SetLimit(pushers)
	for _, h := range hosts {
		g.Go(func() error {
			return x.exchange(ctx, h, nil)
		})
	}
	// Hosts that do not answer are asked again.
	_ = g.Wait()
}

func (x *exchanger) everywhere(v *intent.Version, took time.Duration) {
	took = took.Round(time.Millisecond)
	level.Info(x.kernel.Log).Log("msg", "config: version in force everywhere", "version", v.Number, "took", took)
	x.kernel.Record(timeline.Event{
		Kind:    timeline.KindConfig,
		Subject: strconv.FormatUint(v.Number, 10),
		Text:    fmt.Sprintf("version in force everywhere in %v", took),
	})
}
