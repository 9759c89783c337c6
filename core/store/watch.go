package store

import (
	"context"
	"errors"
	"sync/atomic"

	"heatherford/core/code"
)

// Watch returns a store that calls s and tells changed when the platform stops
// answering, with the error, and when it answers again, with nil. Calls that
// their own context cancelled tell nothing. changed may be called from several
// goroutines.
func Watch(s Store, changed func(err error)) Store {
	w := &watcher{
		changed: changed,
	}
	return Store{
		Commit: func(ctx context.Context, t Transaction) (Committed, error) {
			c, err := s.Commit(ctx, t)
			w.saw(err)
			return c, err
		},
		Read: func(ctx context.Context, q Query) ([]Row, error) {
			r, err := s.Read(ctx, q)
			w.saw(err)
			return r, err
		},
		PutObject: func(ctx context.Context, name string, data []byte) error {
			err := s.PutObject(ctx, name, data)
			w.saw(err)
			return err
		},
		GetObject: func(ctx context.Context, name string) ([]byte, error) {
			b, err := s.GetObject(ctx, name)
			w.saw(err)
			return b, err
		},
		ListObjects: func(ctx context.Context, prefix string) ([]string, error) {
			n, err := s.ListObjects(ctx, prefix)
			w.saw(err)
			return n, err
		},
		Hosts: func(ctx context.Context) ([]Host, error) {
			h, err := s.Hosts(ctx)
			w.saw(err)
			return h, err
		},
	}
}

type watcher struct {
	changed func(err error)
	down    atomic.Bool
}

func (w *watcher) saw(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	switch code.Of(err) {
	case code.PlatformDown, code.PlatformUnknown:
		if w.down.CompareAndSwap(false, true) {
			w.changed(err)
		}
	default:
		if w.down.CompareAndSwap(true, false) {
			w.changed(nil)
		}
	}
}
