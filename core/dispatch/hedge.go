package dispatch

import (
	"context"
	"slices"
	"time"

	"heatherford/core/admission"
	"heatherford/core/code"
	"heatherford/core/work"
)

// hedgeFactor is the number of usual answer times after which a second endpoint
// is asked.
const hedgeFactor = 3

// hedge sends r and, if no answer comes for much longer than usual, sends it to
// another endpoint with a free slot as well, as far as the upstream's budget
// allows. The first answer counts; the other sending is cancelled.
func (d *Dispatcher) hedge(ctx context.Context, p admission.Permit, r *work.Request) (*work.Answer, error) {
	first := d.start(ctx, r, func(ctx context.Context, r *work.Request) (*work.Answer, error) {
		return d.exchange(ctx, p, r)
	})
	t := time.NewTimer(hedgeFactor * p.Usual)
	defer t.Stop()
	select {
	case <-first.ended:
		return first.result(r)
	case <-t.C:
	}
	b := d.budget(r.Kind.Upstream)
	if !b.Take() {
		<-first.ended
		return first.result(r)
	}
	d.note(r, p.Own.Endpoint.Name, "no answer yet, another endpoint is asked")
	second := d.start(ctx, r, func(ctx context.Context, r *work.Request) (*work.Answer, error) {
		r.Tried = append(r.Tried, p.Own.Endpoint.Name)
		a, err := d.second(ctx, r)
		if refused(err) {
			// Nothing was sent.
			b.Return()
		}
		return a, err
	})
	select {
	case <-first.ended:
		return d.decide(r, first, second)
	case <-second.ended:
		return d.decide(r, second, first)
	}
}

// second sends r where a slot is free.
func (d *Dispatcher) second(ctx context.Context, r *work.Request) (*work.Answer, error) {
	s := d.options.Snapshot()
	if p, ok := d.gate(r.Kind.Upstream).Try(d.ask(s, r)); ok {
		if err := d.fence(p, r); err != nil {
			d.release(p, r, admission.Abandoned)
			return nil, err
		}
		return d.exchange(ctx, p, r)
	}
	if r.Hop {
		return nil, code.New(code.HopRefused, "dispatch: no slot is free")
	}
	return d.hopToSpare(ctx, s, r)
}

// decide takes the answer of the sending that ended, if it has one, and cancels
// the other; else that of the other.
func (d *Dispatcher) decide(r *work.Request, ended, other *sending) (*work.Answer, error) {
	if ended.err == nil {
		d.spawn(other.discard)
		return ended.result(r)
	}
	<-other.ended
	if other.err == nil || code.Of(other.err).Outcome() == code.Unknown {
		_, _ = ended.result(r)
		return other.result(r)
	}
	// A refusal must not hide that the request may have run.
	_, _ = other.result(r)
	return ended.result(r)
}

// sending is one of the sendings of a request. Its request is its own copy.
type sending struct {
	request work.Request
	cancel  context.CancelFunc
	// ended is closed once answer or err is set.
	ended  chan struct{}
	answer *work.Answer
	err    error
}

// start runs a sending of r in a goroutine of the dispatcher.
func (d *Dispatcher) start(ctx context.Context, r *work.Request, run Run) *sending {
	ctx, cancel := context.WithCancel(ctx)
	s := &sending{
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

// result returns how the sending ended and tells r which endpoints it tried.
func (s *sending) result(r *work.Request) (*work.Answer, error) {
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

// discard cancels the sending and throws its answer away.
func (s *sending) discard() {
	s.cancel()
	<-s.ended
	if s.err == nil {
		s.answer.Body.Close()
	}
}
