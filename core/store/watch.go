package store

import (
	"context"
	"errors"
	"sync/atomic"

	"heatherford/core/code"
)

// Watch returns a Store that passes all calls to s. It calls onChange with the
// error when the platform stops answering, and with nil when it answers again.
// Calls whose context was cancelled are ignored. onChange may be called from
// several goroutines.
func Watch(s Store, onChange func(err error)) Store {
	w := &watcher{
		onChange: onChange,
	}
	return Store{
		Commit: func(ctx context.Context, t Transaction) (Committed, error) {
			c, err := s.Commit(ctx, t)
			w.record(err)
			return c, err
		},
		Read: func(ctx context.Context, q Query) ([]Row, error) {
			r, err := s.Read(ctx, q)
			w.record(err)
			return r, err
		},
		PutObject: func(ctx context.Context, name string, data []byte) error {
			err := s.PutObject(ctx, name, data)
			w.record(err)
			return err
		},
		GetObject: func(ctx context.Context, name string) ([]byte, error) {
			b, err := s.GetObject(ctx, name)
			w.record(err)
			return b, err
		},
		ListObjects: func(ctx context.Context, prefix string) ([]string, error) {
			n, err := s.ListObjects(ctx, prefix)
			w.record(err)
			return n, err
		},
		Hosts: func(ctx context.Context) ([]Host, error) {
			h, err := s.Hosts(ctx)
			w.record(err)
			return h, err
		},
	}
}

type watcher struct {
	onChange func(err error)
	down     atomic.Bool
}

func (w *watcher) record(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	switch code.Of(err) {
	case code.PlatformDown, code.PlatformUnknown:
		if w.down.CompareAndSwap(false, true) {
			w.onChange(err)
		}
	default:
		if w.down.CompareAndSwap(true, false) {
			w.onChange(nil)
		}
	}
}
