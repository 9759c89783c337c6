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

// route sends r to an endpoint of this host if a slot is free, else over one
// hop to a host that has one, else to where it waits for one.
func (d *Dispatcher) route(ctx context.Context, r *work.Request) (*work.Answer, error) {
	if d.options.Serving != nil {
		if err := d.options.Serving(); err != nil {
			return nil, err
		}
	}
	s := d.options.Snapshot()
	owns := len(s.Owned[r.Kind.Upstream]) > 0
	if owns {
		if p, ok := d.gate(r.Kind.Upstream).Try(d.ask(s, r)); ok {
			return d.send(ctx, p, r)
		}
	}
	if r.Hop {
		return d.receive(ctx, s, r, owns)
	}
	a, err := d.hopToSpare(ctx, s, r)
	if !refused(err) {
		return a, err
	}
	if owns {
		a, err = d.wait(ctx, s, r)
	} else {
		a, err = d.passOn(ctx, s, r)
	}
	if code.Of(err) == code.CapReached {
		return d.passBack(ctx, s, r, err)
	}
	return a, err
}

// passBack passes r, which a cap keeps out with err, to an owner in the caller's
// region, if there is one.
func (d *Dispatcher) passBack(ctx context.Context, s *snapshot.Snapshot, r *work.Request, err error) (*work.Answer, error) {
	h := s.Table.Near(r.Kind.Name, r.Caller)
	if h == nil || h.Name == d.options.Self || !d.answers(h.Name) {
		return nil, err
	}
	a, hopErr := d.carry(ctx, *h, r)
	if refused(hopErr) {
		d.mute.Store(h.Name, d.options.Now().Add(muteTime))
		return nil, err
	}
	return a, hopErr
}

// muteTime is how long nothing is passed back to a host that took no part of
// what was. A region may be lost, and refusals are to be quick.
const muteTime = 2 * time.Second

func (d *Dispatcher) answers(host string) bool {
	t, ok := d.mute.Load(host)
	return !ok || !d.options.Now().Before(t.(time.Time))
}

func (d *Dispatcher) ask(s *snapshot.Snapshot, r *work.Request) admission.Ask {
	return admission.Ask{
		Rank:     r.Rank,
		Zone:     s.Table.Zone(r.Caller),
		Deadline: r.Deadline,
		Weight:   r.Kind.Weight,
		Avoid:    r.Tried,
		Room:     d.room(r, d.gate(r.Kind.Upstream).Usual(r.Rank)),
	}
}

// receive takes a request that another host passed on and for which no slot was
// free.
func (d *Dispatcher) receive(ctx context.Context, s *snapshot.Snapshot, r *work.Request, owns bool) (*work.Answer, error) {
	switch {
	case !owns:
		return nil, code.New(code.HopRefused, "dispatch: this host owns no endpoint of %q", r.Kind.Upstream)
	case r.Immediate:
		// Caps remember what they kept out.
		d.capped(s, r)
		return nil, code.New(code.HopRefused, "dispatch: no slot is free")
	default:
		return d.wait(ctx, s, r)
	}
}

// wait sends r once an endpoint of this host has a slot. A request that a cap
// keeps out is refused at once, so that it holds no place in the queue.
func (d *Dispatcher) wait(ctx context.Context, s *snapshot.Snapshot, r *work.Request) (*work.Answer, error) {
	if d.capped(s, r) {
		return nil, code.New(code.CapReached, "dispatch: work of %q from the caller's region is at its cap", r.Kind.Upstream)
	}
	p, err := d.gate(r.Kind.Upstream).Acquire(ctx, d.ask(s, r))
	if err != nil {
		return nil, err
	}
	return d.send(ctx, p, r)
}

// passOn passes r on to an owner, where it may wait.
func (d *Dispatcher) passOn(ctx context.Context, s *snapshot.Snapshot, r *work.Request) (*work.Answer, error) {
	l, ok := s.Table.Decide(r.Kind.Name, r.Caller)
	if !ok || l.Host == nil || l.Host.Name == d.options.Self {
		return nil, code.New(code.NoEndpoint, "dispatch: no host owns an endpoint of %q", r.Kind.Upstream)
	}
	a, err := d.carry(ctx, *l.Host, r)
	if code.Of(err) != code.HopRefused || l.Others[0] == nil || l.Others[0].Name == d.options.Self {
		return a, err
	}
	return d.carry(ctx, *l.Others[0], r)
}

func (d *Dispatcher) carry(ctx context.Context, h store.Host, r *work.Request) (*work.Answer, error) {
	d.note(r, h.Name, "request passed on")
	return d.options.Carry(ctx, h, r)
}

// refused reports whether err says that a host took no part of the request, so
// that another may be asked.
func refused(err error) bool {
	switch code.Of(err) {
	case code.HopRefused, code.EndpointFull, code.NoEndpoint, code.HostStopping, code.HostBehind:
		return true
	default:
		return false
	}
}
