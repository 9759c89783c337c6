package dispatch

import (
	"context"
	"slices"
	"time"

	"heatherford/core/admission"
	"heatherford/core/code"
	"heatherford/core/work"
)

// hedgeFactor is a multiple of the mean service time, after which an unanswered
// request is sent to a second endpoint.
const hedgeFactor = 3

// hedge sends r and, if it is not answered within hedgeFactor mean service times,
// sends it to another endpoint with a free slot too, if the upstream's retry budget
// allows that. The first answer is used and the other attempt cancelled.
func (d *Dispatcher) hedge(ctx context.Context, p admission.Permit, r *work.Request) (*work.Answer, error) {
	first := d.startAttempt(ctx, r, func(ctx context.Context, r *work.Request) (*work.Answer, error) {
		return d.exchange(ctx, p, r)
	})
	t := time.NewTimer(hedgeFactor * p.ExpectedService)
	defer t.Stop()
	select {
	case <-first.ended:
		return first.collect(r)
	case <-t.C:
	}
	b := d.budget(r.Kind.Upstream)
	if !b.Take() {
		<-first.ended
		return first.collect(r)
	}
	d.recordStep(r, p.Own.Endpoint.Name, "no answer yet, another endpoint is asked")
	second := d.startAttempt(ctx, r, func(ctx context.Context, r *work.Request) (*work.Answer, error) {
		r.Tried = append(r.Tried, p.Own.Endpoint.Name)
		a, err := d.sendHedge(ctx, r)
		if isRefusal(err) {
			// Nothing was sent.
			b.Return()
		}
		return a, err
	})
	select {
	case <-first.ended:
		return d.pickAnswer(r, first, second)
	case <-second.ended:
		return d.pickAnswer(r, second, first)
	}
}

// sendHedge sends r to another endpoint of this host if a slot is free, else to
// another host with a free slot. It does not wait for a slot.
func (d *Dispatcher) sendHedge(ctx context.Context, r *work.Request) (*work.Answer, error) {
	s := d.options.Snapshot()
	if p, ok := d.controller(r.Kind.Upstream).TryAcquire(d.slotRequest(s, r)); ok {
		if err := d.recheckGrant(p, r); err != nil {
			d.release(p, r, admission.Abandoned)
			return nil, err
		}
		return d.exchange(ctx, p, r)
	}
	if r.Hop {
		return nil, code.New(code.HopRefused, "dispatch: no slot is free")
	}
	return d.forwardToFree(ctx, s, r)
}

// pickAnswer returns the answer of ended, the attempt that ended first, and cancels
// the other. If ended has failed, it waits for the other attempt: the other's result
// is returned if it is an answer or leaves the outcome unknown, else that of ended.
func (d *Dispatcher) pickAnswer(r *work.Request, ended, other *attempt) (*work.Answer, error) {
	if ended.err == nil {
		d.spawn(other.discard)
		return ended.collect(r)
	}
	<-other.ended
	if other.err == nil || code.Of(other.err).Outcome() == code.Unknown {
		_, _ = ended.collect(r)
		return other.collect(r)
	}
	// A refusal or rejection must not hide that the request may have run.
	_, _ = other.collect(r)
	return ended.collect(r)
}

// attempt is one sending of a hedged request. It has its own copy of the request.
type attempt struct {
	request work.Request
	cancel  context.CancelFunc
	// ended is closed once answer or err is set.
	ended  chan struct{}
	answer *work.Answer
	err    error
}

// startAttempt calls run with a copy of r in a goroutine that Close waits for.
func (d *Dispatcher) startAttempt(ctx context.Context, r *work.Request, run RunFunc) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	s := &attempt{
		request: *r,
		cancel:  cancel,
		ended:   make(chan struct{}),
	}
	s.request.Tried = slices.Clone(r.Tried)
	d.spawn(func() {
		s.answer, s.err = run(ctx, &s.request)
		close(s.ended)
	})
	return s
}

// collect returns the result of an attempt that has ended. It adds the endpoints that a
// failed attempt tried to r.Tried. Closing the answer's body cancels the attempt's
// context.
func (s *attempt) collect(r *work.Request) (*work.Answer, error) {
	if s.err != nil {
		s.cancel()
		for _, e := range s.request.Tried {
			if !slices.Contains(r.Tried, e) {
				r.Tried = append(r.Tried, e)
			}
		}
		return nil, s.err
	}
	s.answer.Body = &body{
		ReadCloser: s.answer.Body,
		done: func(error) {
			s.cancel()
		},
	}
	return s.answer, nil
}

// discard cancels the attempt, waits for its end and drops its answer.
func (s *attempt) discard() {
	s.cancel()
	<-s.ended
	if s.err == nil {
		s.answer.Body.Close()
	}
}
