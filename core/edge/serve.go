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
	// maxRefusals bounds the endpoints that are asked in vain for a request,
	// beside its attempts.
	maxRefusals = 2
	// hedgeFactor is how many usual times a repeatable request waits before it
	// is sent to a second endpoint too.
	hedgeFactor = 4.5
	// hedgeLeast is the least such time.
	hedgeLeast = 150 * time.Millisecond
	// suspectInterval is how often the endpoint of a request is looked at.
	suspectInterval = 100 * time.Millisecond
	// behindAgain is when a client may come back that met a host without a
	// declaration.
	behindAgain = 300 * time.Millisecond
	// retryMargin is the least time before the deadline for another sending.
	retryMargin = 30 * time.Millisecond
	// busyMost is the longest time for which an owner's refusal stands for
	// further requests too.
	busyMost = 200 * time.Millisecond
	// redirectStatus and errorStatus are the first statuses of answers that are
	// no success, and of those that report a failure of the endpoint.
	redirectStatus = http.StatusMultipleChoices
	errorStatus    = http.StatusInternalServerError
	// answerMargin is kept before the route's time for the answer's way.
	answerMargin = 5 * time.Millisecond
)

// Observation is what became of a request.
type Observation struct {
	Request *Request
	Route   *route.Route
	Answer  *Answer
	// Version is that of the declaration by which it was served, 0 if none was
	// known.
	Version uint64
	// Attempts is the number of endpoints that the request was sent to.
	Attempts int
	// Hedges is the number of those while another one was still at work.
	Hedges int
	// Repeats is the number of sendings that were taken from the budget.
	Repeats int
	// Ended is when the answer was ready.
	Ended time.Time
	// Waited is the time at endpoints of the sending that was answered, and
	// Queued its time in the queue of the endpoint's owner.
	Waited time.Duration
	Queued time.Duration
}

// run is a request in progress. Only one goroutine uses it.
type run struct {
	edge     *Edge
	request  *Request
	route    *route.Route
	version  uint64
	upstream string
	ask      balance.Ask
	window   *budget.Window
	deadline time.Time
	// attempts is the number of endpoints that may have got the request, and
	// refusals of those that did not get it.
	attempts int
	refusals int
	hedges   int
	// repeats is the number of sendings that were taken from the budget.
	repeats int
	// first is the endpoint that was chosen first.
	first string
	// usual is the time that the first endpoint usually takes.
	usual time.Duration
	// unknown is true if a sending may have been run.
	unknown bool
	// last is the newest failure that could be the answer, or nil.
	last *Answer
	// flying is the number of sendings without a result.
	flying  int
	results chan result
	waited  time.Duration
	queued  time.Duration
}

type result struct {
	choice *balance.Choice
	carry  *Carry
	sentAt time.Time
	// repeat is true if the sending was taken from the budget.
	repeat bool
	// before is the number of endpoints that had got the request, or might get it,
	// when it was sent.
	before int
}

// Serve serves a request and returns its final answer, or nil if ctx ended
// because the client went away.
func (e *Edge) Serve(ctx context.Context, q *Request) *Answer {
	r := &run{
		edge:    e,
		request: q,
	}
	a := r.serve(ctx)
	if a == nil {
		a = &Answer{
			Code:   code.RequestCancelled,
			Detail: "the client went away",
		}
	}
	e.options.Observe(&Observation{
		Request:  q,
		Route:    r.route,
		Version:  r.version,
		Answer:   a,
		Attempts: r.attempts,
		Hedges:   r.hedges,
		Repeats:  r.repeats,
		Ended:    time.Now(),
		Waited:   r.waited,
		Queued:   r.queued,
	})
	if a.Code == code.RequestCancelled {
		return nil
	}
	return a
}

