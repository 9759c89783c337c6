package peer

import (
	"context"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherford/core/store"
)

// learnNow makes the exchanger learn the newest version at once.
func (x *exchanger) learnNow() {
	select {
	case x.learn <- struct{}{}:
	default:
	}
}

// learnLoop learns the newest version from several hosts while this one may not
// serve, and fetches newer versions that it hears of.
func (x *exchanger) learnLoop(ctx context.Context) {
	tick := time.NewTicker(seldomLearn)
	defer tick.Stop()
	for {
		select {
		case h := <-x.pull:
			x.fetch(ctx, h)
			_ = x.exchange(ctx, h, nil)
		case <-x.learn:
			x.learnFromMany(ctx)
		case <-tick.C:
			if x.kernel.CheckServing() != nil {
				x.learnFromMany(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}

// learnFromMany exchanges with several hosts in different zones side by side, and
// with the seeds if no host is known.
func (x *exchanger) learnFromMany(ctx context.Context) {
	hosts := x.spreadOverZones(learnHosts)
	if len(hosts) == 0 {
		hosts = x.seeds()
	}
	g := errgroup.Group{}
	for _, h := range hosts {
		g.Go(func() error {
			return x.ask(ctx, h, true, nil)
		})
	}
	// Hosts that do not answer are asked again by the next call.
	_ = g.Wait()
}

// spreadOverZones returns up to n other hosts in random order, of different zones
// as far as there are any.
func (x *exchanger) spreadOverZones(n int) []store.Host {
	first := []store.Host{}
	rest := []store.Host{}
	zones := map[string]bool{}
	for _, h := range x.kernel.RandomHosts(len(x.kernel.Snapshot().Hosts)) {
		if zones[h.Zone] {
			rest = append(rest, h)
			continue
		}
		zones[h.Zone] = true
		first = append(first, h)
	}
	first = append(first, rest...)
	return first[:min(n, len(first))]
}

func (x *exchanger) seeds() []store.Host {
	s := []store.Host{}
	for _, a := range x.kernel.Settings.Peers.Seeds {
		if a != x.kernel.Settings.PeerAddress {
			s = append(s, seed(a))
		}
	}
	return s
}

// seed returns a host of which only the address is known.
func seed(a netip.AddrPort) store.Host {
	return store.Host{
		PeerAddress: a,
	}
}
