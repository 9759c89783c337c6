package dispatch

import (
	"errors"
	"io"
	"sync"
	"time"

	"heatherford/core/code"
	"heatherford/core/outcome"
	"heatherford/core/timeline"
	"heatherford/core/work"
)

// body is an answer's body that reports on Close how reading it ended.
type body struct {
	io.ReadCloser
	once sync.Once
	// done is called once, by the first Close: with nil if the whole body was read,
	// else with the reason.
	done func(err error)
	// err is the error that ended reading, io.EOF at the body's end. It is nil before
	// that.
	err error
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.err = err
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() {
		b.done(b.readError())
	})
	return err
}

func (b *body) readError() error {
	switch {
	case errors.Is(b.err, io.EOF):
		return nil
	case b.err == nil:
		return code.New(code.OutcomeDiscarded, "dispatch: the answer was closed before its body was read to the end")
	case code.Of(b.err) != 0:
		return b.err
	default:
		return code.Wrap(code.AnswerIncomplete, b.err, "dispatch: the answer body ended early")
	}
}

// recordStep adds a step in the handling of r to the timeline.
func (d *Dispatcher) recordStep(r *work.Request, subject, text string) {
	d.options.Record(timeline.Event{
		Kind:    timeline.KindRequest,
		Request: r.ID,
		Subject: subject,
		Text:    text,
	})
}

// RecordRefused records the result of a request that was refused with err before it reached
// the dispatcher.
func (d *Dispatcher) RecordRefused(r *work.Request, err error) {
	d.recordResult(r, d.options.Now(), err)
}

// recordResult adds the end of r to the timeline and counts its result; a nil err
// stands for an answer. The result of a forwarded request is counted only at the host
// that forwarded it.
func (d *Dispatcher) recordResult(r *work.Request, started time.Time, err error) {
	now := d.options.Now()
	n := code.Answered
	if err != nil {
		n = code.Of(err)
	}
	text := "answered"
	if err != nil {
		text = err.Error()
	}
	d.recordStep(r, r.Kind.Name, text)
	if r.Hop {
		return
	}
	d.options.Results.Record(outcome.Result{
		Kind:       r.Kind.Name,
		Rank:       r.Kind.Rank,
		RankIndex:  r.KindRank,
		Repeatable: r.Kind.Repeatable,
		Weight:     r.Kind.Weight,
		Target:     r.Target,
		Code:       n,
		Correct:    err == nil && now.Before(r.Deadline),
		At:         now,
		Elapsed:    now.Sub(started),
	})
}
