package ticket

import (
	"time"

	"heatherford/core/code"
)

// State is how far work has come at its home.
type State int

// The states of a run.
const (
	// Waiting work was not dispatched and is not being claimed.
	Waiting State = iota
	// Claiming work waits for its claim to be written or settled.
	Claiming
	// Running work was handed to the dispatcher once.
	Running
	// Ended work has an outcome, which never changes.
	Ended
	// Elsewhere is work that another process has claimed.
	Elsewhere
)

// Action is what the home does after a step.
type Action int

// The actions of a home.
const (
	// Nothing is done; copies wait.
	Nothing Action = iota
	// Claim writes the row Run.Claim into the table, by condition that there
	// is none.
	Claim
	// Dispatch hands the request to the dispatcher. It follows at most once.
	Dispatch
	// Tell gives all copies the outcome.
	Tell
	// Defer tells all copies that this host cannot know yet; a later copy
	// begins anew.
	Defer
	// Pass hands all copies to the home in Run.Row.
	Pass
)

// ClaimResult is how the attempt to write a claim or tombstone ended.
type ClaimResult int

// The results of a claim.
const (
	// Won means that the row is in the table.
	Won ClaimResult = iota
	// Lost means that another row is there.
	Lost
	// Unsettled means that the row may be in the table, now or later.
	Unsettled
)

// Run is one piece of work at its home. Its methods return the next value and
// what to do; they neither block nor change the receiver.
type Run struct {
	State State
	// Own is true of a caller's own key, which any host may claim first.
	Own  bool
	Mode Mode
	// Digest is that of the first copy.
	Digest string
	// Operation is the identifier of the claim; every attempt to write it
	// carries the same.
	Operation string
	// ExpiresAt is when the work may not be dispatched any more, or zero.
	ExpiresAt time.Time
	// Deadline is the first copy's.
	Deadline time.Time
	// Abandoned is true once no copy waits for work that was not dispatched.
	// It is final: the work will not be dispatched.
	Abandoned bool
	// Outcome is set in the state Ended.
	Outcome Outcome
	// Row is set in the state Elsewhere.
	Row Row
}

// NewRun returns the run of a ticket.
func NewRun(t Ticket, digest string) Run {
	return Run{
		Mode:      t.Mode,
		Digest:    digest,
		Operation: NewID(),
		ExpiresAt: t.ExpiresAt,
	}
}

// NewOwnRun returns the run of a caller's own key.
func NewOwnRun(digest string) Run {
	return Run{
		Own:       true,
		Mode:      Claimed,
		Digest:    digest,
		Operation: NewID(),
	}
}

// Arrive takes a copy of the request. A copy that differs from the first is to
// be told Mismatch instead.
func (r Run) Arrive(now, deadline time.Time) (Run, Action) {
	switch r.State {
	case Waiting:
	case Ended:
		return r, Tell
	case Elsewhere:
		return r, Pass
	default:
		return r, Nothing
	}
	r.Deadline = deadline
	if r.Own {
		return r.arriveOwn(now)
	}
	if a := r.late(now); a.Code != 0 {
		return r.end(a)
	}
	if r.Mode == MemoryOnly {
		r.State = Running
		return r, Dispatch
	}
	r.State = Claiming
	return r, Claim
}

// arriveOwn takes a copy under a caller's own key, which another host may have
// run.
func (r Run) arriveOwn(now time.Time) (Run, Action) {
	r.Abandoned = false
	if r.late(now).Code != 0 {
		return r, Defer
	}
	r.State = Claiming
	return r, Claim
}

// Mismatch returns the outcome for a copy with another digest than the first.
// It is false if the copy is the same request.
func (r Run) Mismatch(digest string) (Outcome, bool) {
	if r.Digest == digest {
		return Outcome{}, false
	}
	return mismatch(), true
}

// Abandon notes that no copy waits any more. It reports whether it is sure
// that the work never was dispatched and never will be.
func (r Run) Abandon() (Run, bool) {
	switch r.State {
	case Waiting, Claiming:
		r.Abandoned = true
		// Another host may have claimed a caller's own key.
		return r, !r.Own
	case Ended:
		return r, r.Outcome.Code.Outcome() == code.NotRun
	default:
		return r, false
	}
}

// Claimed takes the result of the claim; row is the one in the table if it was
// lost.
func (r Run) Claimed(now time.Time, c ClaimResult, row Row) (Run, Action) {
	if r.State != Claiming {
		return r, Nothing
	}
	switch c {
	case Won:
		if a := r.late(now); a.Code != 0 {
			return r.end(a)
		}
		r.State = Running
		return r, Dispatch
	case Lost:
		return r.lost(row)
	default:
		return r.unsettled()
	}
}

// lost ends work whose row was written by another process. Only the home
// claims a ticket, so that there it is a tombstone.
func (r Run) lost(row Row) (Run, Action) {
	if r.Own {
		r.State = Elsewhere
		r.Row = row
		return r, Pass
	}
	return r.end(Settle(row, r.Digest))
}

// unsettled gives up a claim. Since only this process could have dispatched a
// ticket by it, the work is known not to run.
func (r Run) unsettled() (Run, Action) {
	if r.Own {
		r.State = Waiting
		return r, Defer
	}
	return r.end(Failed(code.ClaimFailed, "ticket: the claim could not be written in time"))
}

// Refuse ends a ticket's work before it is claimed or dispatched. A caller's own
// key is deferred.
func (r Run) Refuse(o Outcome) (Run, Action) {
	if r.Own {
		r.State = Waiting
		return r, Defer
	}
	return r.end(o)
}

// Dispatched takes the outcome of the dispatch.
func (r Run) Dispatched(o Outcome) (Run, Action) {
	if r.State != Running {
		return r, Nothing
	}
	return r.end(o)
}

func (r Run) end(o Outcome) (Run, Action) {
	r.State = Ended
	r.Outcome = o
	return r, Tell
}

// late returns why the work may not be dispatched any more, or no code.
func (r Run) late(now time.Time) Outcome {
	switch {
	case !r.ExpiresAt.IsZero() && Forgotten(now, r.ExpiresAt):
		return forgotten()
	case !r.ExpiresAt.IsZero() && !now.Before(r.ExpiresAt):
		return Failed(code.TicketExpired, "ticket: the ticket has expired")
	case !now.Before(r.Deadline):
		return Failed(code.DeadlinePassed, "ticket: the deadline passed before the work was dispatched")
	case r.Abandoned:
		return Failed(code.RequestCancelled, "ticket: the caller left before the work was dispatched")
	default:
		return Outcome{}
	}
}

// Claim returns the row that claims the work for a process.
func (r Run) Claim(home, incarnation string, expires time.Time) Row {
	return Row{
		Operation:   r.Operation,
		Home:        home,
		Incarnation: incarnation,
		Digest:      r.Digest,
		ExpiresAt:   expires,
	}
}
