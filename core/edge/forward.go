package edge

import (
	"context"
	"errors"
	"time"

	"heatherford/core/balance"
	"heatherford/core/code"
	"heatherford/core/fleet"
	"heatherford/core/quarantine"
	"heatherford/core/registry"
)

// unreachableFor is the backoff of a host that could not be reached: no request is
// forwarded to it for so long.
const unreachableFor = time.Second

// attempt is one attempt to send a request to an endpoint.
type attempt struct {
	request *Request
	ask     balance.Request
	// once is true if the request must not be sent a second time.
	once bool
	// trial is true if the endpoint is the one that may try a blocked request.
	trial bool
	// endpointsAt is when the endpoints were last known to be current as the request
	// was sent.
	endpointsAt time.Time
}

// sendViaOwner has the owner of an endpoint send a request: it forwards the request
// to the owner, or sends it as the owner if that is this host or cannot be reached.
func (e *Edge) sendViaOwner(ctx context.Context, t balance.Target, a *attempt) *ForwardResult {
	owner, ok := e.remoteOwner(t.Owner, time.Now())
	if !ok {
		return e.sendAsOwner(ctx, t.ID, a)
	}
	now := time.Now()
	q := a.request
	c, err := e.options.Transport.Forward(ctx, owner, &ForwardRequest{
		Endpoint:  t.ID,
		ID:        q.ID + "." + t.ID,
		Request:   q.ID,
		Method:    q.Method,
		Host:      q.Host,
		Target:    q.Target,
		Header:    q.Header,
		Object:    q.Object,
		Caller:    q.Caller,
		Key:       a.ask.Key,
		Class:     a.ask.Class,
		Rank:      a.ask.Rank,
		Retry:     a.ask.Retry,
		Once:      a.once,
		Trial:     a.trial,
		Objective: a.ask.Objective.Sub(now),
		Remaining: a.ask.Deadline.Sub(now),
		Body:      q.Body,
	})
	if err == nil {
		e.balancer.RecordLeaving(c.Leaving, time.Now())
	}
	if err == nil && c.Refusal != nil && c.Refusal.Code == code.HostIsolated {
		// What the owner says is newer than its heartbeats.
		e.recordIsolated(t.Owner, now)
		return e.sendAsOwner(ctx, t.ID, a)
	}
	if err == nil {
		if c.State != nil {
			e.balancer.RecordStates(map[string]balance.State{
				t.ID: *c.State,
			}, time.Now())
		}
		if c.Refusal == nil || c.Refusal.Code != code.HostStopping {
			return c
		}
		e.markUnreachable(t.Owner)
		e.options.Log("carry", "request", q.ID, "to", t.Owner, "outcome", "stopping")
		return e.sendAsOwner(ctx, t.ID, a)
	}
	f := asFailure(err)
	if !f.Sent && ctx.Err() == nil {
		e.markUnreachable(t.Owner)
		e.options.Log("carry", "request", q.ID, "to", t.Owner, "outcome", "unreachable", "err", err)
		return e.sendAsOwner(ctx, t.ID, a)
	}
	f.Reason = "host " + t.Owner + " " + f.Reason
	return &ForwardResult{
		Failure: f,
	}
}

// asFailure returns the *Failure in err. Any other error counts as a connection that
// was reset after the request was sent.
func asFailure(err error) *Failure {
	f := (*Failure)(nil)
	if errors.As(err, &f) {
		return f
	}
	return &Failure{
		Sent:   true,
		Reason: reasonReset,
		Cause:  err,
	}
}

// remoteOwner returns the named host. It reports false if that is this host, is in
// backoff or is not live.
func (e *Edge) remoteOwner(name string, now time.Time) (fleet.Member, bool) {
	if name == e.options.Self.Name {
		return fleet.Member{}, false
	}
	e.mu.Lock()
	unreachable := now.Before(e.unreachableUntil[name])
	e.mu.Unlock()
	if unreachable {
		return fleet.Member{}, false
	}
	for _, m := range e.View().Live {
		if m.Name == name {
			return m, true
		}
	}
	return fleet.Member{}, false
}

