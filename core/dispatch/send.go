package dispatch

import (
	"context"

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
	f, err := d.fence(o, r)
	if err != nil {
		g.Release()
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	end := func() {
		cancel()
		d.Ledger(o.Endpoint.Name).Leave(f)
		g.Release()
	}
	d.options.Record(timeline.Event{
		Kind:    timeline.KindUpstream,
		Request: r.ID,
		Subject: o.Endpoint.Name,
		Text:    "request sent",
	})
	a, err := d.options.Send(ctx, o.Endpoint, r)
	if err != nil {
		end()
		return nil, err
	}
	a.Host = d.options.Self
	a.Body = &body{
		ReadCloser: a.Body,
		done: func(error) {
			end()
		},
	}
	return a, nil
}
