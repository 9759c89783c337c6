package once

import (
	"context"
	"errors"
	"sync"
	"time"

	"heatherford/core/code"
	"heatherford/core/dispatch"
	"heatherford/core/ticket"
	"heatherford/core/timeline"
	"heatherford/core/work"
)

const (
	// maxEntries bounds the runs that a process holds in memory.
	maxEntries = 1 << 17
	// callerKeyTTL is how long a process holds the run of a caller key in
	// memory. Its row in the table lives longer.
	callerKeyTTL = 10 * time.Minute
)

// requestCopy is one arrival of a request that may not be repeated. Callers and
// hosts may send the same request several times.
type requestCopy struct {
	request *work.Request
	digest  string
	run     dispatch.RunFunc
}

// entry is a run at its home, together with the copies that wait for it.
type entry struct {
	once *Once
	key  string
	// requestID is the identifier of the copy that began the last round.
	requestID string
	// ticket is the zero value for a caller key.
	ticket ticket.Ticket
	// evictAt is when the entry may be removed from memory.
	evictAt time.Time

	mu  sync.Mutex
	run ticket.Run
	// waiting is the number of copies that wait for the round.
	waiting int
	// round is the one in progress, or the last one.
	round *round
	// row and version are those of the claim in the table; version is 0 without
	// a claim.
	row     ticket.Row
	version uint64
	// cancel cancels the dispatch; it is nil before.
	cancel context.CancelFunc
	// started is true from just before the request leaves this host.
	started bool
	// stream is an answer too large to keep. The first copy gets it.
	stream *work.Answer
}

// round is one pass through claim and dispatch. All waiting copies get the action
// that ends it.
type round struct {
	// done is closed after action is set.
	done   chan struct{}
	action ticket.Action
}

func (o *Once) hasEntry(key string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.entries[key] != nil
}

// entry returns the entry of the key. If there is none, it adds one with the run.
func (o *Once) entry(key string, run ticket.Run, t ticket.Ticket) (*entry, error) {
	now := o.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if e := o.entries[key]; e != nil {
		return e, nil
	}
	if len(o.entries) >= maxEntries {
		return nil, WrapCopyRefused(code.New(code.RankFull, "once: this host holds too many tickets and keys"))
	}
	e := &entry{
		once:    o,
		key:     key,
		ticket:  t,
		run:     run,
		evictAt: now.Add(callerKeyTTL),
	}
	if !run.CallerKey {
		e.evictAt = t.ExpiresAt.Add(ticket.Retention)
	}
	o.entries[key] = e
	return e, nil
}

// handleCopy handles a copy whose home is this process or may become it. It
// waits for the round, which it begins if the run asks for that.
func (o *Once) handleCopy(ctx context.Context, c *requestCopy, key string, run ticket.Run, t ticket.Ticket) (*work.Answer, error) {
	e, err := o.entry(key, run, t)
	if err != nil {
		return nil, err
	}
	now := o.now()
	e.mu.Lock()
	if m, differs := e.run.Mismatch(c.digest); differs {
		e.mu.Unlock()
		return nil, failure(m)
	}
	next, a := e.run.AddCopy(now, c.request.Deadline)
	e.run = next
	e.waiting++
	switch a {
	case ticket.Claim, ticket.Dispatch:
		e.startRound(ctx, c, a)
	case ticket.Reply, ticket.RefuseCopies, ticket.Forward:
		e.finishRound(a)
	case ticket.Wait:
	}
	r := e.round
	e.mu.Unlock()
	select {
	case <-r.done:
		return e.reply(ctx, c, r.action)
	case <-ctx.Done():
		return nil, e.removeCopy(ctx)
	}
}

// startRound starts a round in its own goroutine, which outlives ctx. The entry
// is locked.
func (e *entry) startRound(ctx context.Context, c *requestCopy, a ticket.Action) {
	e.round = &round{
		done: make(chan struct{}),
	}
	e.requestID = c.request.ID
	q := *c.request
	q.Hop = false
	q.Dispatched = true
	if !e.once.inFlight.begin() {
		e.refuseRound()
		return
	}
	go func() {
		defer e.once.inFlight.end()
		e.runRound(context.WithoutCancel(ctx), &q, c.run, a)
	}()
}

