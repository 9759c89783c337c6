package core

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/go-kit/log/level"

	"heatherford/core/code"
	"heatherford/core/grant"
	"heatherford/core/quota"
	"heatherford/core/snapshot"
	"heatherford/core/store"
	"heatherford/core/timeline"
)

const (
	// grantTickInterval is the time between checks of the grants' deadlines.
	grantTickInterval = 50 * time.Millisecond
	// grantTimeout is the timeout of a call about grants to the platform or a host.
	grantTimeout = time.Second
)

// GrantCalls are the calls to other hosts about the grants of endpoints. An error means
// that no answer came; the host may have acted on the call nevertheless.
type GrantCalls struct {
	Revoke func(ctx context.Context, h store.Host, q grant.Revoke) (grant.Acknowledgement, error)
	Cede   func(ctx context.Context, h store.Host, c grant.Cede) (grant.Reply, error)
	Offer  func(ctx context.Context, h store.Host, o grant.Offer) (grant.Reply, error)
	Tell   func(ctx context.Context, h store.Host, t grant.Announce) error
	Learn  func(ctx context.Context, h store.Host) ([]grant.Ownership, error)
}

func newGrants(k *Kernel) *grant.Machine {
	return grant.New(grant.Options{
		Self:        k.Settings.Host,
		Incarnation: rand.Text(),
		Started:     k.Now(),
		Timing:      grant.StandardTiming,
		Ledger: func(endpoint string) *quota.Ledger {
			return k.Dispatcher.Ledger(endpoint)
		},
	})
}

func (c *control) tickGrants() {
	c.grants.Tick(c.kernel.Now())
}

// publishGrants adds to s the owners of all endpoints and the limits of the endpoints
// that this host owns.
func (c *control) publishGrants(s *snapshot.Snapshot) {
	s.Owners = c.grants.Serving()
	allowances := c.grants.Allowances()
	for _, u := range c.declaration().Upstreams {
		for _, e := range u.Endpoints {
			r, ok := allowances[e.Name]
			if !ok || (r.Full.IsZero() && r.Reduced.IsZero()) {
				continue
			}
			o := snapshot.Own{
				Endpoint: e,
				Slots:    r.Full.Slots,
				Reduced:  r.Reduced.Slots,
				Until:    r.Until,
				Longest:  c.grants.MaxDuration(e.Name),
			}
			if r.Until.IsZero() {
				o.Slots = o.Reduced
			}
			s.Owned[u.Name] = append(s.Owned[u.Name], o)
		}
	}
}

// runGrantEffects starts the effects that the grants ask for. Calls run in goroutines
// of their own, which post their results to the control goroutine.
func (c *control) runGrantEffects() {
	if n := c.grants.Revision(); n != c.grantRevision {
		c.grantRevision = n
		c.changed = true
	}
	for _, e := range c.grants.TakeEffects() {
		c.runGrantEffect(e)
	}
}

func (c *control) runGrantEffect(e grant.Effect) {
	k := c.kernel
	switch {
	case e.List:
		k.runAsync(k.listHosts)
	case e.Note != nil:
		c.recordGrant(*e.Note)
	case e.Commit != nil:
		k.runAsync(func(ctx context.Context) func(c *control) {
			return k.commitGrants(ctx, *e.Commit)
		})
	case e.Read != nil:
		k.runAsync(func(ctx context.Context) func(c *control) {
			return k.readGrants(ctx, *e.Read)
		})
	case e.Revoke != nil:
		c.callHost(e.Revoke.Host, func(ctx context.Context, h store.Host) func(c *control) {
			return k.askGrant(ctx, h, *e.Revoke)
		})
	case e.Cede != nil:
		c.callHost(e.Cede.Host, func(ctx context.Context, h store.Host) func(c *control) {
			return k.cedeGrant(ctx, h, *e.Cede)
		})
	case e.Offer != nil:
		c.callHost(e.Offer.Host, func(ctx context.Context, h store.Host) func(c *control) {
			return k.offerGrant(ctx, h, *e.Offer)
		})
	case e.Announce != nil:
		c.callHost(e.Announce.Host, func(ctx context.Context, h store.Host) func(c *control) {
			return k.tellGrant(ctx, h, *e.Announce)
		})
	case e.FetchOwners != nil:
		c.callHost(e.FetchOwners.Host, k.learnGrants)
	}
}

func (c *control) recordGrant(n grant.Note) {
	level.Info(c.kernel.Log).Log("msg", "grant: "+n.Text, "subject", n.Endpoint)
	c.kernel.Record(timeline.Event{
		Kind:    timeline.KindGrant,
		Subject: n.Endpoint,
		Text:    n.Text,
	})
}

// runAsync runs f in a new goroutine and posts the event that it returns.
func (k *Kernel) runAsync(f func(ctx context.Context) func(c *control)) {
	k.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(k.tomb.Context(context.Background()), grantTimeout)
		defer cancel()
		k.post(f(ctx))
		return nil
	})
}

// callHost is runAsync with a host. If the host is not known any more, f gets the zero
// Host.
func (c *control) callHost(name string, f func(ctx context.Context, h store.Host) func(c *control)) {
	host := store.Host{}
	for _, h := range c.hosts {
		if h.Name == name {
			host = h
		}
	}
	c.kernel.runAsync(func(ctx context.Context) func(c *control) {
		return f(ctx, host)
	})
}

