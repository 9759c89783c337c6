package platform

import (
	"gopkg.in/tomb.v2"

	"heatherford/core"
	"heatherford/core/code"
	"heatherford/core/store"
)

// Name is the plug-in's name.
const Name = "io/platform"

func init() {
	store.Register("http", func(url string) (store.Store, error) {
		return New(url), checkURL(url)
	})
	core.Register(Name, func() core.Plugin {
		p := &poller{}
		return core.Plugin{
			Name: Name,
			Attach: func(k *core.Kernel) error {
				p = newPoller(k)
				return attach(k)
			},
			Start: func(_ *core.Kernel, t *tomb.Tomb) error {
				t.Go(func() error {
					return p.run(t)
				})
				return nil
			},
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
	k.PluginFuncs.Store = s
	return nil
}
