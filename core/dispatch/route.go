package dispatch

import (
	"context"

	"heatherford/core/admission"
	"heatherford/core/code"
	"heatherford/core/snapshot"
	"heatherford/core/work"
)

// route sends r to an endpoint of this host, else over one hop.
func (d *Dispatcher) route(ctx context.Context, r *work.Request) (*work.Answer, error) {
	s := d.options.Snapshot()
	if o, ok := d.local(s, r); ok {
		return d.send(ctx, o, r)
	}
	if r.Hop {
		return nil, code.New(code.HopRefused, "dispatch: this host owns no endpoint of %q", r.Kind.Upstream)
	}
	l, ok := s.Table.Decide(r.Kind.Name, r.Caller)
	if !ok || !l.Found {
		return nil, code.New(code.NoEndpoint, "dispatch: no host owns an endpoint of %q", r.Kind.Upstream)
	}
	d.note(r, l.Host.Name, "request passed on")
	return d.options.Carry(ctx, l.Host, r)
}

// local returns the owned endpoint with the most room.
func (d *Dispatcher) local(s *snapshot.Snapshot, r *work.Request) (snapshot.Own, bool) {
	best := snapshot.Own{}
	room := 0
	found := false
	for _, o := range s.Owned[r.Kind.Upstream] {
		if o.Endpoint.Leaving {
			continue
		}
		n := d.gate(o).Room()
		if !found || n > room {
			best, room, found = o, n, true
		}
	}
	return best, found
}

// gate returns the endpoint's gate with its present limit.
func (d *Dispatcher) gate(o snapshot.Own) *admission.Gate {
	n := o.Limit(d.options.Now())
	d.mu.Lock()
	defer d.mu.Unlock()
	g, ok := d.gates[o.Endpoint.Name]
	if !ok {
		g = admission.New(n)
		d.gates[o.Endpoint.Name] = g
	}
	g.SetSlots(n)
	return g
}
