package dispatch

import (
	"context"

	"heatherford/core/admission"
	"heatherford/core/quota"
	"heatherford/core/timeline"
	"heatherford/core/work"
)

// send sends r to the permit's endpoint, and hedges it if it is repeatable and has
// enough time. It releases the permit.
func (d *Dispatcher) send(ctx context.Context, p admission.Permit, r *work.Request) (*work.Answer, error) {
	if err := d.recheckGrant(p, r); err != nil {
		d.release(p, r, admission.Abandoned)
		return nil, err
	}
	if r.Kind.Repeatable && p.ExpectedService > 0 && d.options.Now().Add(hedgeFactor*p.ExpectedService).Before(r.Deadline) {
		return d.hedge(ctx, p, r)
	}
	return d.exchange(ctx, p, r)
}

// exchange sends r to the permit's endpoint. It releases the permit when r fails, or
// when the answer's body is closed.
func (d *Dispatcher) exchange(ctx context.Context, p admission.Permit, r *work.Request) (*work.Answer, error) {
	o := p.Own
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	r.MayRun = false
	r.Resend = func() bool {
		return d.reserveResend(&p, r)
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
		d.release(p, r, failureResult(ctx))
		cancel()
		return nil, err
	}
	a.Host = d.options.Self
	a.Body = &body{
		ReadCloser: a.Body,
		done: func(err error) {
			d.release(p, r, bodyResult(ctx, err))
			cancel()
		},
	}
	return a, nil
}

// reserveResend takes a second slot of the endpoint for another sending of r. The
// permit's first slot counts as in use until r's deadline, since the endpoint may
// still be working on the first sending. It reports false if no slot is free.
func (d *Dispatcher) reserveResend(p *admission.Permit, r *work.Request) bool {
	now := d.options.Now()
	l := d.Ledger(p.Own.Endpoint.Name)
	f, refusal := l.Reserve(now, d.quotaRequest(now, &p.Own, r, p.ExpectedService))
	if refusal != quota.Allowed {
		return false
	}
	l.HoldToDeadline(p.Reservation)
	p.HoldUntil(r.Deadline)
	p.Reservation = f
	return true
}

// release releases the permit's slot. If the endpoint may still be working on r, the
// slot counts as in use until r's deadline.
func (d *Dispatcher) release(p admission.Permit, r *work.Request, x admission.Result) {
	l := d.Ledger(p.Own.Endpoint.Name)
	if r.MayRun {
		l.HoldToDeadline(p.Reservation)
		p.HoldUntil(r.Deadline)
	} else {
		l.Release(p.Reservation)
	}
	p.Release(x)
}

// failureResult returns the result of a request without an answer: the endpoint failed,
// unless the context has ended.
func failureResult(ctx context.Context) admission.Result {
	if ctx.Err() != nil {
		return admission.Abandoned
	}
	return admission.Failed
}

// bodyResult returns the result of a request whose answer's body was closed; err is as
// for the body's done.
func bodyResult(ctx context.Context, err error) admission.Result {
	if err == nil {
		return admission.Succeeded
	}
	return failureResult(ctx)
}
