package collector

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"
	"gopkg.in/tomb.v2"

	"heatherford/core"
	"heatherford/core/rollup"
)

const (
	putTimeout = 2 * time.Second
	// putSpacing spreads the roll-ups that were kept in an outage, so that its
	// end brings no burst.
	putSpacing = 50 * time.Millisecond
	// lastTimeout bounds the writing at a planned stop, lastWait the wait for
	// requests in flight before it.
	lastTimeout = 5 * time.Second
	lastWait    = 10 * time.Second
	lastPoll    = 50 * time.Millisecond
	// keepShare is the part of lastTimeout left for handing roll-ups over.
	keepShare = 2
)

// writer writes roll-ups to the platform.
type writer struct {
	kernel *core.Kernel
}

func (w *writer) run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for {
		// The first one is written soon, so that the platform knows of a host
		// that dies early.
		i := w.kernel.Rolls.Interval()
		d := time.NewTimer(i/2 + rand.N(i))
		select {
		case <-d.C:
			w.write(ctx)
		case <-t.Dying():
			d.Stop()
			w.last()
			return nil
		}
	}
}

// write writes all that waits, until the platform fails.
func (w *writer) write(ctx context.Context) {
	s, err := w.kernel.Rolls.Objects()
	if err != nil {
		level.Error(w.kernel.Log).Log("msg", "collector: cannot encode a roll-up", "err", err)
	}
	for i, o := range s {
		if i > 0 {
			pause(ctx)
		}
		if err := w.put(ctx, o); err != nil {
			level.Warn(w.kernel.Log).Log("msg", "collector: cannot write roll-ups", "waiting", len(s)-i, "err", err)
			return
		}
	}
}

func pause(ctx context.Context) {
	t := time.NewTimer(putSpacing)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (w *writer) put(ctx context.Context, o rollup.Object) error {
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	if err := w.kernel.Seams.Store.PutObject(ctx, o.Name, o.Data); err != nil {
		return err
	}
	w.kernel.Rolls.Wrote(o)
	return nil
}

// last closes the roll-up when no request is in flight any more, and writes it
// or hands it to another host.
func (w *writer) last() {
	w.waitIdle()
	w.kernel.Rolls.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), lastTimeout/keepShare)
	defer cancel()
	w.write(ctx)
	s, err := w.kernel.Rolls.Objects()
	if err != nil || len(s) == 0 {
		return
	}
	w.hand(s)
}

func (w *writer) hand(s []rollup.Object) {
	if w.kernel.Seams.Keep == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), lastTimeout-lastTimeout/keepShare)
	defer cancel()
	if err := w.kernel.Seams.Keep(ctx, s); err != nil {
		level.Error(w.kernel.Log).Log("msg", "collector: roll-ups are lost", "count", len(s), "err", err)
		return
	}
	level.Info(w.kernel.Log).Log("msg", "collector: another host keeps the roll-ups", "count", len(s))
}

func (w *writer) waitIdle() {
	end := time.Now().Add(lastWait)
	for w.busy() && time.Now().Before(end) {
		time.Sleep(lastPoll)
	}
}

func (w *writer) busy() bool {
	for _, n := range w.kernel.Dispatcher.InFlight() {
		if n > 0 {
			return true
		}
	}
	return false
}