// markUnreachable starts the backoff of a host that could not be reached.
func (e *Edge) markUnreachable(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unreachableUntil[name] = time.Now().Add(unreachableFor)
}

// HandleForward sends a request that another host forwarded to this one.
func (e *Edge) HandleForward(ctx context.Context, c *ForwardRequest) *ForwardResult {
	now := time.Now()
	deadline := now.Add(c.Remaining)
	if e.leavesBefore(deadline) {
		return &ForwardResult{
			Refusal: &Refusal{
				Code:   code.HostStopping,
				Detail: leavingDetail,
			},
		}
	}
	ctx, release := e.withLeaving(ctx)
	defer release()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	a := &attempt{
		once:  c.Once,
		trial: c.Trial,
		ask: balance.Request{
			Key:       c.Key,
			Class:     c.Class,
			Rank:      c.Rank,
			Retry:     c.Retry,
			Objective: now.Add(c.Objective),
			Deadline:  deadline,
		},
		request: &Request{
			ID:      c.Request,
			Method:  c.Method,
			Host:    c.Host,
			Target:  c.Target,
			Header:  c.Header,
			Body:    c.Body,
			Object:  c.Object,
			Caller:  c.Caller,
			Arrived: now,
		},
	}
	x := (*ForwardResult)(nil)
	if err := e.contain("forwarded request", func() error {
		x = e.sendAsOwner(ctx, c.Endpoint, a)
		return nil
	}); err != nil {
		return internalFailure(err)
	}
	x.Leaving = e.balancer.LeavingOf(c.Endpoint)
	return x
}

// sendAsOwner sends a request to an endpoint as its owner, once the admission queue
// admits it.
func (e *Edge) sendAsOwner(ctx context.Context, endpoint string, a *attempt) *ForwardResult {
	p, refusal := e.balancer.Acquire(ctx, endpoint, a.ask)
	if refusal != nil {
		e.options.Log("refused", "request", a.request.ID, "endpoint", endpoint, "rank", a.ask.Rank,
			"code", int(refusal.Code), "detail", refusal.Detail)
		return &ForwardResult{
			Refusal: &Refusal{
				Code:    refusal.Code,
				Detail:  refusal.Detail,
				RetryIn: max(0, time.Until(refusal.RetryAt)),
			},
			State: refusal.State,
		}
	}
	if ctx.Err() != nil || e.leaving.over.Err() != nil {
		return e.finish(p, balance.Withdrawn, nil, time.Now(), a, &ForwardResult{
			Refusal: &Refusal{
				Code:   code.RequestCancelled,
				Detail: "the request was cancelled before it was sent",
			},
		})
	}
	if !e.mayRun(ctx, p.Target, a) {
		return e.finish(p, balance.Withdrawn, nil, time.Now(), a, e.quarantinedResult(a.request))
	}
	began := time.Now()
	f := a.request.fingerprint()
	visit := e.visits.Begin(incarnationOf(p.Target), f)
	a.endpointsAt = e.View().CurrentAt[registry.Endpoints]
	sendCtx, done := e.silentSends.context(ctx, !a.once)
	defer done()
	c := e.sendSafely(sendCtx, &EndpointRequest{
		Request:  a.request,
		Target:   p.Target,
		Deadline: a.ask.Deadline,
		Once:     a.once,
		NewConn:  p.NewConn,
	})
	o := outcomeOf(ctx, c)
	if c.Failure != nil && sendCtx.Err() != nil {
		o = balance.Withdrawn
	}
	e.endVisit(visit, c)
	e.recordReach(o, c)
	e.recordRun(p.Target, f, o, began)
	result := e.finish(p, o, c.Reply, began, a, c)
	switch {
	case o == balance.Unreachable:
		e.recordRefusal(p.Target)
	case o == balance.Broken && c.Failure != nil && c.Failure.isBreakage():
		c.Failure.Crashes = e.recordBreakage(ctx, p.Target, f)
	}
	return result
}