func (r *run) serve(ctx context.Context) *Answer {
	v := r.edge.View()
	q := r.request
	if v.Table == nil || !v.Listed {
		return refused(code.HostBehind, "no declaration is known yet", time.Now().Add(behindAgain))
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
	r.prepare()
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	return r.loop(ctx)
}

// prepare fills in what the request asks of endpoints.
func (r *run) prepare() {
	q, t := r.request, r.route
	r.deadline = q.Deadline
	if end := q.Arrived.Add(t.Timeout - answerMargin); t.Timeout > 0 && (r.deadline.IsZero() || end.Before(r.deadline)) {
		r.deadline = end
	}
	if r.deadline.IsZero() {
		const most = time.Minute
		r.deadline = q.Arrived.Add(most)
	}
	r.upstream = r.edge.splits.next(t)
	r.window = r.edge.window(r.upstream)
	r.window.Count(q.Arrived)
	r.ask = balance.Ask{
		Upstream:  r.upstream,
		Key:       keyOf(t, q),
		Class:     t.Name,
		Wide:      r.edge.sizes.wide(t),
		Rank:      t.Rank,
		Objective: q.Arrived.Add(t.Objective),
		Deadline:  r.deadline,
	}
	if len(t.Regions) > 0 {
		r.ask.Allows = t.Allows
	}
	r.results = make(chan result, t.Attempts+maxRefusals+2)
}

// keyOf returns a number by which requests of one object meet, where that
// matters. Requests of other routes that concern an object of the same name are
// of another one.
func keyOf(t *route.Route, q *Request) uint64 {
	if q.Object == "" || !t.Affinity {
		return rand.Uint64()
	}
	return xxhash.Sum64String(t.Name + "\x00" + q.Object)
}

// loop sends until there is a final answer.
func (r *run) loop(ctx context.Context) *Answer {
	if a := r.send(ctx, false); a != nil {
		return a
	}
	defer r.abandon()
	t := time.NewTimer(suspectInterval)
	defer t.Stop()
	for {
		select {
		case x := <-r.results:
			r.flying--
			if a := r.judge(ctx, &x); a != nil {
				return a
			}
		case <-t.C:
			r.hedge(ctx)
			t.Reset(suspectInterval)
		case <-ctx.Done():
			return r.expired(ctx)
		}
	}
}

// abandon ends the sendings whose result nobody waits for. Their context has
// ended or ends with the request's.
func (r *run) abandon() {
	n := r.flying
	if n == 0 {
		return
	}
	go func() {
		for range n {
			x := <-r.results
			r.settle(&x)
		}
	}()
}

// send chooses an endpoint and sends to it. It returns the final answer if the
// request cannot be sent. With repeat, the sending was taken from the budget.
func (r *run) send(ctx context.Context, repeat bool) *Answer {
	now := time.Now()
	if !now.Before(r.deadline) {
		return r.giveUp(refused(code.DeadlinePassed, "no time is left", time.Time{}))
	}
	c, refusal := r.edge.balancer.Pick(r.ask, now)
	if refusal != nil {
		r.giveBack(repeat, now)
		return r.giveUp(refused(refusal.Code, refusal.Detail, refusal.Again))
	}
	r.launch(ctx, c, repeat, now)
	return nil
}

// giveBack gives a repeat back to the budget that no endpoint got.
func (r *run) giveBack(repeat bool, now time.Time) {
	if repeat {
		r.repeats--
		r.window.Return(now)
	}
}

func (r *run) launch(ctx context.Context, c *balance.Choice, repeat bool, now time.Time) {
	if r.first == "" {
		r.usual = c.Usual
		r.first = c.Target.ID
	}
	before := r.attempts + r.flying
	r.flying++
	j := &job{
		request: r.request,
		ask:     r.ask,
		once:    !r.route.Repeatable,
	}
	go func() {
		r.results <- result{
			choice: c,
			sentAt: now,
			repeat: repeat,
			before: before,
			carry:  r.edge.carry(ctx, c.Target, j),
		}
	}()
}
