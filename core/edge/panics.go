package edge

import (
	"context"
	"errors"
	"time"

	"heatherford/core/balance"
	"heatherford/core/safely"
)

// reasonInternal is the reason of a failure whose cause is a panic on this host. It says
// nothing about the endpoint.
const reasonInternal = "internal"

// contain calls f and returns its error. A panic in f does not end the process and all
// requests in flight with it: it is logged, counted, and returned as a
// *safely.PanicError.
func (e *shared) contain(in string, f func() error) error {
	return safely.Logged(func(kind string, pairs ...any) {
		e.panics.Add(1)
		e.options.Log(kind, pairs...)
	}, in, f)
}

// Panics returns the number of panics so far that were contained.
func (e *Edge) Panics() uint64 {
	return e.panics.Load()
}

// stepSafely does the periodic work. After a panic the host leaves, since the next step
// would most likely panic too, and its state ages: it returns the panic as an error.
func (c *control) stepSafely(now time.Time) error {
	err := c.edge.contain("step", func() error {
		c.step(now)
		return nil
	})
	if err == nil {
		return nil
	}
	v := *c.edge.View()
	v.Leaving = true
	c.edge.view.Store(&v)
	return errors.Join(err, c.edge.contain("leave", func() error {
		c.leave()
		return nil
	}))
}

// attemptSafely is sendViaOwner, whose panics count as a failure.
func (e *Edge) attemptSafely(ctx context.Context, t balance.Target, a *attempt) *ForwardResult {
	c := (*ForwardResult)(nil)
	if err := e.contain("attempt", func() error {
		c = e.sendViaOwner(ctx, t, a)
		return nil
	}); err != nil {
		return internalFailure(err)
	}
	return c
}

// internalFailure returns the result of an attempt that panicked. The endpoint may have
// received the request.
func internalFailure(err error) *ForwardResult {
	return &ForwardResult{
		Failure: &Failure{
			Sent:   true,
			Reason: reasonInternal,
			Cause:  err,
		},
	}
}

// sendSafely sends a request to its endpoint. A panic counts as a failure, so that the
// request's permit is released in any case.
func (e *Edge) sendSafely(ctx context.Context, s *EndpointRequest) *ForwardResult {
	c := &ForwardResult{}
	panicked := e.contain("send", func() error {
		reply, err := e.options.Transport.Send(ctx, s)
		if err != nil {
			c.Failure = asFailure(err)
			return nil
		}
		c.Reply = reply
		return nil
	})
	if panicked != nil {
		return internalFailure(panicked)
	}
	return c
}