// endVisit records that this host no longer waits for an endpoint's answer.
func (e *Edge) endVisit(v *quarantine.Visit, c *ForwardResult) {
	switch {
	case c.Failure != nil && c.Failure.Sent:
		e.visits.Abandon(v, time.Now())
	case c.Reply != nil && c.Reply.Ran:
		e.visits.Complete(v, time.Now())
	default:
		e.visits.End(v)
	}
}

// finish releases a permit with the result of its attempt, and fills in the state of
// the endpoint and the times.
func (e *Edge) finish(p *balance.Permit, o balance.Outcome, reply *Reply, began time.Time, a *attempt, c *ForwardResult) *ForwardResult {
	now := time.Now()
	r := balance.Result{
		Outcome: o,
		Load:    -1,
	}
	if reply != nil {
		r.Load = reply.Load
		r.Limit = reply.Limit
		r.Leaving = reply.Leaving
		if reply.Backoff > 0 {
			r.BackoffUntil = now.Add(reply.Backoff)
			e.options.Log("backoff", "endpoint", p.Target.ID, "upstream", p.Target.Upstream, "request", a.request.ID, "for", reply.Backoff)
		}
		if reply.ColdLeft > 0 {
			r.ColdUntil = now.Add(reply.ColdLeft)
		}
	}
	s := e.balancer.Release(p, r, now)
	c.State = &s
	c.Queued = p.Waited
	c.Took = now.Sub(began)
	e.options.Log("sent", "request", a.request.ID, "object", a.request.Object, "upstream", p.Target.Upstream,
		"endpoint", p.Target.ID, "queued", p.Waited, "took", c.Took, "load", s.Load, "reported", r.Load,
		"limit", r.Limit, "news_age", ageOf(a.endpointsAt, began), "outcome", o, "failure", reasonOf(c.Failure))
	e.logSuspension(p, o, a, c)
	return c
}

// logSuspension logs that this attempt suspended the endpoint, or ended its
// suspension.
func (e *Edge) logSuspension(p *balance.Permit, o balance.Outcome, a *attempt, c *ForwardResult) {
	switch {
	case o == balance.Answered && p.NewConn:
		e.options.Log("rest", "endpoint", p.Target.ID, "upstream", p.Target.Upstream, "state", "back", "request", a.request.ID)
	case c.State.SuspendedFor > 0 && (o == balance.Broken || o == balance.Unreachable || o == balance.WrongEndpoint):
		e.options.Log("rest", "endpoint", p.Target.ID, "upstream", p.Target.Upstream, "state", "resting", "request", a.request.ID,
			"by", o, "failure", reasonOf(c.Failure), "failing", c.State.FailureRate, "for", c.State.SuspendedFor)
	}
}

// outcomeOf returns what a result says about its endpoint.
func outcomeOf(ctx context.Context, c *ForwardResult) balance.Outcome {
	switch {
	case c.Failure != nil && (ctx.Err() != nil || c.Failure.Reason == reasonInternal || c.Failure.Reason == ReasonInvalid):
		return balance.Withdrawn
	case c.Failure != nil && !c.Failure.Sent:
		return balance.Unreachable
	case c.Failure != nil:
		return balance.Broken
	case c.Reply.Misplaced:
		return balance.WrongEndpoint
	case !c.Reply.Ran:
		return balance.Rejected
	case c.Reply.Status >= errorStatus:
		return balance.Erred
	case !c.Reply.Genuine && c.Reply.Status < redirectStatus:
		return balance.Broken
	default:
		return balance.Answered
	}
}

// reasonOf returns the reason of a failure, or an empty string for nil.
func reasonOf(f *Failure) string {
	if f == nil {
		return ""
	}
	return f.Reason
}
