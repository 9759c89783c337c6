package once

import (
	"bytes"
	"context"
	"io"

	"heatherford/core/code"
	"heatherford/core/dispatch"
	"heatherford/core/ticket"
	"heatherford/core/work"
)

// claimTimeDivisor bounds a claim: it may take this fraction (1/claimTimeDivisor)
// of the time left to the deadline.
const claimTimeDivisor = 2

// claim writes the claim and returns the next action.
func (e *entry) claim(r *work.Request) ticket.Action {
	o := e.once
	now := o.now()
	expires := e.ticket.RowExpiresAt()
	if e.ticket.ID == "" {
		expires = now.Add(ticket.CallerKeyRetention)
	}
	e.mu.Lock()
	row := e.run.Claim(o.options.Host, o.incarnation, expires)
	e.mu.Unlock()
	w := o.rowWriter.insert(e.key, row, now.Add(r.Deadline.Sub(now)/claimTimeDivisor))
	now = o.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	next, a := e.run.Claimed(now, w.result, w.row)
	e.run = next
	if w.result == ticket.Committed {
		e.row = row
		e.version = w.version
	}
	return a
}

// dispatch calls run and returns the next action. Once the request has left this
// host, it goes on even if no copy waits any more, since the caller may retry and
// ask for the answer.
func (e *entry) dispatch(ctx context.Context, r *work.Request, run dispatch.RunFunc) ticket.Action {
	if !e.ticket.ExpiresAt.IsZero() && e.ticket.ExpiresAt.Before(r.Deadline) {
		r.Deadline = e.ticket.ExpiresAt
	}
	ctx, cancel := context.WithDeadline(work.WithStart(ctx, e.start), r.Deadline)
	e.mu.Lock()
	e.cancel = cancel
	if e.run.Abandoned {
		cancel()
	}
	e.mu.Unlock()
	a, err := run(ctx, r)
	u := e.outcome(a, err, cancel)
	e.mu.Lock()
	defer e.mu.Unlock()
	next, action := e.run.Dispatched(u)
	e.run = next
	return action
}

// start is called when the request is about to leave this host. It reports
// whether the request may.
func (e *entry) start() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.run.Abandoned {
		return false
	}
	e.started = true
	return true
}

// outcome returns the run's outcome for the result of a dispatch. A large answer
// becomes the entry's stream, whose Close calls cancel.
func (e *entry) outcome(a *work.Answer, err error, cancel context.CancelFunc) ticket.Outcome {
	if err != nil {
		cancel()
		n := code.Of(err)
		if n.Outcome() != code.NotRun && n.Outcome() != code.Unknown {
			n = code.OutcomeUnknown
		}
		return ticket.Failed(n, code.Text(err))
	}
	if a.Length < 0 || a.Length > maxKeptAnswerBytes {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.stream = a
		a.Body = &cancelOnClose{
			ReadCloser: a.Body,
			cancel:     cancel,
		}
		return ticket.Outcome{
			Code: code.Answered,
		}
	}
	defer cancel()
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return ticket.Failed(code.AnswerIncomplete, code.Text(err))
	}
	return e.once.keepAnswer(ticket.Outcome{
		Code:     code.Answered,
		Kept:     true,
		Status:   a.Status,
		Header:   a.Header,
		Body:     b,
		Host:     a.Host,
		Endpoint: a.Endpoint,
	})
}

// cancelOnClose is a body that cancels the context of its request when it is
// closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (c *cancelOnClose) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}

// answer returns the answer or the error for a copy whose run has the outcome.
func answer(u ticket.Outcome) (*work.Answer, error) {
	if u.Code != code.Answered {
		return nil, failure(u)
	}
	if !u.Kept {
		return nil, code.New(code.OutcomeUnrecorded, "once: the work was run, but its answer is not kept")
	}
	return &work.Answer{
		Status:   u.Status,
		Header:   u.Header.Clone(),
		Body:     io.NopCloser(bytes.NewReader(u.Body)),
		Length:   int64(len(u.Body)),
		Host:     u.Host,
		Endpoint: u.Endpoint,
	}, nil
}

func failure(u ticket.Outcome) error {
	return code.New(u.Code, "%s", u.Reason)
}
