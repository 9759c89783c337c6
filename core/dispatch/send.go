package dispatch

import (
	"context"

	"heatherford/core/admission"
	"heatherford/core/code"
	"heatherford/core/snapshot"
	"heatherford/core/timeline"
	"heatherford/core/work"
)

// send uses the permit to send r. The slot is given back after the answer's
// end.
func (d *Dispatcher) send(ctx context.Context, p admission.Permit, r *work.Request) (*work.Answer, error) {
	o := p.Own
	if err := d.fence(o, r); err != nil {
		p.Release(admission.Abandoned)
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
		r.Tried = append(r.Tried, o.Endpoint.Name)
		if r.MayRun {
			p.Hold(r.Deadline)
		}
		p.Release(result(ctx))
		return nil, err
	}
	a.Host = d.options.Self
	a.Body = &body{
		ReadCloser: a.Body,
		done: func(err error) {
			p.Release(ended(ctx, err))
		},
	}
	return a, nil
}

// result says whether a request without an answer is the endpoint's fault.
func result(ctx context.Context) admission.Result {
	if ctx.Err() != nil {
		return admission.Abandoned
	}
	return admission.Failed
}

// ended says how an answer's body ended.
func ended(ctx context.Context, err error) admission.Result {
	if err == nil {
		return admission.Succeeded
	}
	return result(ctx)
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
