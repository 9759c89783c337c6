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
	// to, and announceHosts how many are told of a notice or a stop.
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
	// push is true if the newest deltas go along. Hosts that hear of a newer
	// version without them ask for them.
	push bool
	// signs is true if hosts that have the version are told as well.
	signs bool
}

// and returns a task that does what both do.
func (t spreadTask) and(o spreadTask) spreadTask {
	return spreadTask{
		hosts: max(t.hosts, o.hosts),
		push:  t.push || o.push,
		signs: t.signs || o.signs,
	}
}

// spreadVersion passes a version on that has come in force here.
func (x *exchanger) spreadVersion(*config.Bundle) {
	x.tell(spreadTask{
		hosts: forwardHosts,
	})
}

// spreadSigns tells other hosts that something is leaving.
func (x *exchanger) spreadSigns() {
	x.tell(spreadTask{
		hosts: announceHosts,
		signs: true,
	})
}

// tell hands a task to the loop and does not wait. A task that waits there
// already is joined with it.
func (x *exchanger) tell(t spreadTask) {
	for {
		select {
		case x.spread <- t:
			return
		default:
		}
		select {
		case o := <-x.spread:
			t = t.and(o)
		default:
		}
	}
}

func (x *exchanger) spreadLoop(ctx context.Context) {
	for {
		select {
		case t := <-x.spread:
			x.carryOut(ctx, t, x.kernel.RandomHosts(t.hosts))
		case <-ctx.Done():
			return
		}
	}
}

// carryOut exchanges with the hosts side by side.
func (x *exchanger) carryOut(ctx context.Context, t spreadTask, hosts []store.Host) {
	b := x.kernel.Snapshot().Config
	g := errgroup.Group{}
	g.SetLimit(pushers)
	for _, h := range hosts {
		behind := x.versions.of(h.Name) < b.Number
		if !behind && !t.signs {
			continue
		}
		g.Go(func() error {
			return x.exchange(ctx, h, x.pushed(b, t.push && behind))
		})
	}
	// A host that does not answer takes the version by a later exchange.
	_ = g.Wait()
}

// pushed returns the newest deltas if they are wanted and the budget bears them.
func (x *exchanger) pushed(b *config.Bundle, wanted bool) []*config.Delta {
	if !wanted {
		return nil
	}
	s, ok := b.DeltasSince(b.Number - min(1, b.Number))
	if !ok || !x.affordable(s) {
		return nil
	}
	return s
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
	x.kernel.AnnounceLeaving()
	x.carryOut(ctx, spreadTask{
		signs: true,
	}, x.kernel.RandomHosts(announceHosts))
	return nil
}
