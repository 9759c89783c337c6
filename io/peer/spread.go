package peer

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherford/core/config"
	"heatherford/core/store"
)

const (
	// pushHosts is how many hosts the host that confirmed a version pushes it
	// to, and announceHosts how many are told of a sign or a stop.
	pushHosts     = 32
	announceHosts = 32
	// forwardHosts is how many hosts a host passes a new version on to.
	forwardHosts = 3
	// pushers is the number of pushes side by side.
	pushers = 16
)

// spreadTask is what is to be told to other hosts.
type spreadTask struct {
	// hosts is how many hosts are told.
	hosts int
}

// spreadVersion passes a version on that has come in force here.
func (x *exchanger) spreadVersion(*config.Bundle) {
	x.tell(forwardHosts)
}

// spreadSigns tells other hosts that something is leaving.
func (x *exchanger) spreadSigns() {
	x.tell(announceHosts)
}

func (x *exchanger) tell(hosts int) {
	for {
		select {
		case x.spread <- spreadTask{
			hosts: hosts,
		}:
			return
		default:
		}
		// The task that waits is replaced by one that tells as many.
		select {
		case t := <-x.spread:
			hosts = max(hosts, t.hosts)
		default:
		}
	}
}

func (x *exchanger) spreadLoop(ctx context.Context) {
	for {
		select {
		case t := <-x.spread:
			x.pushTo(ctx, x.kernel.PickHosts(t.hosts))
		case <-ctx.Done():
			return
		}
	}
}

// pushTo exchanges with the hosts side by side, with the newest delta as far as
// the budget goes.
func (x *exchanger) pushTo(ctx context.Context, hosts []store.Host) {
	b := x.kernel.Snapshot().Config
	push := []*config.Delta(nil)
	if s, ok := b.Since(b.Number - min(1, b.Number)); ok {
		push = s
	}
	g := errgroup.Group{}
	g.SetLimit(pushers)
	for _, h := range hosts {
		g.Go(func() error {
			if !x.affordable(push) {
				return x.exchange(ctx, h, nil)
			}
			return x.exchange(ctx, h, push)
		})
	}
	// A host that does not answer takes the version by a later exchange.
	_ = g.Wait()
}

func (x *exchanger) affordable(s []*config.Delta) bool {
	n := 0
	for _, d := range s {
		n += d.Bytes()
	}
	return x.budget.AllowN(time.Now(), n)
}

// announce tells other hosts that this one is leaving.
func (x *exchanger) announce(ctx context.Context) error {
	x.kernel.Leave()
	x.pushTo(ctx, x.kernel.PickHosts(announceHosts))
	return nil
}
