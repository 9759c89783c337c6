package once

import (
	"context"
	"time"

	"heatherford/core/code"
	"heatherford/core/store"
	"heatherford/core/ticket"
	"heatherford/core/timeline"
	"heatherford/core/work"
)

const (
	// 1/resolveTimeDivisor of the time left to the deadline, and at most
	// maxResolveTime, is reserved for asking the platform after the home did not
	// answer.
	resolveTimeDivisor = 4
	maxResolveTime     = 400 * time.Millisecond
	// rereadDelay is the pause before a claimed row without an outcome is read
	// again, which happens maxRereads times at most.
	rereadDelay = 100 * time.Millisecond
	maxRereads  = 3
)

// forward forwards a copy to its home. If the home gives no answer, it resolves the
// ticket by the table.
func (o *Once) forward(ctx context.Context, t ticket.Ticket, c *requestCopy) (*work.Answer, error) {
	a, noAnswer, err := o.tryForward(ctx, t.Home, c)
	if !noAnswer {
		return a, err
	}
	o.homeCache.remove(t.Home)
	if ctx.Err() != nil {
		return nil, code.New(code.OutcomeUnknown, "once: the request ended before its home answered")
	}
	return o.resolve(ctx, t, c)
}

// tryForward forwards a copy to the host. It reports noAnswer if the host is
// unknown, unreachable, or answers HomeGone.
func (o *Once) tryForward(ctx context.Context, home string, c *requestCopy) (a *work.Answer, noAnswer bool, err error) {
	h, ok := o.options.Snapshot().Hosts[home]
	if !ok {
		return nil, true, nil
	}
	left := c.request.Deadline.Sub(o.options.Now())
	x, cancel := context.WithDeadline(ctx, c.request.Deadline.Add(-min(maxResolveTime, left/resolveTimeDivisor)))
	a, err = o.options.Forward(x, h, c.request)
	if err != nil {
		cancel()
		n := code.Of(err)
		return nil, n == code.PeerUnreachable || n == code.HomeGone, err
	}
	a.Body = &cancelOnClose{
		ReadCloser: a.Body,
		cancel:     cancel,
	}
	return a, false, nil
}

// resolve returns the outcome of a ticket whose home is gone or unreachable. The
// ticket's row holds it; without a row, this host writes a tombstone, after which
// the home can't claim the ticket. The outcome of a memory-only ticket may be known
// to a successor only.
func (o *Once) resolve(ctx context.Context, t ticket.Ticket, c *requestCopy) (*work.Answer, error) {
	now := o.now()
	if t.Mode == ticket.MemoryOnly {
		if a, ok, err := o.forwardToSuccessors(ctx, t, c); ok {
			return a, err
		}
	}
	switch {
	case t.Mode == ticket.MemoryOnly:
		return nil, code.New(code.OutcomeUnknown, "once: the home %q is gone, and the ticket was kept in its memory only", t.Home)
	case ticket.PastRetention(now, t.ExpiresAt):
		return nil, code.New(code.OutcomeUnknown, "once: the ticket expired too long ago to tell what became of it")
	}
	row, found, err := o.readRow(ctx, t.RowKey())
	if err != nil {
		if a, ok, err := o.forwardToSuccessors(ctx, t, c); ok {
			return a, err
		}
		return nil, code.Wrap(code.OutcomeUnknown, err, "once: the home is gone and the platform does not answer")
	}
	if found {
		return o.resolveRow(ctx, t.RowKey(), row, c)
	}
	w := o.rowWriter.insert(t.RowKey(), ticket.Tombstone(t, o.options.Host, o.incarnation), c.request.Deadline)
	u := ticket.TombstoneOutcome(o.now(), t, w.result, w.row, c.digest)
	o.options.Record(timeline.Event{
		Kind:    timeline.KindTicket,
		Request: c.request.ID,
		Subject: t.RowKey(),
		Text:    "resolved without its home: " + u.Describe(),
	})
	return answer(u)
}

// resolveRow returns the outcome of work with the row. It reads the row again a few
// times while that holds no outcome.
func (o *Once) resolveRow(ctx context.Context, key string, row ticket.Row, c *requestCopy) (*work.Answer, error) {
	for range maxRereads {
		if row.Tombstone || row.Outcome != nil || row.Digest != c.digest {
			break
		}
		t := time.NewTimer(rereadDelay)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return answer(ticket.RowOutcome(row, c.digest))
		}
		if r, found, err := o.readRow(ctx, key); err == nil && found {
			row = r
		}
	}
	return answer(ticket.RowOutcome(row, c.digest))
}

// readRow reads a row from the table. It reports false if there is none.
func (o *Once) readRow(ctx context.Context, key string) (ticket.Row, bool, error) {
	start := o.options.Now()
	rows, err := o.options.Store.Read(ctx, store.Query{
		Keys: []string{key},
	})
	if ctx.Err() == nil {
		o.health.observe(o.options.Now().Sub(start), err == nil)
	}
	o.rowWriter.countCalls(0, 0, 1)
	if err != nil || len(rows) == 0 {
		return ticket.Row{}, false, err
	}
	r, err := ticket.DecodeRow(rows[0].Value)
	return r, err == nil, err
}

// forwardCallerKey forwards a copy to the process that claimed the caller key. If
// that gives no answer, it returns the outcome in the row.
func (o *Once) forwardCallerKey(ctx context.Context, c *requestCopy, key string, row ticket.Row) (*work.Answer, error) {
	if c.request.Hop {
		return nil, code.New(code.HomeGone, "once: another process has claimed the key")
	}
	if row.Digest != c.digest {
		return answer(ticket.RowOutcome(row, c.digest))
	}
	if row.Home != o.options.Host {
		if a, noAnswer, err := o.tryForward(ctx, row.Home, c); !noAnswer {
			return a, err
		}
	}
	if r, found, err := o.readRow(ctx, key); err == nil && found {
		row = r
	}
	return o.resolveRow(ctx, key, row, c)
}
