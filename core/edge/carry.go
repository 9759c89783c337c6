package edge

import (
	"context"
	"errors"
	"time"

	"heatherford/core/balance"
	"heatherford/core/code"
	"heatherford/core/fleet"
	"heatherford/core/registry"
)

// unreachableFor is how long a host that could not be reached is passed by.
const unreachableFor = time.Second

// job is one sending of a request to an endpoint.
type job struct {
	request *Request
	ask     balance.Ask
	once    bool
	// news is when the endpoints were last known to be current as it was sent.
	news time.Time
}

// carry has a job done by the endpoint's owner: this host, or another one that
// can be reached.
func (e *Edge) carry(ctx context.Context, t balance.Target, j *job) *Carry {
	owner, ok := e.owner(t.Owner, time.Now())
	if !ok {
		return e.perform(ctx, t.ID, j)
	}
	now := time.Now()
	q := j.request
	c, err := e.options.Seams.Carry(ctx, owner, &Carried{
		Endpoint:  t.ID,
		ID:        q.ID + "." + t.ID,
		Request:   q.ID,
		Method:    q.Method,
		Host:      q.Host,
		Target:    q.Target,
		Header:    q.Header,
		Object:    q.Object,
		Key:       j.ask.Key,
		Class:     j.ask.Class,
		Rank:      j.ask.Rank,
		Retry:     j.ask.Retry,
		Once:      j.once,
		Objective: j.ask.Objective.Sub(now),
		Left:      j.ask.Deadline.Sub(now),
		Body:      q.Body,
	})
	if err == nil {
		if c.State != nil {
			e.balancer.Tell(map[string]balance.State{
				t.ID: *c.State,
			}, time.Now())
		}
		return c
	}
	f := asFailure(err)
	if !f.Sent && ctx.Err() == nil {
		e.passBy(t.Owner)
		e.options.Log("carry", "request", q.ID, "to", t.Owner, "outcome", "unreachable", "err", err)
		return e.perform(ctx, t.ID, j)
	}
	f.Reason = "host " + t.Owner + " " + f.Reason
	return &Carry{
		Failure: f,
	}
}

func asFailure(err error) *Failure {
	f := (*Failure)(nil)
	if errors.As(err, &f) {
		return f
	}
	return &Failure{
		Sent:   true,
		Reason: "reset",
		Cause:  err,
	}
}

// owner returns the named host unless it is this one or cannot be reached.
func (e *Edge) owner(name string, now time.Time) (fleet.Member, bool) {
	if name == e.options.Self.Name {
		return fleet.Member{}, false
	}
	e.mu.Lock()
	away := now.Before(e.unreachable[name])
	e.mu.Unlock()
	if away {
		return fleet.Member{}, false
	}
	for _, m := range e.View().Live {
		if m.Name == name {
			return m, true
		}
	}
	return fleet.Member{}, false
}

func (e *Edge) passBy(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unreachable[name] = time.Now().Add(unreachableFor)
}

// Take does what another host passed on to this one.
func (e *Edge) Take(ctx context.Context, c *Carried) *Carry {
	now := time.Now()
	deadline := now.Add(c.Left)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return e.perform(ctx, c.Endpoint, &job{
		once: c.Once,
		ask: balance.Ask{
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
			Arrived: now,
		},
	})
}

// perform sends a request to an endpoint as its owner, after its turn came.
func (e *Edge) perform(ctx context.Context, endpoint string, j *job) *Carry {
	p, refusal := e.balancer.Enter(ctx, endpoint, j.ask)
	if refusal != nil {
		e.options.Log("refused", "request", j.request.ID, "endpoint", endpoint, "rank", j.ask.Rank,
			"code", int(refusal.Code), "detail", refusal.Detail)
		return &Carry{
			Refusal: &Refusal{
				Code:    refusal.Code,
				Detail:  refusal.Detail,
				AgainIn: max(0, time.Until(refusal.Again)),
			},
		}
	}
	if ctx.Err() != nil {
		return e.leave(p, balance.Withdrawn, nil, time.Now(), j, &Carry{
			Refusal: &Refusal{
				Code:   code.RequestCancelled,
				Detail: "the request ended before it was sent",
			},
		})
	}
	began := time.Now()
	j.news = e.View().Current[registry.Endpoints]
	reply, err := e.options.Seams.Send(ctx, &Sending{
		Request:  j.request,
		Target:   p.Target,
		Deadline: j.ask.Deadline,
		Once:     j.once,
		Fresh:    p.Fresh,
	})
	c := &Carry{
		Reply: reply,
	}
	if err != nil {
		c.Reply = nil
		c.Failure = asFailure(err)
	}
	return e.leave(p, outcomeOf(ctx, c), reply, began, j, c)
}

// leave ends a permit and fills in what the owner tells.
func (e *Edge) leave(p *balance.Permit, o balance.Outcome, reply *Reply, began time.Time, j *job, c *Carry) *Carry {
	now := time.Now()
	r := balance.Result{
		Outcome: o,
		Load:    -1,
	}
	if reply != nil {
		r.Load = reply.Load
		if reply.ColdLeft > 0 {
			r.ColdUntil = now.Add(reply.ColdLeft)
		}
	}
	s := e.balancer.Leave(p, r, now)
	c.State = &s
	c.Queued = p.Waited
	c.Took = now.Sub(began)
	e.options.Log("sent", "request", j.request.ID, "object", j.request.Object, "upstream", p.Target.Upstream,
		"endpoint", p.Target.ID, "queued", p.Waited, "took", c.Took, "load", s.Load, "reported", r.Load,
		"news_age", ageOf(j.news, began), "outcome", o, "failure", reasonOf(c.Failure))
	e.logRest(p, o, j, c)
	return c
}

// logRest writes a line if the endpoint rests after this sending, or is back.
func (e *Edge) logRest(p *balance.Permit, o balance.Outcome, j *job, c *Carry) {
	switch {
	case o == balance.Answered && p.Fresh:
		e.options.Log("rest", "endpoint", p.Target.ID, "upstream", p.Target.Upstream, "state", "back", "request", j.request.ID)
	case c.State.Rest > 0 && (o == balance.Broken || o == balance.Unreached || o == balance.Misplaced):
		e.options.Log("rest", "endpoint", p.Target.ID, "upstream", p.Target.Upstream, "state", "resting", "request", j.request.ID,
			"by", o, "failure", reasonOf(c.Failure), "failing", c.State.Failing, "for", c.State.Rest)
	}
}

// outcomeOf returns what a sending says of its endpoint.
func outcomeOf(ctx context.Context, c *Carry) balance.Outcome {
	switch {
	case c.Failure != nil && ctx.Err() != nil:
		return balance.Withdrawn
	case c.Failure != nil && !c.Failure.Sent:
		return balance.Unreached
	case c.Failure != nil:
		return balance.Broken
	case c.Reply.Misplaced:
		return balance.Misplaced
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

func reasonOf(f *Failure) string {
	if f == nil {
		return ""
	}
	return f.Reason
}
