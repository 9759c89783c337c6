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
	// settleShare is the part of the time left that is kept for settling with
	// the platform after the home did not answer, as a divisor.
	settleShare = 4
	maxSettle   = 400 * time.Millisecond
	// rereadDelay is the pause before a claimed row without an outcome is read
	// again.
	rereadDelay = 100 * time.Millisecond
	rereads     = 3
)

// pass passes a copy to its home, and settles it by the table if the home gives
// no answer.
func (o *Once) pass(ctx context.Context, t ticket.Ticket, c *copyOf) (*work.Answer, error) {
	a, gone, err := o.tryHome(ctx, t.Home, c)
	if !gone {
		return a, err
	}
	o.homes.forget(t.Home)
	if ctx.Err() != nil {
		return nil, code.New(code.OutcomeUnknown, "once: the copy was given up before the home answered")
	}
	return o.settle(ctx, t, c)
}

// tryHome passes a copy to the host. It reports gone if that gave no answer of
// its own.
func (o *Once) tryHome(ctx context.Context, home string, c *copyOf) (a *work.Answer, gone bool, err error) {
	h, ok := o.options.Snapshot().Hosts[home]
	if !ok {
		return nil, true, nil
	}
	left := c.request.Deadline.Sub(o.options.Now())
	x, cancel := context.WithDeadline(ctx, c.request.Deadline.Add(-min(maxSettle, left/settleShare)))
	a, err = o.options.Pass(x, h, c.request)
	if err != nil {
		cancel()
		n := code.Of(err)
		return nil, n == code.PeerUnreachable || n == code.HomeGone, err
	}
	a.Body = &cancelling{
		ReadCloser: a.Body,
		cancel:     cancel,
	}
	return a, false, nil
}

// settle says what became of a ticket whose home is gone or cut off: by its
// row, or by a tombstone that keeps the home from ever claiming it.
func (o *Once) settle(ctx context.Context, t ticket.Ticket, c *copyOf) (*work.Answer, error) {
	now := o.now()
	if t.Mode == ticket.MemoryOnly {
		if a, ok, err := o.askSuccessors(ctx, t, c); ok {
			return a, err
		}
	}
	switch {
	case t.Mode == ticket.MemoryOnly:
		return nil, code.New(code.OutcomeUnknown, "once: the home %q is gone, and the ticket was kept in its memory only", t.Home)
	case ticket.Forgotten(now, t.ExpiresAt):
		return nil, code.New(code.OutcomeUnknown, "once: the ticket expired too long ago to tell what became of it")
	}
	row, found, err := o.readRow(ctx, t.RowKey())
	if err != nil {
		if a, ok, err := o.askSuccessors(ctx, t, c); ok {
			return a, err
		}
		return nil, code.Wrap(code.OutcomeUnknown, err, "once: the home is gone and the platform does not answer")
	}
	if found {
		return o.settleRow(ctx, t.RowKey(), row, c)
	}
	w := o.claims.put(t.RowKey(), ticket.Tombstone(t, o.options.Self, o.incarnation), c.request.Deadline)
	u := ticket.Bury(o.now(), t, w.result, w.row, c.digest)
	o.options.Record(timeline.Event{
		Kind:    timeline.KindTicket,
		Request: c.request.ID,
		Subject: t.RowKey(),
		Text:    "given up for its home: " + u.Describe(),
	})
	return answer(u)
}

// settleRow says what became of claimed work, and waits a little for an outcome
// that is not yet recorded.
func (o *Once) settleRow(ctx context.Context, key string, row ticket.Row, c *copyOf) (*work.Answer, error) {
	for range rereads {
		if row.Tombstone || row.Outcome != nil || row.Digest != c.digest {
			break
		}
		t := time.NewTimer(rereadDelay)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return answer(ticket.Settle(row, c.digest))
		}
		if r, found, err := o.readRow(ctx, key); err == nil && found {
			row = r
		}
	}
	return answer(ticket.Settle(row, c.digest))
}

func (o *Once) readRow(ctx context.Context, key string) (ticket.Row, bool, error) {
	start := o.options.Now()
	rows, err := o.options.Store.Read(ctx, store.Query{
		Keys: []string{key},
	})
	if ctx.Err() == nil {
		o.health.observe(o.options.Now().Sub(start), err == nil)
	}
	o.claims.count(0, 0, 1)
	if err != nil || len(rows) == 0 {
		return ticket.Row{}, false, err
	}
	r, err := ticket.DecodeRow(rows[0].Value)
	return r, err == nil, err
}

// passOwn passes a copy under a caller's own key to the process that claimed
// it, and settles it by the row if that gives no answer.
func (o *Once) passOwn(ctx context.Context, c *copyOf, key string, row ticket.Row) (*work.Answer, error) {
	if c.request.Hop {
		return nil, code.New(code.HomeGone, "once: another process has claimed the key")
	}
	if row.Digest != c.digest {
		return answer(ticket.Settle(row, c.digest))
	}
	if row.Home != o.options.Self {
		if a, gone, err := o.tryHome(ctx, row.Home, c); !gone {
			return a, err
		}
	}
	if r, found, err := o.readRow(ctx, key); err == nil && found {
		row = r
	}
	return o.settleRow(ctx, key, row, c)
}
