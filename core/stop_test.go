package core_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"heatherford/core"
	"heatherford/core/settings"
	"heatherford/core/strict"
)

// TestStopRunsItsPhasesInOrder checks that the phases of a stop run in order under one
// deadline. A hook that fails does not end the stop, and one that blocks has its context
// ended at its phase's end.
func TestStopRunsItsPhasesInOrder(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	mu := sync.Mutex{}
	ran := []core.Phase{}
	k, err := core.New(core.Options{
		Settings: &settings.Settings{
			Host: "h1",
			Limits: settings.Limits{
				StopDeadline: strict.Duration(300 * time.Millisecond),
			},
		},
		Log:     log.NewNopLogger(),
		Metrics: tally.NoopScope,
		Plugins: []core.Plugin{
			{
				Name: "io/fake",
				Attach: func(k *core.Kernel) error {
					for _, p := range []core.Phase{core.PhaseFinish, core.PhaseAnnounce, core.PhaseHandOver, core.PhaseExpire} {
						k.OnStop(p, "io/fake", func(ctx context.Context) error {
							mu.Lock()
							ran = append(ran, p)
							mu.Unlock()
							c.Check(k.Stopping(), qt.IsTrue)
							if p == core.PhaseHandOver {
								<-ctx.Done()
							}
							return errors.New("a hook failed")
						})
					}
					return nil
				},
			},
		},
	})
	c.Assert(err, qt.IsNil)
	c.Assert(k.Start(), qt.IsNil)
	started := time.Now()
	g := sync.WaitGroup{}
	for range 3 {
		g.Go(func() {
			c.Check(k.Stop(), qt.IsNil)
		})
	}
	g.Wait()
	c.Assert(ran, qt.DeepEquals, []core.Phase{core.PhaseAnnounce, core.PhaseExpire, core.PhaseHandOver, core.PhaseFinish})
	const generous = 5 * time.Second
	c.Assert(time.Since(started) < generous, qt.IsTrue)
}
