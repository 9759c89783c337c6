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
	client    *client
	exchanger *exchanger
}

func (p *plugin) attach(k *core.Kernel) error {
	p.client = newClient(k)
	k.Seams.Carry = p.client.carry
	k.Seams.Timeline = p.client.timeline
	k.Seams.Keep = p.client.keep
	p.exchanger = newExchanger(k)
	k.Seams.Push = p.exchanger.push
	k.Seams.Describe = p.exchanger.describeAll
	k.Seams.Traffic = p.exchanger.meter.traffic
	k.OnPause(p.exchanger.learnNow)
	k.OnVersion(p.exchanger.spreadVersion)
	k.OnSign(p.exchanger.spreadSigns)
	k.OnStop(core.PhaseAnnounce, Name, p.exchanger.announce)
	return nil
}

func (p *plugin) start(k *core.Kernel, t *tomb.Tomb) error {
	m := http.NewServeMux()
	m.Handle(peerpb.PeerPathPrefix, peerpb.NewPeerServer(&server{
		kernel:    k,
		exchanger: p.exchanger,
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
		return p.exchanger.run(t)
	})
	return nil
}
