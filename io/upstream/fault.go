package upstream

import (
	"context"
	"errors"
	"io"

	"heatherford/core/code"
	"heatherford/core/intent"
	"heatherford/core/work"
	"heatherford/io/internal/wire"
)

// sendError returns err with the code that says whether r was run.
func sendError(ctx context.Context, e intent.Endpoint, r *work.Request, err error) error {
	f := (*wire.Failure)(nil)
	if !errors.As(err, &f) {
		return err
	}
	if !f.Sent {
		return notSent(ctx, e, err)
	}
	return code.Wrap(sentCode(r, f), err, "upstream: no whole answer from endpoint %q", e.Name)
}

// notSent returns the error for a request that the endpoint cannot have run.
func notSent(ctx context.Context, e intent.Endpoint, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return code.Wrap(code.RequestCancelled, err, "upstream: cancelled before the request was sent to endpoint %q", e.Name)
	case errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, context.DeadlineExceeded):
		return code.Wrap(code.DeadlinePassed, err, "upstream: the request was not sent to endpoint %q in time", e.Name)
	default:
		return code.Wrap(code.UpstreamRefused, err, "upstream: endpoint %q was not reached", e.Name)
	}
}

// sentCode returns the code for a request that the endpoint may have run.
func sentCode(r *work.Request, f *wire.Failure) code.Code {
	switch {
	case errors.Is(f, wire.ErrForeign):
		return code.AnswerForeign
	case f.Silent, f.SilentBody():
		return code.UpstreamSilent
	case f.Step == wire.StepBody || errors.Is(f, wire.ErrFraming) || errors.Is(f, wire.ErrTooLarge):
		return code.AnswerIncomplete
	case r.Kind.Repeatable:
		return code.RepeatableNoAnswer
	default:
		return code.OutcomeUnknown
	}
}

// coded is the body of a streamed answer, whose failure gets a code.
type coded struct {
	io.ReadCloser
}

// Read implements io.Reader.
func (c *coded) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	f := (*wire.Failure)(nil)
	if errors.As(err, &f) {
		err = code.Wrap(code.AnswerIncomplete, err, "upstream: the answer broke off")
	}
	return n, err
}
