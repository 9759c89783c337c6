package dispatch

import (
	"context"

	"heatherford/core/code"
	"heatherford/core/work"
)

// retry runs repeatable work. After an attempt without an answer it makes another, at
// an endpoint that was not tried yet, if the upstream's retry budget allows that. A
// forwarded request is retried only by the host that forwarded it.
func (d *Dispatcher) retry(ctx context.Context, r *work.Request, route RunFunc) (*work.Answer, error) {
	b := d.budget(r.Kind.Upstream)
	r.Again = b.Take
	unknown := error(nil)
	deadline := r.Deadline
	for {
		// The attempt before may have shortened the deadline.
		r.Deadline = deadline
		a, err := route(ctx, r)
		if err == nil {
			b.RecordSuccess()
			return a, nil
		}
		if code.Of(err).Outcome() == code.Unknown {
			unknown = err
		}
		if unknown != nil {
			// A refusal or rejection of a later attempt must not hide that the
			// request may have run.
			err = unknown
		}
		if r.Hop || ctx.Err() != nil || !retryable(err) || !b.Take() {
			return nil, err
		}
		d.recordStep(r, r.Kind.Name, "retry after "+code.Text(err))
	}
}

// retryable reports whether another endpoint may answer a request that failed with err.
func retryable(err error) bool {
	switch code.Of(err) {
	case code.UpstreamRefused, code.HopRefused,
		code.OutcomeUnknown, code.AnswerIncomplete, code.AnswerForeign, code.UpstreamSilent, code.RepeatableNoAnswer:
		return true
	default:
		return false
	}
}
