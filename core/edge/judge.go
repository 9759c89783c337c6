package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"heatherford/core/code"
)

// giveUp returns the final answer where no further sending is possible: what an
// endpoint answered if anything, else a refusal if nothing was run.
func (r *run) giveUp(a *Answer) *Answer {
	switch {
	case r.last != nil:
		return r.last
	case r.unknown:
		return unknown(code.OutcomeUnknown, a.Detail)
	default:
		return a
	}
}

func refused(c code.Code, detail string, again time.Time) *Answer {
	return &Answer{
		Status: http.StatusServiceUnavailable,
		Code:   c,
		Detail: detail,
		Again:  again,
	}
}

func unknown(c code.Code, detail string) *Answer {
	return &Answer{
		Status: http.StatusBadGateway,
		Code:   c,
		Detail: detail,
	}
}

// expired returns the final answer at the deadline, or nil if the client went
// away before it.
func (r *run) expired(ctx context.Context) *Answer {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil
	}
	if r.last != nil {
		return r.last
	}
	return &Answer{
		Status: http.StatusGatewayTimeout,
		Code:   code.UpstreamSilent,
		Detail: "no answer in time",
	}
}

// judge takes in the result of a sending and returns the final answer, or nil if
// the request goes on.
func (r *run) judge(ctx context.Context, x *result) *Answer {
	r.settle(x)
	if ctx.Err() != nil {
		return r.expired(ctx)
	}
	c := x.carry
	id := x.choice.Target.ID
	switch {
	case c.Refusal != nil:
		r.refusals++
		r.giveBack(x.repeat, time.Now())
		if c.Refusal.Code == code.RankFull {
			r.ask.Full = append(r.ask.Full, id)
			r.edge.balancer.Refused(x.choice, r.ask.Rank, time.Now().Add(min(busyMost, c.Refusal.AgainIn/2)))
		} else {
			r.ask.Avoid = append(r.ask.Avoid, id)
		}
		return r.again(ctx, refused(c.Refusal.Code, c.Refusal.Detail, time.Now().Add(c.Refusal.AgainIn)))
	case c.Failure != nil && !c.Failure.Sent:
		r.refusals++
		r.giveBack(x.repeat, time.Now())
		r.ask.Avoid = append(r.ask.Avoid, id)
		return r.again(ctx, refused(code.NoEndpoint, "endpoint "+id+" cannot be reached", r.soon()))
	case c.Failure != nil:
		r.tried(id)
		r.unknown = true
		return r.again(ctx, unknown(code.AnswerIncomplete, c.Failure.Reason+" at endpoint "+id))
	case !c.Reply.Ran:
		r.tried(id)
		return r.again(ctx, refused(code.UpstreamRefused, "endpoint "+id+" did not run it", r.soon()))
	case !c.Reply.Genuine && c.Reply.Status < redirectStatus:
		r.tried(id)
		r.unknown = true
		return r.again(ctx, unknown(code.AnswerForeign, "answer of endpoint "+id+" bears no mark"))
	default:
		return r.answered(ctx, x)
	}
}

// tried notes an endpoint that got the request.
func (r *run) tried(endpoint string) {
	r.attempts++
	r.ask.Avoid = append(r.ask.Avoid, endpoint)
}

// soon returns when a client may come back whose endpoints had no room.
func (r *run) soon() time.Time {
	const least, spread = 100 * time.Millisecond, 300 * time.Millisecond
	return time.Now().Add(least + time.Duration(rand.Float64()*float64(spread)))
}

