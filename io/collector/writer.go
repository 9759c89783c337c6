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
	// keepShare is the part of a stop's last phase that is left for handing
	// roll-ups over.
	keepShare = 2
)

// writer writes roll-ups to the platform.
type writer struct {
	kernel *core.Kernel
	// turn holds a value while a write runs: an older copy of a roll-up must
	// not be put after its last one.
	turn chan struct{}
}

func newWriter(k *core.Kernel) *writer {
	return &writer{
		kernel: k,
		turn:   make(chan struct{}, 1),
	}
}

func (w *writer) run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for {
		// The first one is written soon, so that the platform knows of a host
		// that dies early.
		i := w.kernel.RollUps.Interval()
		d := time.NewTimer(i/2 + rand.N(i))
		select {
		case <-d.C:
			w.write(ctx)
		case <-t.Dying():
			d.Stop()
			return nil
		}
	}
}

// write writes all that waits, until the platform fails.
func (w *writer) write(ctx context.Context) {
	select {
	case w.turn <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() {
		<-w.turn
	}()
	s, err := w.kernel.RollUps.Objects()
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
	if err := w.kernel.PluginFuncs.Store.PutObject(ctx, o.Name, o.Data); err != nil {
		return err
	}
	w.kernel.RollUps.Wrote(o)
	return nil
}

// last closes the roll-up at the end of a planned stop and writes it, or hands it
// to another host.
func (w *writer) last(ctx context.Context) error {
	w.kernel.RollUps.Stop()
	w.writeShare(ctx)
	s, err := w.kernel.RollUps.Objects()
	if err != nil || len(s) == 0 || w.kernel.PluginFuncs.SendRollUps == nil {
		return err
	}
	if err := w.kernel.PluginFuncs.SendRollUps(ctx, s); err != nil {
		return err
	}
	level.Info(w.kernel.Log).Log("msg", "collector: another host keeps the roll-ups", "count", len(s))
	return nil
}

// writeShare writes for a part of the time that ctx leaves.
func (w *writer) writeShare(ctx context.Context) {
	if end, ok := ctx.Deadline(); ok {
		part, cancel := context.WithTimeout(ctx, time.Until(end)/keepShare)
		defer cancel()
		ctx = part
	}
	w.write(ctx)
}
