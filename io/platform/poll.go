package platform

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"gopkg.in/tomb.v2"

	"heatherford/core"
	"heatherford/core/config"
)

const (
	// readInterval is how often the few readers of each zone read the head and
	// the list of hosts, and how often others try until they may serve.
	readInterval = 500 * time.Millisecond
	// seldomInterval is how often all others read them.
	seldomInterval = 30 * time.Second
)

// poller reads the newest version and the list of hosts. One goroutine uses it.
type poller struct {
	kernel *core.Kernel
	// wake holds a value if the platform is to be read at once.
	wake chan struct{}
	// readAt is when the platform was last read.
	readAt time.Time
	// down is true while the platform does not answer.
	down bool
}

func newPoller(k *core.Kernel) *poller {
	p := &poller{
		kernel: k,
		wake:   make(chan struct{}, 1),
	}
	k.OnPause(func() {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	})
	return p
}

func (p *poller) run(t *tomb.Tomb) error {
	tick := time.NewTicker(readInterval)
	defer tick.Stop()
	ctx := t.Context(context.Background())
	p.read(ctx)
	for {
		select {
		case <-p.wake:
			p.read(ctx)
		case <-tick.C:
			if p.due() {
				p.read(ctx)
			}
		case <-t.Dying():
			return nil
		}
	}
}

func (p *poller) due() bool {
	return p.kernel.CheckServing() != nil || p.kernel.IsReader() || p.kernel.Now().Sub(p.readAt) >= seldomInterval
}

// read reads the list of hosts and the newest version.
func (p *poller) read(ctx context.Context) {
	started := time.Now()
	p.readAt = p.kernel.Now()
	s := &p.kernel.PluginFuncs.Store
	hosts, err := s.Hosts(ctx)
	if err == nil {
		p.kernel.OfferHosts(hosts)
	}
	b, loadErr := config.Load(ctx, s, p.kernel.Snapshot().Config)
	if loadErr == nil {
		p.kernel.OfferBundle(b)
		p.kernel.Freshness.RecordTableRead(started)
		p.kernel.PlatformAnswered()
	}
	if err == nil {
		err = loadErr
	}
	p.note(ctx, err)
}

// note logs that the platform does not answer, or answers again, once.
func (p *poller) note(ctx context.Context, err error) {
	down := err != nil
	if down == p.down || ctx.Err() != nil {
		return
	}
	p.down = down
	if down {
		level.Warn(p.kernel.Log).Log("msg", "platform: the platform does not answer", "err", err)
		return
	}
	level.Info(p.kernel.Log).Log("msg", "platform: the platform answers again")
}
