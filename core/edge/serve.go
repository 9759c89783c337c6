package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherford/core/balance"
	"heatherford/core/budget"
	"heatherford/core/code"
	"heatherford/core/route"
)

const (
	// maxRefusals bounds the refusals and unreachable endpoints of a request, beside
	// its attempts.
	maxRefusals = 2
	// maxInFlight is the most attempts of a request in flight: one and a hedge.
	maxInFlight = 2
	// hedgeFactor is how many times the expected time a repeatable request waits
	// before it is sent to a second endpoint too.
	hedgeFactor = 4.5
	// minHedgeDelay is the least time that it waits.
	minHedgeDelay = 150 * time.Millisecond
	// hedgeInterval is how often a request in flight is checked for that.
	hedgeInterval = 100 * time.Millisecond
	// hostBehindDelay is when a client may come back whose request met a host without
	// a declaration.
	hostBehindDelay = 300 * time.Millisecond
	// retryMargin is the least time before the deadline at which a request is sent
	// again.
	retryMargin = 30 * time.Millisecond
	// maxRankFullTime is the longest time for which an owner's refusal of a request
	// counts for further requests of its rank too.
	maxRankFullTime = 200 * time.Millisecond
	// redirectStatus and errorStatus are the first statuses of answers that are no
	// success, and of those that report a failure of the endpoint.
	redirectStatus = http.StatusMultipleChoices
	errorStatus    = http.StatusInternalServerError
	// answerMargin is the part of the route's timeout that is kept for the way of the
	// answer to the client.
	answerMargin = 5 * time.Millisecond
)

// Observation is the outcome of a request.
type Observation struct {
	Request *Request
	Route   *route.Route
	Answer  *Answer
	// Version is that of the declaration by which the request was served, or 0 if
	// none was known.
	Version uint64
	// Attempts is the number of endpoints that may have received the request.
	// Attempts that are still in flight at the end are not counted.
	Attempts int
	// Hedges is the number of attempts that were sent while another one was in
	// flight.
	Hedges int
	// Retries is the number of attempts that were taken from the retry budget.
	Retries int
	// Ended is when the answer was ready.
	Ended time.Time
	// EndpointTime is the time at the endpoint of the attempt that was answered, and
	// QueueTime its time in the admission queue of the endpoint's owner.
	EndpointTime time.Duration
	QueueTime    time.Duration
}

// requestState is the state of a request in progress. Only one goroutine uses it.
type requestState struct {
	edge        *Edge
	request     *Request
	route       *route.Route
	version     uint64
	upstream    string
	ask         balance.Request
	retryBudget *budget.Window
	deadline    time.Time
	// attempts is the number of endpoints that may have received the request, and
	// refusals the number of attempts that were refused or unreachable.
	attempts int
	refusals int
	hedges   int
	// retries is the number of attempts that were taken from the retry budget.
	retries int
	// firstEndpoint is the endpoint that was chosen first.
	firstEndpoint string
	// expectedTime is the time in which the first endpoint was expected to answer,
	// its queue included.
	expectedTime time.Duration
	// mayHaveRun is true if an endpoint may have run the request.
	mayHaveRun bool
	// trial is true if the request is blocked, and the endpoint that it goes to may try it.
	trial bool
	// crashes is the number of endpoints that have crashed with requests of the same
	// content in flight, if this request met one of the crashes.
	crashes int
	// fallback is the newest failure that can be the final answer, or nil.
	fallback *Answer
	// inFlight is the number of attempts without a result.
	inFlight int
	// results has room for all attempts in flight, so that none waits for its receiver.
	results      chan attemptResult
	endpointTime time.Duration
	queueTime    time.Duration
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	choice *balance.Choice
	result *ForwardResult
	sentAt time.Time
	// retry is true if the attempt was taken from the retry budget.
	retry bool
	// attemptsBefore is the number of endpoints that had received the request, or
	// might receive it, when the attempt was sent.
	attemptsBefore int
}

// Serve serves a request and returns its final answer, or nil if ctx ended because
// the client disconnected.
func (e *Edge) Serve(ctx context.Context, q *Request) *Answer {
	r := &requestState{
		edge:    e,
		request: q,
	}
	a := (*Answer)(nil)
	if err := e.contain("request", func() error {
		a = r.serve(ctx)
		return nil
	}); err != nil {
		a = unknownAnswer(code.OutcomeUnknown, "the host failed with the request")
	}
	gone := a == nil
	if gone {
		a = &Answer{
			Code:   code.RequestCancelled,
			Detail: "the client disconnected",
		}
	}
	// A panic costs the observation, not the answer.
	_ = e.contain("observation", func() error {
		e.options.Observe(&Observation{
			Request:      q,
			Route:        r.route,
			Version:      r.version,
			Answer:       a,
			Attempts:     r.attempts,
			Hedges:       r.hedges,
			Retries:      r.retries,
			Ended:        time.Now(),
			EndpointTime: r.endpointTime,
			QueueTime:    r.queueTime,
		})
		return nil
	})
	if gone {
		return nil
	}
	return a
}

