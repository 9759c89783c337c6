package peer

import (
	"net/http"

	"gopkg.in/tomb.v2"

	"heatherford/core"
	"heatherford/core/once"
	"heatherford/io/internal/carry"
	"heatherford/io/internal/serve"
	"heatherford/io/internal/stamp"
	"heatherford/io/peer/peerpb"
)

// Name is the plug-in's name.
const Name = "io/peer"

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
	client  *client
	carrier *carrier
	once    *once.Once
}

func (p *plugin) attach(k *core.Kernel) error {
	p.client = newClient(k)
	p.carrier = newCarrier(k)
	p.once = newOnce(k, p.client, p.carrier)
	k.Seams.Carry = p.carrier.carry
	k.Seams.Once = p.once.Do
	k.Seams.Issue = p.once.Issue
	k.OnStop(core.PhaseHandOver, Name+"/once", p.once.HandOver)
	k.Seams.Push = p.client.push
	k.Seams.Timeline = p.client.timeline
	k.Seams.Keep = p.client.keep
	k.Seams.Grants = p.client.grantCalls()
	return nil
}

func (p *plugin) start(k *core.Kernel, t *tomb.Tomb) error {
	m := http.NewServeMux()
	m.Handle(peerpb.PeerPathPrefix, peerpb.NewPeerServer(&server{
		kernel: k,
	}))
	m.Handle(peerpb.LoadsPathPrefix, peerpb.NewLoadsServer(&loadsServer{
		kernel: k,
	}))
	m.Handle(peerpb.TimelinePathPrefix, peerpb.NewTimelineServer(&timelineServer{
		kernel: k,
	}))
	m.Handle(peerpb.OncePathPrefix, peerpb.NewOnceServer(&onceServer{
		once: p.once,
	}))
	m.Handle(peerpb.GrantsPathPrefix, peerpb.NewGrantsServer(&grantsServer{
		kernel: k,
	}))
	m.HandleFunc(carry.WorkPrefix, func(w http.ResponseWriter, r *http.Request) {
		carry.Serve(k, w, r, true)
	})
	if err := serve.Run(k, t, serve.Options{
		Name:    Name,
		Address: k.Settings.PeerAddress,
		Handler: stamp.Handler(k.Clock, m),
	}); err != nil {
		return err
	}
	t.Go(func() error {
		return p.client.exchangeLoop(t)
	})
	t.Go(func() error {
		defer p.carrier.close()
		return p.once.Run(t)
	})
	t.Go(func() error {
		return p.client.loadsLoop(t)
	})
	return nil
}
