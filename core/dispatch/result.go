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

// body is an answer's body that tells how its reading ended.
type body struct {
	io.ReadCloser
	once sync.Once
	// done is called once: with nil after a whole body, else with the reason.
	done func(err error)
	// err is how reading ended; it is nil before the end.
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
		b.done(b.end())
	})
	return err
}

func (b *body) end() error {
	switch {
	case errors.Is(b.err, io.EOF):
		return nil
	case b.err == nil:
		return code.New(code.OutcomeDiscarded, "dispatch: the answer was not read to its end")
	case code.Of(b.err) != 0:
		return b.err
	default:
		return code.Wrap(code.AnswerIncomplete, b.err, "dispatch: the answer broke off")
	}
}

// note puts a step of r on the time line.
func (d *Dispatcher) note(r *work.Request, subject, text string) {
	d.options.Record(timeline.Event{
		Kind:    timeline.KindRequest,
		Request: r.ID,
		Subject: subject,
		Text:    text,
	})
}

// Refused counts a request that was refused before it reached the dispatcher.
func (d *Dispatcher) Refused(r *work.Request, err error) {
	d.record(r, d.options.Now(), err)
}

// record counts how r ended. Results of a hop are counted where r came in.
func (d *Dispatcher) record(r *work.Request, started time.Time, err error) {
	now := d.options.Now()
	n := code.Answered
	if err != nil {
		n = code.Of(err)
	}
	text := "answered"
	if err != nil {
		text = err.Error()
	}
	d.note(r, r.Kind.Name, text)
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
