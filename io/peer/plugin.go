package peer

import (
	"net/http"

	"gopkg.in/tomb.v2"

	"heatherford/core"
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
	client *client
}

func (p *plugin) attach(k *core.Kernel) error {
	p.client = newClient(k)
	k.Seams.Carry = p.client.carry
	k.Seams.Push = p.client.push
	k.Seams.Timeline = p.client.timeline
	k.Seams.Keep = p.client.keep
	return nil
}

func (p *plugin) start(k *core.Kernel, t *tomb.Tomb) error {
	m := http.NewServeMux()
	m.Handle(peerpb.PeerPathPrefix, peerpb.NewPeerServer(&server{
		kernel: k,
	}))
	m.Handle(peerpb.TimelinePathPrefix, peerpb.NewTimelineServer(&timelineServer{
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
	return nil
}
