package upstream

import (
	"gopkg.in/tomb.v2"

	"heatherford/core"
)

// Name is the plug-in's name.
const Name = "io/upstream"

func init() {
	core.Register(Name, func() core.Plugin {
		s := New()
		return core.Plugin{
			Name: Name,
			Attach: func(k *core.Kernel) error {
				k.Seams.Send = s.Send
				return nil
			},
			Start: func(_ *core.Kernel, t *tomb.Tomb) error {
				t.Go(func() error {
					<-t.Dying()
					s.Close()
					return nil
				})
				return nil
			},
		}
	})
}
