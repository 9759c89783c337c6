package dispatch

import (
	"context"
	"time"

	"heatherford/core/admission"
	"heatherford/core/code"
	"heatherford/core/snapshot"
	"heatherford/core/store"
	"heatherford/core/work"
)

// route sends r to an endpoint that this host owns if a slot is free, else forwards it
// to a host with a free slot. If there is none, r waits for a slot: here if this host
// owns an endpoint of the upstream, else at an owner.
func (d *Dispatcher) route(ctx context.Context, r *work.Request) (*work.Answer, error) {
	if d.options.Serving != nil {
		if err := d.options.Serving(); err != nil {
			return nil, err
		}
	}
	s := d.options.Snapshot()
	owns := len(s.Owned[r.Kind.Upstream]) > 0
	if owns {
		if p, ok := d.controller(r.Kind.Upstream).TryAcquire(d.slotRequest(s, r)); ok {
			return d.send(ctx, p, r)
		}
	}
	if r.Hop {
		return d.handleForwarded(ctx, s, r, owns)
	}
	a, err := d.forwardToFree(ctx, s, r)
	if !isRefusal(err) {
		return a, err
	}
	if owns {
		a, err = d.waitForSlot(ctx, s, r)
	} else {
		a, err = d.forwardToOwner(ctx, s, r)
	}
	if code.Of(err) == code.CapReached {
		return d.forwardBack(ctx, s, r, err)
	}
	return a, err
}

// forwardBack forwards r, which a cap blocked with err, to an owner in the caller's
// region. It returns err if there is no such owner or if that refuses r.
func (d *Dispatcher) forwardBack(ctx context.Context, s *snapshot.Snapshot, r *work.Request, err error) (*work.Answer, error) {
	h := s.Table.RegionalOwner(r.Kind.Name, r.Caller)
	if h == nil || h.Name == d.options.Self || !d.mayForwardBack(h.Name) {
		return nil, err
	}
	a, hopErr := d.forward(ctx, *h, r)
	if isRefusal(hopErr) {
		d.noForwardBackUntil.Store(h.Name, d.options.Now().Add(forwardBackDelay))
		return nil, err
	}
	return a, hopErr
}

// forwardBackDelay is the time for which nothing is forwarded back to a host that
// refused such a request. The caller's region may have failed, and requests are then
// to be refused quickly.
const forwardBackDelay = 2 * time.Second

// mayForwardBack reports whether requests may be forwarded back to the host now.
func (d *Dispatcher) mayForwardBack(host string) bool {
	t, ok := d.noForwardBackUntil.Load(host)
	return !ok || !d.options.Now().Before(t.(time.Time))
}

// slotRequest describes r to the admission controller.
func (d *Dispatcher) slotRequest(s *snapshot.Snapshot, r *work.Request) admission.Request {
	return admission.Request{
		Rank:     r.Rank,
		Zone:     s.Table.ZoneIndex(r.Caller),
		Deadline: r.Deadline,
		Weight:   r.Kind.Weight,
		Avoid:    r.Tried,
		Bounds:   d.bounds(r, d.controller(r.Kind.Upstream).ExpectedService(r.Rank)),
	}
}

// handleForwarded handles a request that another host forwarded and for which this
// host has no free slot.
func (d *Dispatcher) handleForwarded(ctx context.Context, s *snapshot.Snapshot, r *work.Request, owns bool) (*work.Answer, error) {
	switch {
	case !owns:
		return nil, code.New(code.HopRefused, "dispatch: this host owns no endpoint of %q", r.Kind.Upstream)
	case r.Immediate:
		// Called for its effect on the caps that block r: less urgent ranks yield
		// there for a while, as they do if a request of a caller is blocked.
		d.blockedByCaps(s, r)
		return nil, code.New(code.HopRefused, "dispatch: no slot is free")
	default:
		return d.waitForSlot(ctx, s, r)
	}
}

// waitForSlot queues r and sends it once an endpoint of this host has a free slot. A
// request that a cap blocks is refused at once, so that it takes no place in the
// queue.
func (d *Dispatcher) waitForSlot(ctx context.Context, s *snapshot.Snapshot, r *work.Request) (*work.Answer, error) {
	if d.blockedByCaps(s, r) {
		return nil, code.New(code.CapReached, "dispatch: the requests for %q from the caller's region have reached their cap", r.Kind.Upstream)
	}
	p, err := d.controller(r.Kind.Upstream).Acquire(ctx, d.slotRequest(s, r))
	if err != nil {
		return nil, err
	}
	return d.send(ctx, p, r)
}

// forwardToOwner forwards r to an owner, in whose queue it may wait for a slot. If the
// owner refuses it, one other owner is tried.
func (d *Dispatcher) forwardToOwner(ctx context.Context, s *snapshot.Snapshot, r *work.Request) (*work.Answer, error) {
	l, ok := s.Table.Decide(r.Kind.Name, r.Caller)
	if !ok || l.Host == nil || l.Host.Name == d.options.Self {
		return nil, code.New(code.NoEndpoint, "dispatch: no host owns an endpoint of %q", r.Kind.Upstream)
	}
	a, err := d.forward(ctx, *l.Host, r)
	if code.Of(err) != code.HopRefused || l.Alternates[0] == nil || l.Alternates[0].Name == d.options.Self {
		return a, err
	}
	return d.forward(ctx, *l.Alternates[0], r)
}

// forward forwards r to the host h and records that on the timeline.
func (d *Dispatcher) forward(ctx context.Context, h store.Host, r *work.Request) (*work.Answer, error) {
	d.recordStep(r, h.Name, "request passed on")
	return d.options.Forward(ctx, h, r)
}

// isRefusal reports whether err says that a host refused the request without running
// any of it, so that it may be sent to another.
func isRefusal(err error) bool {
	switch code.Of(err) {
	case code.HopRefused, code.EndpointFull, code.NoEndpoint, code.HostStopping, code.HostBehind:
		return true
	default:
		return false
	}
}