// refuseRound ends a round before its start, since this process is stopping. The
// entry is locked.
func (e *entry) refuseRound() {
	next, a := e.run.Refuse(ticket.Failed(code.HostStopping, "once: the home is stopping"))
	e.run = next
	e.finishRound(a)
}

// finishRound ends the round with the action. Without a round in progress it sets
// one that has ended. The entry is locked.
func (e *entry) finishRound(a ticket.Action) {
	if e.round == nil || e.round.isDone() {
		e.round = &round{
			done: make(chan struct{}),
		}
	}
	e.round.action = a
	close(e.round.done)
	e.discardStream()
}

func (r *round) isDone() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// runRound claims and dispatches until an action ends the round.
func (e *entry) runRound(ctx context.Context, r *work.Request, run dispatch.RunFunc, a ticket.Action) {
	for {
		switch a {
		case ticket.Claim:
			a = e.claim(r)
		case ticket.Dispatch:
			a = e.dispatch(ctx, r, run)
		default:
			e.mu.Lock()
			e.recordOutcome()
			e.finishRound(a)
			e.mu.Unlock()
			return
		}
	}
}

// recordOutcome reports the outcome to the timeline and queues its write into the
// claimed row. The entry is locked.
func (e *entry) recordOutcome() {
	if e.run.State != ticket.Ended {
		return
	}
	o := e.once.options
	o.Record(timeline.Event{
		Kind:    timeline.KindTicket,
		Request: e.requestID,
		Subject: e.key,
		Text:    "ended with " + e.run.Outcome.Describe(),
	})
	if e.version == 0 {
		return
	}
	row := e.row
	u := e.run.Outcome
	row.Outcome = &u
	e.once.rowWriter.recordOutcome(e.key, row, e.version)
}

// reply returns the answer or error of one copy, given the action that ended the
// round.
func (e *entry) reply(ctx context.Context, c *requestCopy, a ticket.Action) (*work.Answer, error) {
	e.mu.Lock()
	e.waiting--
	u := e.run.Outcome
	row := e.run.Row
	s := e.stream
	if a == ticket.Reply && s != nil {
		e.stream = nil
	} else {
		s = nil
	}
	e.mu.Unlock()
	switch {
	case a == ticket.RefuseCopies:
		return nil, WrapCopyRefused(code.New(code.ClaimFailed, "once: the key could not be claimed"))
	case a == ticket.Forward:
		return e.once.forwardCallerKey(ctx, c, e.key, row)
	case s != nil:
		return s, nil
	default:
		return answer(u)
	}
}

// removeCopy removes a copy whose context has ended and returns its error. If it
// was the last one, work that has not left this host is abandoned.
func (e *entry) removeCopy(ctx context.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	e.discardStream()
	if e.waiting > 0 || !e.abandon() {
		return code.New(code.OutcomeUnknown, "once: the work had not ended when the caller stopped waiting")
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return code.New(code.DeadlinePassed, "once: the deadline passed before the work was dispatched")
	}
	return code.New(code.RequestCancelled, "once: the caller cancelled before the work was dispatched")
}

// abandon cancels work that no copy waits for and that has not left this host.
// It reports whether it is certain that the work never runs. The entry is locked.
func (e *entry) abandon() bool {
	if e.run.State == ticket.Running && !e.started {
		e.run.Abandoned = true
		if e.cancel != nil {
			e.cancel()
		}
		return true
	}
	next, neverRuns := e.run.Abandon()
	e.run = next
	return neverRuns
}

// discardStream closes the stream if no copy waits. The entry is locked.
func (e *entry) discardStream() {
	if e.stream != nil && e.waiting == 0 {
		e.stream.Body.Close()
		e.stream = nil
	}
}
