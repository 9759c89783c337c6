package config

import (
	"context"
	"time"

	"heatherford/core/code"
	"heatherford/core/store"
)

// resolveInterval is the time between attempts to find out the result of a commit
// whose answer was lost.
const resolveInterval = 100 * time.Millisecond

// resolveConflict handles a commit that was refused because of a conflict: either
// the operation had already ended, or another confirmation was faster.
func resolveConflict(ctx context.Context, s *store.Store, have *Bundle, c Confirmation) (*Confirmed, error) {
	x, err := readTableState(ctx, s, c)
	if err != nil {
		return nil, code.Wrap(code.ConfirmRefused, err, "config: the commit conflicted with another one and the table cannot be read")
	}
	if x.ended {
		return endedResult(ctx, s, have, c, x)
	}
	return nil, staleError(ctx, s, c.Base)
}

// endedResult returns the result of a confirmation whose operation has ended.
func endedResult(ctx context.Context, s *store.Store, have *Bundle, c Confirmation, x tableState) (*Confirmed, error) {
	if x.outcome.Number == 0 {
		return nil, code.New(code.ConfirmRefused, "config: operation %q was cancelled before it took effect and never will", c.Operation)
	}
	a := &Confirmed{
		Number: x.outcome.Number,
		Newest: have,
	}
	if b, err := Load(ctx, s, have); err == nil {
		a.Newest = b
	}
	return a, nil
}

// resolveLostAnswer finds out the result of a commit whose answer was lost. If
// the operation has no row, it writes one; the conditions of the commit then no
// longer hold, so that it cannot take effect later.
func resolveLostAnswer(ctx context.Context, s *store.Store, have *Bundle, c Confirmation, cause error) (*Confirmed, error) {
	t := time.NewTicker(resolveInterval)
	defer t.Stop()
	for {
		x, err := readTableState(ctx, s, c)
		if err == nil && x.ended {
			return endedResult(ctx, s, have, c, x)
		}
		if err == nil && cancelOperation(ctx, s, c) == nil {
			return nil, code.Wrap(code.ConfirmRefused, cause, "config: the confirmation took no effect and never will")
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil, code.Wrap(code.ConfirmUnknown, cause, "config: it is not known whether version %d was confirmed; confirm again with operation %q or look at the history", c.Base+1, c.Operation)
		}
	}
}

// cancelOperation ends the operation without effect. It returns PlatformConflict
// if the operation has already ended.
func cancelOperation(ctx context.Context, s *store.Store, c Confirmation) error {
	key := operationPrefix + c.Operation
	w, err := newWrite(key, outcome{})
	if err != nil {
		return err
	}
	_, err = s.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{
			{
				Key: key,
			},
		},
		Writes: []store.Write{w},
	})
	return err
}
