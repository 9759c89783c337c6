package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"heatherford/core/balance"
	"heatherford/core/code"
)

// finalAnswer returns the final answer if the request is not sent again: an
// endpoint's own answer if there is one, else that the outcome is unknown if the
// request may have run, else a.
func (r *requestState) finalAnswer(a *Answer) *Answer {
	switch {
	case r.fallback != nil:
		return r.fallback
	case r.mayHaveRun:
		return unknownAnswer(code.OutcomeUnknown, a.Detail)
	default:
		return a
	}
}

// refusedAnswer returns the answer to a request that was not run.
func refusedAnswer(c code.Code, detail string, retryAt time.Time) *Answer {
	return &Answer{
		Status:  http.StatusServiceUnavailable,
		Code:    c,
		Detail:  detail,
		RetryAt: retryAt,
	}
}

// unknownAnswer returns the answer to a request that may have run.
func unknownAnswer(c code.Code, detail string) *Answer {
	return &Answer{
		Status: http.StatusBadGateway,
		Code:   c,
		Detail: detail,
	}
}

// contextAnswer returns the final answer once ctx has ended: that of the deadline, or nil
// if the client disconnected before.
func (r *requestState) contextAnswer(ctx context.Context) *Answer {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil
	}
	return r.deadlineAnswer()
}

// deadlineAnswer returns the final answer at the deadline: an endpoint's own answer, or
// that none came in time.
func (r *requestState) deadlineAnswer() *Answer {
	if r.fallback != nil {
		return r.fallback
	}
	return &Answer{
		Status: http.StatusGatewayTimeout,
		Code:   code.UpstreamSilent,
		Detail: "no answer in time",
	}
}

// handleResult handles the result of an attempt. It returns the final answer, or nil
// if the request goes on.
func (r *requestState) handleResult(ctx context.Context, x *attemptResult) *Answer {
	r.recordResult(x)
	if ctx.Err() != nil {
		return r.contextAnswer(ctx)
	}
	c := x.result
	id := x.choice.Target.ID
	switch {
	case c.Refusal != nil && c.Refusal.Code == code.RequestQuarantined:
		r.returnRetry(x.retry, time.Now())
		return r.finalAnswer(refusedAnswer(c.Refusal.Code, c.Refusal.Detail, time.Now().Add(c.Refusal.RetryIn)))
	case c.Refusal != nil:
		r.refusals++
		r.returnRetry(x.retry, time.Now())
		if c.Refusal.Code == code.RankFull {
			r.ask.RefusedBy = append(r.ask.RefusedBy, id)
			r.edge.balancer.RecordRefusal(x.choice, r.ask.Rank, time.Now().Add(min(maxRankFullTime, c.Refusal.RetryIn/2)))
		} else {
			r.ask.Avoid = append(r.ask.Avoid, id)
		}
		return r.retry(ctx, refusedAnswer(c.Refusal.Code, c.Refusal.Detail, time.Now().Add(c.Refusal.RetryIn)))
	case c.Failure != nil && !c.Failure.Sent && c.Failure.Reason == ReasonInvalid:
		r.returnRetry(x.retry, time.Now())
		return r.finalAnswer(&Answer{
			Status: http.StatusBadRequest,
			Code:   code.RequestInvalid,
			Detail: "the request cannot be passed on",
		})
	case c.Failure != nil && !c.Failure.Sent:
		r.refusals++
		r.returnRetry(x.retry, time.Now())
		r.ask.Avoid = append(r.ask.Avoid, id)
		return r.retry(ctx, refusedAnswer(code.NoEndpoint, "endpoint "+id+" is unreachable", r.nextRetryTime()))
	case c.Failure != nil && !time.Now().Before(r.deadline):
		// The wait for the endpoint ends at the deadline too, and may end before ctx.
		return r.deadlineAnswer()
	case c.Failure != nil:
		r.recordAttempt(id)
		r.mayHaveRun = true
		r.crashes = max(r.crashes, c.Failure.Crashes)
		return r.retry(ctx, unknownAnswer(code.AnswerIncomplete, c.Failure.Reason+" at endpoint "+id))
	case !c.Reply.Ran:
		r.recordAttempt(id)
		return r.retry(ctx, refusedAnswer(code.UpstreamRefused, "endpoint "+id+" rejected the request", r.nextRetryTime()))
	case !c.Reply.Genuine && c.Reply.Status < redirectStatus:
		r.recordAttempt(id)
		r.mayHaveRun = true
		return r.retry(ctx, unknownAnswer(code.AnswerForeign, "answer of endpoint "+id+" has no mark"))
	default:
		return r.handleReply(ctx, x)
	}
}

// recordAttempt records an endpoint that may have received the request, which is not
// sent there again.
func (r *requestState) recordAttempt(endpoint string) {
	r.attempts++
	r.ask.Avoid = append(r.ask.Avoid, endpoint)
}

// nextRetryTime returns when a client may come back whose endpoints had no room: at a
// random time between 100 and 400 ms from now, or when the first endpoint wants requests
// again if none does.
func (r *requestState) nextRetryTime() time.Time {
	const minDelay, spread = 100 * time.Millisecond, 300 * time.Millisecond
	now := time.Now()
	t := now.Add(minDelay + time.Duration(rand.Float64()*float64(spread)))
	if x := r.edge.balancer.RetryAt(r.ask, now); x.After(t) {
		return x
	}
	return t
}

