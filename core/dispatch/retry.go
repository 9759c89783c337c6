package dispatch

import (
	"context"

	"heatherford/core/code"
	"heatherford/core/work"
)

// retry runs repeatable work. A try that gave no answer is followed by another,
// at an endpoint that was not tried, as far as the upstream's budget allows. The
// host that a request was passed to leaves that to the one that passed it on.
func (d *Dispatcher) retry(ctx context.Context, r *work.Request, route Run) (*work.Answer, error) {
	b := d.budget(r.Kind.Upstream)
	r.Again = b.Take
	unknown := error(nil)
	deadline := r.Deadline
	for {
		// A try may have had less time than the request has.
		r.Deadline = deadline
		a, err := route(ctx, r)
		if err == nil {
			b.Succeed()
			return a, nil
		}
		if code.Of(err).Outcome() == code.Unknown {
			unknown = err
		}
		if unknown != nil {
			// A refusal of a later try must not hide that the request may have
			// run.
			err = unknown
		}
		if r.Hop || ctx.Err() != nil || !retryable(err) || !b.Take() {
			return nil, err
		}
		d.note(r, r.Kind.Name, "retry after "+code.Text(err))
	}
}

// retryable reports whether another endpoint may answer what one did not.
func retryable(err error) bool {
	switch code.Of(err) {
	case code.UpstreamRefused, code.HopRefused,
		code.OutcomeUnknown, code.AnswerIncomplete, code.AnswerForeign, code.UpstreamSilent, code.RepeatableNoAnswer:
		return true
	default:
		return false
	}
}
