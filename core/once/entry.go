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
	// maxEntries bounds the runs that a process remembers.
	maxEntries = 1 << 17
	// ownMemory is how long a process remembers a caller's own key; the table
	// remembers it for longer.
	ownMemory = 10 * time.Minute
)

// copyOf is one copy of a request.
type copyOf struct {
	request *work.Request
	digest  string
	run     dispatch.Run
}

// entry is a run at its home, with the copies that wait for it.
type entry struct {
	once *Once
	key  string
	// request identifies the copy that began the last round.
	request string
	// ticket is the zero value for a caller's own key.
	ticket ticket.Ticket
	// forgetAt is when the entry may be dropped.
	forgetAt time.Time

	mu  sync.Mutex
	run ticket.Run
	// copies is the number of copies that wait.
	copies int
	// round is the attempt in progress, or the last one.
	round *round
	// row and version are what was claimed; version is 0 without a claim.
	row     ticket.Row
	version uint64
	// cancel ends the dispatch; it is nil before.
	cancel context.CancelFunc
	// started is true once the request has left this host.
	started bool
	// stream is an answer too large to keep, until a copy takes it.
	stream *work.Answer
}

// round is one attempt, at whose end all waiting copies are told.
type round struct {
	// ended is closed after action is set.
	ended  chan struct{}
	action ticket.Action
}

func (o *Once) has(key string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.entries[key] != nil
}

// entry returns the entry under the key, or a new one with the run.
func (o *Once) entry(key string, run ticket.Run, t ticket.Ticket) (*entry, error) {
	now := o.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if e := o.entries[key]; e != nil {
		return e, nil
	}
	if len(o.entries) >= maxEntries {
		return nil, CopyRefused(code.New(code.RankFull, "once: this host remembers too many requests"))
	}
	e := &entry{
		once:     o,
		key:      key,
		ticket:   t,
		run:      run,
		forgetAt: now.Add(ownMemory),
	}
	if !run.Own {
		e.forgetAt = t.ExpiresAt.Add(ticket.Keep)
	}
	o.entries[key] = e
	return e, nil
}

// join takes a copy whose home this process is, or may become.
func (o *Once) join(ctx context.Context, c *copyOf, key string, run ticket.Run, t ticket.Ticket) (*work.Answer, error) {
	e, err := o.entry(key, run, t)
	if err != nil {
		return nil, err
	}
	now := o.now()
	e.mu.Lock()
	if m, bad := e.run.Mismatch(c.digest); bad {
		e.mu.Unlock()
		return nil, failure(m)
	}
	next, a := e.run.Arrive(now, c.request.Deadline)
	e.run = next
	e.copies++
	switch a {
	case ticket.Claim, ticket.Dispatch:
		e.begin(ctx, c, a)
	case ticket.Tell, ticket.Defer, ticket.Pass:
		e.conclude(a)
	case ticket.Nothing:
	}
	r := e.round
	e.mu.Unlock()
	select {
	case <-r.ended:
		return e.deliver(ctx, c, r.action)
	case <-ctx.Done():
		return nil, e.leave(ctx)
	}
}

// begin starts a round. The entry is locked.
func (e *entry) begin(ctx context.Context, c *copyOf, a ticket.Action) {
	e.round = &round{
		ended: make(chan struct{}),
	}
	e.request = c.request.ID
	q := *c.request
	q.Hop = false
	q.Dispatched = true
	if !e.once.drives.enter() {
		e.refuse()
		return
	}
	go func() {
		defer e.once.drives.leave()
		e.drive(context.WithoutCancel(ctx), &q, c.run, a)
	}()
}

// refuse ends a round that this process begins no more. The entry is locked.
func (e *entry) refuse() {
	next, a := e.run.Refuse(ticket.Failed(code.HostStopping, "once: the home is stopping"))
	e.run = next
	e.conclude(a)
}

// conclude ends the round, or makes one that has ended. The entry is locked.
func (e *entry) conclude(a ticket.Action) {
	if e.round == nil || e.round.isEnded() {
		e.round = &round{
			ended: make(chan struct{}),
		}
	}
	e.round.action = a
	close(e.round.ended)
	e.dropStream()
}

func (r *round) isEnded() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// drive carries a round to its end.
func (e *entry) drive(ctx context.Context, r *work.Request, run dispatch.Run, a ticket.Action) {
	for {
		switch a {
		case ticket.Claim:
			a = e.claim(r)
		case ticket.Dispatch:
			a = e.dispatch(ctx, r, run)
		default:
			e.mu.Lock()
			e.record()
			e.conclude(a)
			e.mu.Unlock()
			return
		}
	}
}

// record writes the outcome into the claimed row. The entry is locked.
func (e *entry) record() {
	if e.run.State != ticket.Ended {
		return
	}
	o := e.once.options
	o.Record(timeline.Event{
		Kind:    timeline.KindTicket,
		Request: e.request,
		Subject: e.key,
		Text:    "ended with " + e.run.Outcome.Describe(),
	})
	if e.version == 0 {
		return
	}
	row := e.row
	u := e.run.Outcome
	row.Outcome = &u
	e.once.claims.record(e.key, row, e.version)
}

// deliver gives one copy what the round ended with.
func (e *entry) deliver(ctx context.Context, c *copyOf, a ticket.Action) (*work.Answer, error) {
	e.mu.Lock()
	e.copies--
	u := e.run.Outcome
	row := e.run.Row
	s := e.stream
	if a == ticket.Tell && s != nil {
		e.stream = nil
	} else {
		s = nil
	}
	e.mu.Unlock()
	switch {
	case a == ticket.Defer:
		return nil, CopyRefused(code.New(code.ClaimFailed, "once: the key could not be claimed"))
	case a == ticket.Pass:
		return e.once.passOwn(ctx, c, e.key, row)
	case s != nil:
		return s, nil
	default:
		return answer(u)
	}
}

// leave takes a copy out that waits no longer, and returns what it is told.
func (e *entry) leave(ctx context.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.copies--
	e.dropStream()
	if e.copies > 0 || !e.abandon() {
		return code.New(code.OutcomeUnknown, "once: the work had not ended when the copy was given up")
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return code.New(code.DeadlinePassed, "once: the deadline passed before the work was dispatched")
	}
	return code.New(code.RequestCancelled, "once: the caller left before the work was dispatched")
}

// abandon gives up work that nobody waits for and that has not left this host.
// It reports whether it is sure that the work never runs. The entry is locked.
func (e *entry) abandon() bool {
	if e.run.State == ticket.Running && !e.started {
		e.run.Abandoned = true
		if e.cancel != nil {
			e.cancel()
		}
		return true
	}
	next, sure := e.run.Abandon()
	e.run = next
	return sure
}

// dropStream closes an answer that no copy is left to take. The entry is
// locked.
func (e *entry) dropStream() {
	if e.stream != nil && e.copies == 0 {
		e.stream.Body.Close()
		e.stream = nil
	}
}