// handleReply decides on an endpoint's own answer. A repeatable request that failed
// there is retried at another endpoint.
func (r *requestState) handleReply(ctx context.Context, x *attemptResult) *Answer {
	p := x.result.Reply
	r.recordAttempt(x.choice.Target.ID)
	r.endpointTime = x.result.Took
	r.queueTime = x.result.Queued
	a := &Answer{
		Status:   p.Status,
		Header:   p.Header,
		Body:     p.Body,
		Code:     code.Answered,
		Endpoint: x.choice.Target.ID,
	}
	// A promise that a request was not run is only passed on if the endpoint made it.
	promise := promisesNotRun(p.Status) && !r.route.Repeatable
	if p.Status < errorStatus && !promise {
		r.edge.sizes.observe(r.route, len(r.request.Body)+len(p.Body))
		return a
	}
	r.mayHaveRun = true
	switch {
	case promise:
		a = unknownAnswer(code.OutcomeUnknown, "endpoint "+a.Endpoint+" answered "+strconv.Itoa(p.Status)+" and may have run the request")
	case !p.Genuine:
		// Without the endpoint's mark it is not certain that the status is the
		// endpoint's, and some statuses promise that a request was not run.
		a = unknownAnswer(code.AnswerForeign, "endpoint "+a.Endpoint+" failed")
	}
	if r.fallback == nil || a.Code == code.Answered {
		r.fallback = a
	}
	return r.retry(ctx, a)
}

// promisesNotRun reports whether a status promises clients that a request was not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// retry sends the request to another endpoint if that is allowed and useful, or
// returns the final answer. Once an endpoint may have received the request, each
// further attempt takes from the retry budget, whatever the results of those in
// between.
func (r *requestState) retry(ctx context.Context, a *Answer) *Answer {
	if r.inFlight > 0 {
		return nil
	}
	isRetry := r.attempts > 0
	r.ask.Retry = isRetry
	if !r.mayRetry() || (isRetry && !r.takeRetry(time.Now())) {
		return r.finalAnswer(a)
	}
	if e := r.send(ctx, isRetry); e != nil {
		if e.Code.Outcome() == code.NotRun {
			return r.finalAnswer(withLaterRetry(a, e))
		}
		return e
	}
	return nil
}

// takeRetry takes a retry from the budget and reports whether there was one.
func (r *requestState) takeRetry(now time.Time) bool {
	if !r.retryBudget.Take(now, r.edge.View().BudgetHosts) {
		return false
	}
	r.retries++
	return true
}

// withLaterRetry returns the refusal a with the later one of the retry times of a and
// e. What a says of one endpoint does not count beside what e says of all.
func withLaterRetry(a, e *Answer) *Answer {
	if a.RetryAt.Before(e.RetryAt) || (a.Code == code.NoEndpoint && e.Code == code.NoEndpoint) {
		a.RetryAt = e.RetryAt
	}
	return a
}

// mayRetry reports whether the request may be sent to another endpoint, budget aside.
func (r *requestState) mayRetry() bool {
	switch {
	case r.edge.leaving.over.Err() != nil:
		return false
	case r.mayHaveRun && !r.route.Repeatable, r.crashes > retriedCrashes:
		return false
	case r.attempts+r.inFlight >= r.route.Attempts, r.refusals > maxRefusals:
		return false
	default:
		return time.Until(r.deadline) > retryMargin
	}
}

// hedge sends a repeatable request to a second endpoint if the first one has not
// answered for long.
func (r *requestState) hedge(ctx context.Context) {
	if !r.route.Repeatable || r.inFlight != 1 || !r.mayRetry() {
		return
	}
	now := time.Now()
	if !r.isLate(now) || !r.takeRetry(now) {
		return
	}
	a := r.ask
	a.Retry = true
	a.Avoid = append(append([]string{}, a.Avoid...), r.firstEndpoint)
	c, refusal := r.edge.balancer.Pick(a, now)
	if refusal != nil {
		r.returnRetry(true, now)
		return
	}
	r.hedges++
	r.startAttempt(ctx, c, true, now)
}

// isLate reports whether the request has been waiting for much longer than expected.
func (r *requestState) isLate(now time.Time) bool {
	return now.Sub(r.request.Arrived) > max(minHedgeDelay, time.Duration(hedgeFactor*float64(r.expectedTime)))
}

// recordResult passes the result of an attempt to the balancer and logs it.
func (r *requestState) recordResult(x *attemptResult) {
	now := time.Now()
	c := x.result
	served := c.Reply != nil && c.Reply.Ran
	if c.Reply != nil && outcomeOf(context.Background(), c) == balance.Answered {
		r.edge.balancer.RecordForwarded(x.choice, r.ask.Class, c.Took, now)
	}
	r.edge.balancer.Done(x.choice, served, now)
	t := x.choice
	r.edge.options.Log("try", "request", r.request.ID, "object", r.request.Object, "upstream", r.upstream,
		"endpoint", t.Target.ID, "owner", t.Target.Owner, "level", t.Level, "place", t.Position, "load", t.Load,
		"load_age", t.LoadAge, "took", now.Sub(x.sentAt), "before", x.attemptsBefore, "repeat", x.retry, "outcome", c.outcome())
}

// outcome returns the outcome of the attempt for logs.
func (c *ForwardResult) outcome() string {
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
