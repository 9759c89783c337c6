package operator

import (
	"gopkg.in/tomb.v2"

	"heatherford/core"
	"heatherford/io/internal/cert"
	"heatherford/io/internal/serve"
)

// Name is the plug-in's name.
const Name = "io/operator"

func init() {
	core.Register(Name, func() core.Plugin {
		return core.Plugin{
			Name:  Name,
			Start: start,
		}
	})
}

func start(k *core.Kernel, t *tomb.Tomb) error {
	o := serve.Options{
		Name:        Name,
		Address:     k.Settings.OperatorAddress,
		Handler:     New(k).Handler(),
		ReadTimeout: readTimeout,
	}
	if c := k.Settings.Operators.TLS; c.Enabled() {
		s, err := cert.New(c)
		if err != nil {
			return err
		}
		o.TLS = s.Server()
	}
	return serve.Run(k, t, o)
}