// answered decides on an endpoint's own answer: a failure of a repeatable
// request is tried elsewhere.
func (r *run) answered(ctx context.Context, x *result) *Answer {
	p := x.carry.Reply
	r.tried(x.choice.Target.ID)
	r.waited = x.carry.Took
	r.queued = x.carry.Queued
	a := &Answer{
		Status:   p.Status,
		Header:   p.Header,
		Body:     p.Body,
		Code:     code.Answered,
		Endpoint: x.choice.Target.ID,
	}
	if p.Status < errorStatus {
		r.edge.sizes.observe(r.route, len(r.request.Body)+len(p.Body))
		return a
	}
	r.unknown = true
	if !p.Genuine {
		// Only the endpoint's mark makes its status more than a guess, and
		// some statuses promise that a request was not run.
		a = unknown(code.AnswerForeign, "endpoint "+x.choice.Target.ID+" failed")
	}
	if r.last == nil || a.Code == code.Answered {
		r.last = a
	}
	return r.again(ctx, a)
}

// again sends once more if that is allowed and useful, or returns the final
// answer. Once an endpoint got the request, each further sending takes from the
// budget, whatever became of those in between.
func (r *run) again(ctx context.Context, a *Answer) *Answer {
	if r.flying > 0 {
		return nil
	}
	repeat := r.attempts > 0
	r.ask.Retry = repeat
	if !r.mayRepeat() || (repeat && !r.takeRepeat(time.Now())) {
		return r.giveUp(a)
	}
	if e := r.send(ctx, repeat); e != nil {
		if e.Code.Outcome() == code.NotRun {
			return r.giveUp(later(a, e))
		}
		return e
	}
	return nil
}

// takeRepeat takes a repeat from the budget and reports whether there was one.
func (r *run) takeRepeat(now time.Time) bool {
	if !r.window.Take(now, r.edge.View().Sharers) {
		return false
	}
	r.repeats++
	return true
}

// later returns the refusal a with the time to come back of e.
func later(a, e *Answer) *Answer {
	if a.Again.Before(e.Again) {
		a.Again = e.Again
	}
	return a
}

// mayRepeat reports whether the request may go to another endpoint.
func (r *run) mayRepeat() bool {
	switch {
	case r.unknown && !r.route.Repeatable:
		return false
	case r.attempts+r.flying >= r.route.Attempts, r.refusals > maxRefusals:
		return false
	default:
		return time.Until(r.deadline) > retryMargin
	}
}

// hedge sends a repeatable request to a second endpoint if the first one is late
// or silent.
func (r *run) hedge(ctx context.Context) {
	if !r.route.Repeatable || r.flying != 1 || !r.mayRepeat() {
		return
	}
	now := time.Now()
	if !r.late(now) || !r.takeRepeat(now) {
		return
	}
	a := r.ask
	a.Retry = true
	a.Avoid = append(append([]string{}, a.Avoid...), r.first)
	c, refusal := r.edge.balancer.Pick(a, now)
	if refusal != nil {
		r.giveBack(true, now)
		return
	}
	r.hedges++
	r.launch(ctx, c, true, now)
}

// late reports whether the request waits for longer than usual.
func (r *run) late(now time.Time) bool {
	return now.Sub(r.request.Arrived) > max(hedgeLeast, time.Duration(hedgeFactor*float64(r.usual)))
}

// settle tells the balancer what became of a sending.
func (r *run) settle(x *result) {
	now := time.Now()
	c := x.carry
	served := c.Reply != nil && c.Reply.Ran
	r.edge.balancer.Done(x.choice, served, now)
	t := x.choice
	r.edge.options.Log("try", "request", r.request.ID, "object", r.request.Object, "upstream", r.upstream,
		"endpoint", t.Target.ID, "owner", t.Target.Owner, "level", t.Level, "place", t.Place, "load", t.Load,
		"load_age", t.LoadAge, "took", now.Sub(x.sentAt), "before", x.before, "repeat", x.repeat, "outcome", c.outcome())
}

// outcome returns a word for logs.
func (c *Carry) outcome() string {
	switch {
	case c.Refusal != nil:
		return "refused"
	case c.Failure != nil:
		return c.Failure.Reason
	case !c.Reply.Ran:
		return "rejected"
	default:
		return "answered"
	}
}
