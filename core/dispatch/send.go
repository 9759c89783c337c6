package dispatch

import (
	"context"

	"heatherford/core/admission"
	"heatherford/core/quota"
	"heatherford/core/timeline"
	"heatherford/core/work"
)

// send uses the permit to send r.
func (d *Dispatcher) send(ctx context.Context, p admission.Permit, r *work.Request) (*work.Answer, error) {
	if err := d.fence(p, r); err != nil {
		d.release(p, r, admission.Abandoned)
		return nil, err
	}
	if r.Kind.Repeatable && p.Usual > 0 && d.options.Now().Add(hedgeFactor*p.Usual).Before(r.Deadline) {
		return d.hedge(ctx, p, r)
	}
	return d.exchange(ctx, p, r)
}

// exchange sends r to the permit's endpoint. The slot is given back after the
// answer's end.
func (d *Dispatcher) exchange(ctx context.Context, p admission.Permit, r *work.Request) (*work.Answer, error) {
	o := p.Own
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	r.MayRun = false
	r.Resend = func() bool {
		return d.resend(&p, r)
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
		d.release(p, r, result(ctx))
		cancel()
		return nil, err
	}
	a.Host = d.options.Self
	a.Body = &body{
		ReadCloser: a.Body,
		done: func(err error) {
			d.release(p, r, ended(ctx, err))
			cancel()
		},
	}
	return a, nil
}

// resend takes a second slot of the endpoint, while the permit's counts as used
// until r's deadline. It reports false if none is free.
func (d *Dispatcher) resend(p *admission.Permit, r *work.Request) bool {
	now := d.options.Now()
	l := d.Ledger(p.Own.Endpoint.Name)
	f, refusal := l.Enter(now, d.counted(now, &p.Own, r, p.Usual))
	if refusal != quota.Allowed {
		return false
	}
	l.Linger(p.Flight)
	p.Hold(r.Deadline)
	p.Flight = f
	return true
}

// release gives the permit's slot back, unless the endpoint may still be at work
// on r: then the slot counts as used until r's deadline.
func (d *Dispatcher) release(p admission.Permit, r *work.Request, x admission.Result) {
	l := d.Ledger(p.Own.Endpoint.Name)
	if r.MayRun {
		l.Linger(p.Flight)
		p.Hold(r.Deadline)
	} else {
		l.Leave(p.Flight)
	}
	p.Release(x)
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
