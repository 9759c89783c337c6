package ticket

import (
	"time"

	"heatherford/core/code"
)

// State is the progress of a request at its home.
type State int

// The states of a run.
const (
	// Waiting means that the request was not dispatched and is not being claimed.
	Waiting State = iota
	// Claiming means that the result of the claim's write is not known yet.
	Claiming
	// Running means that the request was handed to the dispatcher.
	Running
	// Ended means that the request has an outcome. This state is final.
	Ended
	// ClaimedElsewhere means that another process has claimed the caller key.
	ClaimedElsewhere
)

// Action is what the home has to do after an event.
type Action int

// The actions of a home.
const (
	// Wait does nothing; copies wait for the event that follows.
	Wait Action = iota
	// Claim inserts the row Run.Claim into the table, on the condition that
	// there is no row yet.
	Claim
	// Dispatch hands the request to the dispatcher. A run returns it at most
	// once.
	Dispatch
	// Reply answers all copies with the outcome.
	Reply
	// RefuseCopies refuses all waiting copies, since this host can't know whether
	// another has run the request. A later copy starts a new claim.
	RefuseCopies
	// Forward forwards all copies to the home in Run.Row.
	Forward
)

// ClaimResult is the result of writing a claim or tombstone.
type ClaimResult int

// The results of writing a claim or tombstone.
const (
	// Committed means that the row was written.
	Committed ClaimResult = iota
	// Conflicted means that the table has another row for the key.
	Conflicted
	// Uncertain means that the row may be in the table already, or appear there
	// later.
	Uncertain
)

// Run is the state of one request at its home. Its methods take an event and return
// the next state and what to do; they neither block nor change the receiver.
type Run struct {
	State State
	// CallerKey is true for a caller key, which any host may claim first. It is
	// false for a ticket.
	CallerKey bool
	Mode      Mode
	// Digest is the digest of the first copy.
	Digest string
	// Operation identifies the claim; all retries of its write use the same.
	Operation string
	// ExpiresAt is the time from which the request may not be dispatched. It is
	// zero for a caller key.
	ExpiresAt time.Time
	// Deadline is the deadline of the copy that began the last claim or dispatch.
	Deadline time.Time
	// Abandoned is true once no copy waits for a request that has not left this
	// host. A ticket's request is then never dispatched; for a caller key a copy
	// that arrives in the state Waiting resets it.
	Abandoned bool
	// Outcome is set in the state Ended.
	Outcome Outcome
	// Row is set in the state ClaimedElsewhere.
	Row Row
}

// NewRun returns the run of a ticket's request, in the state Waiting.
func NewRun(t Ticket, digest string) Run {
	return Run{
		Mode:      t.Mode,
		Digest:    digest,
		Operation: NewID(),
		ExpiresAt: t.ExpiresAt,
	}
}

// NewCallerKeyRun returns the run of a request under a caller key, in the state
// Waiting.
func NewCallerKeyRun(digest string) Run {
	return Run{
		CallerKey: true,
		Mode:      Claimed,
		Digest:    digest,
		Operation: NewID(),
	}
}

// AddCopy handles the arrival of a copy of the request. The caller has to check with
// Mismatch before that the copy has the digest of the first one.
func (r Run) AddCopy(now, deadline time.Time) (Run, Action) {
	switch r.State {
	case Waiting:
	case Ended:
		return r, Reply
	case ClaimedElsewhere:
		return r, Forward
	default:
		return r, Wait
	}
	r.Deadline = deadline
	if r.CallerKey {
		return r.addCallerKeyCopy(now)
	}
	if a := r.refusal(now); a.Code != 0 {
		return r.end(a)
	}
	if r.Mode == MemoryOnly {
		r.State = Running
		return r, Dispatch
	}
	r.State = Claiming
	return r, Claim
}

