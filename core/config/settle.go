package config

import (
	"context"
	"time"

	"heatherford/core/code"
	"heatherford/core/store"
)

// settleInterval is the time between tries to settle a lost answer.
const settleInterval = 100 * time.Millisecond

// afterConflict tells a confirmation that had taken effect before from one that
// lost a race.
func afterConflict(ctx context.Context, s *store.Store, have *Bundle, c Confirmation) (*Confirmed, error) {
	x, err := read(ctx, s, c)
	if err != nil {
		return nil, code.Wrap(code.ConfirmRefused, err, "config: another confirmation was first")
	}
	if x.ended {
		return settled(ctx, s, have, c, x)
	}
	return nil, stale(ctx, s, c.Base)
}

// settled returns the result of a confirmation that has ended.
func settled(ctx context.Context, s *store.Store, have *Bundle, c Confirmation, x readState) (*Confirmed, error) {
	if x.operation.Number == 0 {
		return nil, code.New(code.ConfirmRefused, "config: operation %q was given up before it took effect and never will", c.Operation)
	}
	a := &Confirmed{
		Number: x.operation.Number,
		Newest: have,
	}
	if b, err := Load(ctx, s, have); err == nil {
		a.Newest = b
	}
	return a, nil
}

// settle finds out how a commit whose answer was lost has ended. If the
// operation has no row, it writes one that keeps a late commit from taking
// effect.
func settle(ctx context.Context, s *store.Store, have *Bundle, c Confirmation, cause error) (*Confirmed, error) {
	t := time.NewTicker(settleInterval)
	defer t.Stop()
	for {
		x, err := read(ctx, s, c)
		if err == nil && x.ended {
			return settled(ctx, s, have, c, x)
		}
		if err == nil && giveUp(ctx, s, c) == nil {
			return nil, code.Wrap(code.ConfirmRefused, cause, "config: the confirmation took no effect and never will")
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil, code.Wrap(code.ConfirmUnknown, cause, "config: it is not known whether version %d was confirmed; confirm again with operation %q or look at the history", c.Base+1, c.Operation)
		}
	}
}

// giveUp ends the operation without effect. It returns PlatformConflict if it
// has ended before.
func giveUp(ctx context.Context, s *store.Store, c Confirmation) error {
	key := operationPrefix + c.Operation
	w, err := write(key, operation{})
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