func (r *requestState) serve(ctx context.Context) *Answer {
	v := r.edge.View()
	q := r.request
	if v.Table == nil || !v.EndpointsKnown {
		return refusedAnswer(code.HostBehind, "no declaration is known yet", time.Now().Add(hostBehindDelay))
	}
	r.version = v.Table.Declaration.Version
	r.route = v.Table.Find(q.Host, q.Path)
	if r.route == nil {
		return &Answer{
			Status: http.StatusNotFound,
			Code:   code.KindUnknown,
			Detail: "no route for the host and path",
		}
	}
	block := r.edge.blockOf(q)
	if !r.mayBeSent(block) {
		return r.edge.quarantined(q, block)
	}
	r.setDeadline()
	if r.edge.leavesBefore(r.deadline) {
		return leavingAnswer()
	}
	r.prepare()
	if r.restrict(block); r.ask.Only != nil && len(r.ask.Only) == 0 {
		return r.edge.quarantined(q, block)
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	return r.awaitAnswer(ctx)
}

// setDeadline sets the earliest of the deadlines of the client and the route.
func (r *requestState) setDeadline() {
	q, t := r.request, r.route
	r.deadline = q.Deadline
	if end := q.Arrived.Add(t.Timeout - answerMargin); t.Timeout > 0 && (r.deadline.IsZero() || end.Before(r.deadline)) {
		r.deadline = end
	}
	if r.deadline.IsZero() {
		const defaultTimeout = time.Minute
		r.deadline = q.Arrived.Add(defaultTimeout)
	}
}

// prepare sets the upstream and what the balancer needs to know of the request.
func (r *requestState) prepare() {
	q, t := r.request, r.route
	r.upstream = r.edge.splitter.next(t)
	r.retryBudget = r.edge.retryBudget(r.upstream)
	r.retryBudget.CountRequest(q.Arrived)
	r.ask = balance.Request{
		Upstream:   r.upstream,
		Key:        affinityKey(t, q),
		Class:      t.Name,
		RegionWide: r.edge.sizes.regionWide(t),
		Rank:       t.Rank,
		Objective:  q.Arrived.Add(t.Objective),
		Deadline:   r.deadline,
	}
	if len(t.Regions) > 0 {
		r.ask.Allows = t.Allows
	}
	r.results = make(chan attemptResult, maxInFlight)
}

// affinityKey returns a key by which requests of one object prefer the same
// endpoints, if the route has affinity, else a random one. Objects of the same name
// in different routes have different keys.
func affinityKey(t *route.Route, q *Request) uint64 {
	if q.Object == "" || !t.Affinity {
		return rand.Uint64()
	}
	return xxhash.Sum64String(t.Name + "\x00" + q.Object)
}

// awaitAnswer sends the request, and again if needed, until there is a final answer.
func (r *requestState) awaitAnswer(ctx context.Context) *Answer {
	if a := r.send(ctx, false); a != nil {
		return a
	}
	defer r.collectAbandoned()
	t := time.NewTimer(hedgeInterval)
	defer t.Stop()
	for {
		select {
		case x := <-r.results:
			r.inFlight--
			if a := r.handleResult(ctx, &x); a != nil {
				return a
			}
		case <-t.C:
			r.hedge(ctx)
			t.Reset(hedgeInterval)
		case <-ctx.Done():
			return r.contextAnswer(ctx)
		}
	}
}

// collectAbandoned collects the results of attempts in flight that nobody waits for.
// Their context has ended or ends with the request's.
func (r *requestState) collectAbandoned() {
	n := r.inFlight
	if n == 0 {
		return
	}
	go func() {
		for range n {
			x := <-r.results
			// What a panic leaves out is the record of a result that nobody waits for.
			_ = r.edge.contain("abandoned attempt", func() error {
				r.recordResult(&x)
				return nil
			})
		}
	}()
}

// send chooses an endpoint and sends the request to it. It returns the final answer
// if that is not possible. With retry, the attempt was taken from the retry budget.
func (r *requestState) send(ctx context.Context, retry bool) *Answer {
	now := time.Now()
	if !now.Before(r.deadline) {
		return r.finalAnswer(refusedAnswer(code.DeadlinePassed, "the deadline has passed", time.Time{}))
	}
	c, refusal := r.edge.balancer.Pick(r.ask, now)
	if refusal != nil {
		r.returnRetry(retry, now)
		return r.finalAnswer(refusedAnswer(refusal.Code, refusal.Detail, refusal.RetryAt))
	}
	r.startAttempt(ctx, c, retry, now)
	return nil
}

// returnRetry gives a retry back to the budget if no endpoint received it.
func (r *requestState) returnRetry(retry bool, now time.Time) {
	if retry {
		r.retries--
		r.retryBudget.Return(now)
	}
}

// startAttempt sends the request to the endpoint of a choice, on a goroutine of its
// own.
func (r *requestState) startAttempt(ctx context.Context, c *balance.Choice, retry bool, now time.Time) {
	if r.firstEndpoint == "" {
		r.expectedTime = c.Expected
		r.firstEndpoint = c.Target.ID
	}
	attemptsBefore := r.attempts + r.inFlight
	r.inFlight++
	a := &attempt{
		request: r.request,
		ask:     r.ask,
		once:    !r.route.Repeatable,
		trial:   r.trial,
	}
	go func() {
		ctx, release := r.edge.withLeaving(ctx)
		defer release()
		r.results <- attemptResult{
			choice:         c,
			sentAt:         now,
			retry:          retry,
			attemptsBefore: attemptsBefore,
			result:         r.edge.attemptSafely(ctx, c.Target, a),
		}
	}()
}
