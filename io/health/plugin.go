package health

import (
	"gopkg.in/tomb.v2"

	"heatherford/core"
)

// Name is the plug-in's name.
const Name = "io/health"

func init() {
	core.Register(Name, func() core.Plugin {
		return core.Plugin{
			Name: Name,
			Start: func(k *core.Kernel, t *tomb.Tomb) error {
				p := newProber(k)
				t.Go(func() error {
					return p.run(t)
				})
				return nil
			},
		}
	})
}
