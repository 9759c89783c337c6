package collector

import (
	"net/http"

	"gopkg.in/tomb.v2"

	"heatherford/core"
	"heatherford/io/internal/serve"
)

// Name is the plug-in's name.
const Name = "io/collector"

func init() {
	core.Register(Name, func() core.Plugin {
		p := &plugin{}
		return core.Plugin{
			Name:   Name,
			Attach: p.attach,
			Start:  p.start,
		}
	})
}

type plugin struct {
	metrics *metrics
}

// attach puts a scope that is served in place of the kernel's.
func (p *plugin) attach(k *core.Kernel) error {
	m, err := newMetrics()
	if err != nil {
		return err
	}
	p.metrics = m
	k.Metrics = m.scope
	k.Results.Attach(m.result)
	return nil
}

func (p *plugin) start(k *core.Kernel, t *tomb.Tomb) error {
	m := http.NewServeMux()
	m.Handle("/metrics", p.metrics.handler)
	if err := serve.Run(k, t, serve.Options{
		Name:    Name,
		Address: k.Settings.CollectorAddress,
		Handler: m,
	}); err != nil {
		return err
	}
	s := &sampler{
		kernel: k,
		scope:  p.metrics.scope,
	}
	w := newWriter(k)
	t.Go(func() error {
		defer p.metrics.Close()
		return s.run(t)
	})
	k.OnStop(core.PhaseRecord, Name, w.last)
	t.Go(func() error {
		return w.run(t)
	})
	return nil
}
