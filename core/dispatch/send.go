package dispatch

import (
	"context"

	"heatherford/core/code"
	"heatherford/core/snapshot"
	"heatherford/core/timeline"
	"heatherford/core/work"
)

// send waits for a slot of the endpoint and sends r to it. The slot is given
// back after the answer's end.
func (d *Dispatcher) send(ctx context.Context, o snapshot.Own, r *work.Request) (*work.Answer, error) {
	g := d.gate(o)
	if err := g.Acquire(ctx, r.Rank, r.Deadline); err != nil {
		return nil, err
	}
	if err := d.fence(o, r); err != nil {
		g.Release()
		return nil, err
	}
	d.options.Record(timeline.Event{
		Kind:    timeline.KindUpstream,
		Request: r.ID,
		Subject: o.Endpoint.Name,
		Text:    "request sent",
	})
	a, err := d.options.Send(ctx, o.Endpoint, r)
	if err != nil {
		g.Release()
		return nil, err
	}
	a.Host = d.options.Self
	a.Body = &body{
		ReadCloser: a.Body,
		done: func(error) {
			g.Release()
		},
	}
	return a, nil
}

// fence reads the grant again right before the request is written, so that a
// host that was paused sends nothing on an old grant.
func (d *Dispatcher) fence(o snapshot.Own, r *work.Request) error {
	if !o.Last.IsZero() && r.Deadline.After(o.Last) {
		r.Deadline = o.Last
	}
	if !d.options.Now().Before(r.Deadline) {
		return code.New(code.DeadlinePassed, "dispatch: the deadline passed in the queue")
	}
	return nil
}
