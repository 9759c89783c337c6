package core_test

import (
	"crypto/rand"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"gopkg.in/tomb.v2"

	"heatherford/core"
	"heatherford/core/intent"
	"heatherford/core/settings"
	"heatherford/core/timeline"
)

func newKernel(c *qt.C, plugins ...core.Plugin) *core.Kernel {
	k, err := core.New(core.Options{
		Settings: &settings.Settings{
			Host: "h1",
			Zone: "z1",
		},
		Log:     log.NewNopLogger(),
		Metrics: tally.NoopScope,
		Now:     func() time.Time { return time.Unix(1, 0) },
		Plugins: plugins,
	})
	c.Assert(err, qt.IsNil)
	return k
}

func version(n uint64) *intent.Version {
	return &intent.Version{
		Number:      n,
		Declaration: &intent.Declaration{},
	}
}

func TestStopEndsEveryGoroutine(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	ended := make(chan struct{})
	k := newKernel(c, core.Plugin{
		Name: "io/fake",
		Start: func(_ *core.Kernel, t *tomb.Tomb) error {
			t.Go(func() error {
				<-t.Dying()
				close(ended)
				return nil
			})
			return nil
		},
	})
	c.Assert(k.Start(), qt.IsNil)
	c.Assert(k.Stop(), qt.IsNil)
	<-ended
	c.Assert(k.Stop(), qt.IsNil)
	// Events that are posted after the end are dropped and don't block.
	k.OfferVersion(version(1))
	c.Assert(k.Snapshot().Version, qt.IsNil)
}

func TestStartReportsThePluginThatFails(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	failure := errors.New("no such address")
	k := newKernel(c, core.Plugin{
		Name:  "io/fake",
		Start: func(*core.Kernel, *tomb.Tomb) error { return failure },
	})
	c.Assert(k.Start(), qt.ErrorIs, failure)
}

func TestConfigVersionNeverGoesBack(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	k := newKernel(c, core.Plugin{
		Name: "io/fake",
	})
	c.Assert(k.Start(), qt.IsNil)
	for _, n := range []uint64{1, 3, 2, 3, 1} {
		k.OfferVersion(version(n))
	}
	// Stop waits for the control goroutine, which has handled all events by then.
	c.Assert(k.Stop(), qt.IsNil)
	c.Assert(k.Snapshot().Version.Number, qt.Equals, uint64(3))
	events := k.Ring.Events(func(e *timeline.Event) bool {
		return e.Kind == timeline.KindConfig
	})
	c.Assert(events, qt.HasLen, 2)
}

func TestRegisterRefusesATakenName(t *testing.T) {
	c := qt.New(t)
	// The registry is global, so each run of the test uses a new name.
	name := "io/" + rand.Text()
	p := func() core.Plugin {
		return core.Plugin{
			Name: name,
		}
	}
	core.Register(name, p)
	c.Assert(func() { core.Register(name, p) }, qt.PanicMatches, "core: plug-in registered twice: "+name)
}