// addCallerKeyCopy handles a copy under a caller key. Such a copy can't be answered
// that the request was not run, since another host may have run it.
func (r Run) addCallerKeyCopy(now time.Time) (Run, Action) {
	r.Abandoned = false
	if r.refusal(now).Code != 0 {
		return r, RefuseCopies
	}
	r.State = Claiming
	return r, Claim
}

// Mismatch returns the outcome for a copy whose digest differs from that of the
// first. It reports false if they are the same.
func (r Run) Mismatch(digest string) (Outcome, bool) {
	if r.Digest == digest {
		return Outcome{}, false
	}
	return mismatch(), true
}

// Abandon handles that no copy waits any more. It reports whether it is certain that
// the request was not run and never will be.
func (r Run) Abandon() (Run, bool) {
	switch r.State {
	case Waiting, Claiming:
		r.Abandoned = true
		// Another host may have claimed a caller key.
		return r, !r.CallerKey
	case Ended:
		return r, r.Outcome.Code.Outcome() == code.NotRun
	default:
		return r, false
	}
}

// Claimed handles the result of the claim. If that is a conflict, row is the row in
// the table.
func (r Run) Claimed(now time.Time, c ClaimResult, row Row) (Run, Action) {
	if r.State != Claiming {
		return r, Wait
	}
	switch c {
	case Committed:
		if a := r.refusal(now); a.Code != 0 {
			return r.end(a)
		}
		r.State = Running
		return r, Dispatch
	case Conflicted:
		return r.conflicted(row)
	default:
		return r.uncertain()
	}
}

// conflicted handles a row that another process has written. Since only the home
// claims a ticket, the row of a ticket is then a tombstone.
func (r Run) conflicted(row Row) (Run, Action) {
	if r.CallerKey {
		r.State = ClaimedElsewhere
		r.Row = row
		return r, Forward
	}
	return r.end(RowOutcome(row, r.Digest))
}

// uncertain handles a claim whose result is unknown. Even if a ticket's claim was
// written, only this process could dispatch by it, so the request is known never to
// run.
func (r Run) uncertain() (Run, Action) {
	if r.CallerKey {
		r.State = Waiting
		return r, RefuseCopies
	}
	return r.end(Failed(code.ClaimFailed, "ticket: the claim could not be written in time"))
}

// Refuse ends a ticket's request with the outcome before it is claimed or
// dispatched. The copies of a caller key are refused, and a later one may start a
// claim.
func (r Run) Refuse(o Outcome) (Run, Action) {
	if r.CallerKey {
		r.State = Waiting
		return r, RefuseCopies
	}
	return r.end(o)
}

// Dispatched handles the outcome of the dispatch.
func (r Run) Dispatched(o Outcome) (Run, Action) {
	if r.State != Running {
		return r, Wait
	}
	return r.end(o)
}

func (r Run) end(o Outcome) (Run, Action) {
	r.State = Ended
	r.Outcome = o
	return r, Reply
}

// refusal returns the outcome of a request that may not be dispatched any more. Its
// code is zero if the request may be.
func (r Run) refusal(now time.Time) Outcome {
	switch {
	case !r.ExpiresAt.IsZero() && PastRetention(now, r.ExpiresAt):
		return pastRetention()
	case !r.ExpiresAt.IsZero() && !now.Before(r.ExpiresAt):
		return Failed(code.TicketExpired, "ticket: the ticket has expired")
	case !now.Before(r.Deadline):
		return Failed(code.DeadlinePassed, "ticket: the deadline passed before the work was dispatched")
	case r.Abandoned:
		return Failed(code.RequestCancelled, "ticket: the caller cancelled before the work was dispatched")
	default:
		return Outcome{}
	}
}

// Claim returns the row that claims the request for a process until it expires.
func (r Run) Claim(home, incarnation string, expires time.Time) Row {
	return Row{
		Operation:   r.Operation,
		Home:        home,
		Incarnation: incarnation,
		Digest:      r.Digest,
		ExpiresAt:   expires,
	}
}
