package platform

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"gopkg.in/tomb.v2"

	"heatherford/core"
	"heatherford/core/code"
	"heatherford/core/config"
	"heatherford/core/store"
)

// Name is the plug-in's name.
const Name = "io/platform"

// pollInterval is how often the head and the list of hosts are read.
const pollInterval = 500 * time.Millisecond

func init() {
	store.Register("http", func(url string) (store.Store, error) {
		return New(url), checkURL(url)
	})
	core.Register(Name, func() core.Plugin {
		return core.Plugin{
			Name:   Name,
			Attach: attach,
			Start:  start,
		}
	})
}

func attach(k *core.Kernel) error {
	p := k.Settings.Platform
	open := store.Lookup(p.Adapter)
	if open == nil {
		return code.New(code.SettingsValue, "platform: no adapter %q", p.Adapter)
	}
	s, err := open(p.URL)
	if err != nil {
		return err
	}
	k.Seams.Store = s
	return nil
}

func start(k *core.Kernel, t *tomb.Tomb) error {
	t.Go(func() error {
		return poll(k, t)
	})
	return nil
}

func poll(k *core.Kernel, t *tomb.Tomb) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	ctx := t.Context(context.Background())
	for {
		pollOnce(ctx, k)
		select {
		case <-tick.C:
		case <-t.Dying():
			return nil
		}
	}
}

func pollOnce(ctx context.Context, k *core.Kernel) {
	hosts, err := k.Seams.Store.Hosts(ctx)
	if err != nil {
		level.Warn(k.Log).Log("msg", "platform: cannot read hosts", "err", err)
	} else {
		k.OfferHosts(hosts)
	}
	v, _, err := config.Head(ctx, &k.Seams.Store)
	if err != nil {
		level.Warn(k.Log).Log("msg", "platform: cannot read the version", "err", err)
		return
	}
	if v != nil {
		k.OfferVersion(v)
	}
}
