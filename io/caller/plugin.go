package caller

import (
	"time"

	"gopkg.in/tomb.v2"

	"heatherford/core"
	"heatherford/io/internal/serve"
)

// readTimeout bounds the reading of one request from a caller.
const readTimeout = 30 * time.Second

// Name is the plug-in's name.
const Name = "io/caller"

func init() {
	core.Register(Name, func() core.Plugin {
		return core.Plugin{
			Name: Name,
			Start: func(k *core.Kernel, t *tomb.Tomb) error {
				return serve.Run(k, t, serve.Options{
					Name:        Name,
					Address:     k.Settings.CallerAddress,
					Handler:     New(k).Handler(),
					ReadTimeout: readTimeout,
				})
			},
		}
	})
}