func (k *Kernel) commitGrants(ctx context.Context, x grant.Commit) func(c *control) {
	a, err := k.PluginFuncs.Store.Commit(ctx, x.Transaction)
	if err != nil {
		level.Warn(k.Log).Log("msg", "grant: rows not written", "attempt", x.Attempt, "err", err)
		return func(c *control) {
			c.grants.CommitFailed(x.Attempt, err, k.Now())
		}
	}
	return func(c *control) {
		c.grants.Committed(x.Attempt, a.Version, k.Now())
	}
}

func (k *Kernel) listHosts(ctx context.Context) func(c *control) {
	hosts, err := k.PluginFuncs.Store.Hosts(ctx)
	if err != nil {
		return func(*control) {}
	}
	return func(c *control) {
		c.offerHosts(hosts)
	}
}

func (k *Kernel) readGrants(ctx context.Context, r grant.Read) func(c *control) {
	rows, err := k.PluginFuncs.Store.Read(ctx, r.Query)
	if err != nil {
		level.Warn(k.Log).Log("msg", "grant: rows not read", "err", err)
		return func(c *control) {
			c.grants.ReadFailed(r, k.Now())
		}
	}
	return func(c *control) {
		c.grants.RowsRead(r, rows, k.Now())
	}
}

func (k *Kernel) askGrant(ctx context.Context, h store.Host, q grant.Revoke) func(c *control) {
	a, err := k.PluginFuncs.Grants.Revoke(ctx, h, q)
	return func(c *control) {
		if err == nil && a.Done {
			c.grants.Acknowledged(q)
		}
	}
}

func (k *Kernel) cedeGrant(ctx context.Context, h store.Host, x grant.Cede) func(c *control) {
	a, err := k.PluginFuncs.Grants.Cede(ctx, h, x)
	return func(c *control) {
		c.grants.CedeEnded(x, a.Incarnation, err == nil && !a.OK)
	}
}

func (k *Kernel) offerGrant(ctx context.Context, h store.Host, o grant.Offer) func(c *control) {
	a, err := k.PluginFuncs.Grants.Offer(ctx, h, o)
	return func(c *control) {
		c.grants.Offered(o, a.Incarnation, err == nil && a.OK, k.Now())
	}
}

func (k *Kernel) tellGrant(ctx context.Context, h store.Host, t grant.Announce) func(c *control) {
	if err := k.PluginFuncs.Grants.Tell(ctx, h, t); err != nil {
		level.Info(k.Log).Log("msg", "grant: host not told of the owner", "subject", t.Ownership.Endpoint, "err", err)
	}
	return func(*control) {}
}

func (k *Kernel) learnGrants(ctx context.Context, h store.Host) func(c *control) {
	all, err := k.PluginFuncs.Grants.Learn(ctx, h)
	if err != nil {
		return func(*control) {}
	}
	return func(c *control) {
		c.grants.OwnersFetched(all)
	}
}

// HandleGrantRevoke handles another host's Revoke. It is safe for concurrent use.
func (k *Kernel) HandleGrantRevoke(ctx context.Context, q grant.Revoke) (grant.Acknowledgement, error) {
	return query(ctx, k, func(c *control) grant.Acknowledgement {
		return c.grants.HandleRevoke(q, k.Now())
	})
}

// HandleGrantCede handles another host's Cede, which gives this host a part of an
// endpoint's limits. It is safe for concurrent use.
func (k *Kernel) HandleGrantCede(ctx context.Context, x grant.Cede) (grant.Reply, error) {
	return query(ctx, k, func(c *control) grant.Reply {
		return c.grants.HandleCede(x, k.Now())
	})
}

// HandleGrantOffer handles another host's Offer. It is safe for concurrent use.
func (k *Kernel) HandleGrantOffer(ctx context.Context) (grant.Reply, error) {
	return query(ctx, k, func(c *control) grant.Reply {
		return c.grants.HandleOffer()
	})
}

// HandleGrantAnnounce handles another host's Announce, a change of an endpoint's owner that it
// has seen. It is safe for concurrent use.
func (k *Kernel) HandleGrantAnnounce(o grant.Ownership) {
	k.post(func(c *control) {
		c.grants.HandleAnnounce(o, k.Now())
	})
}

// GrantOwners returns the owners of all endpoints as far as this host knows them. It is
// safe for concurrent use.
func (k *Kernel) GrantOwners(ctx context.Context) ([]grant.Ownership, error) {
	return query(ctx, k, func(c *control) []grant.Ownership {
		return c.grants.KnownOwners()
	})
}

// query runs f on the control goroutine and returns its result. It returns an error
// with the code HostStopping if ctx or the daemon ends first; f may run nevertheless.
func query[T any](ctx context.Context, k *Kernel, f func(c *control) T) (T, error) {
	done := make(chan T, 1)
	k.post(func(c *control) {
		done <- f(c)
	})
	select {
	case v := <-done:
		return v, nil
	case <-ctx.Done():
	case <-k.tomb.Dying():
	}
	var none T
	return none, code.New(code.HostStopping, "core: the host did not answer in time")
}

// handOverGrants hands all endpoints over to other hosts and waits until that is done.
func (k *Kernel) handOverGrants(ctx context.Context) error {
	tick := time.NewTicker(grantTickInterval)
	defer tick.Stop()
	for {
		left, err := query(ctx, k, func(c *control) bool {
			c.grants.StartLeaving()
			return c.grants.HandoverDone(k.Now())
		})
		if err != nil || left {
			return err
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return code.New(code.HostStopping, "core: not all endpoints were handed over")
		}
	}
}
