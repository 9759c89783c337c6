package peer

import (
	"net/http"
	"time"

	"gopkg.in/tomb.v2"

	"heatherford/core"
	"heatherford/core/once"
	"heatherford/io/internal/carry"
	"heatherford/io/internal/serve"
	"heatherford/io/internal/stamp"
	"heatherford/io/peer/peerpb"
)

// maxBodyBytes bounds a call for control, and readTimeout its reading.
const (
	maxBodyBytes = 64 << 20
	readTimeout  = 30 * time.Second
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
	carrier   *carrier
	exchanger *exchanger
	dialer    *dialer
	once      *once.Once
}

func (p *plugin) attach(k *core.Kernel) error {
	d, err := newDialer(k)
	if err != nil {
		return err
	}
	p.dialer = d
	m := &meter{
		since: k.Now(),
	}
	e := &meter{
		since: k.Now(),
	}
	p.client = newClient(k, d.metered(m))
	p.carrier = newCarrier(k, d)
	p.once = newOnce(k, p.client, p.carrier)
	k.PluginFuncs.Forward = p.carrier.carry
	k.PluginFuncs.RunOnce = p.once.Do
	k.PluginFuncs.IssueTicket = p.once.Issue
	k.OnStop(core.PhaseHandOver, Name+"/once", p.once.HandOver)
	k.PluginFuncs.QueryTimeline = p.client.timeline
	k.PluginFuncs.SendRollUps = p.client.keep
	k.PluginFuncs.Grants = p.client.grantCalls()
	p.exchanger = newExchanger(k, d.metered(e))
	k.PluginFuncs.PushVersion = p.exchanger.push
	k.PluginFuncs.PeerReports = p.exchanger.describeAll
	k.PluginFuncs.Traffic = func() (exchange, other core.Traffic) {
		return e.traffic(), m.traffic()
	}
	k.OnPause(p.exchanger.learnNow)
	k.OnVersion(p.exchanger.spreadVersion)
	k.OnNotice(p.exchanger.spreadSigns)
	k.OnStop(core.PhaseAnnounce, Name, p.exchanger.announce)
	return nil
}

func (p *plugin) start(k *core.Kernel, t *tomb.Tomb) error {
	m := http.NewServeMux()
	m.Handle(peerpb.LoadsPathPrefix, peerpb.NewLoadsServer(&loadsServer{
		kernel: k,
	}))
	m.Handle(peerpb.PeerPathPrefix, http.MaxBytesHandler(dateless(peerpb.NewPeerServer(&server{
		kernel:    k,
		exchanger: p.exchanger,
	})), maxBodyBytes))
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
	o := serve.Options{
		Name:        Name,
		Address:     k.Settings.PeerAddress,
		ReadTimeout: readTimeout,
		Handler:     stamp.Handler(k.Clock, identified(m)),
	}
	if p.dialer.certs != nil {
		o.TLS = p.dialer.certs.Server()
	}
	if err := serve.Run(k, t, o); err != nil {
		return err
	}
	t.Go(func() error {
		return p.exchanger.run(t)
	})
	t.Go(func() error {
		return p.client.loadsLoop(t)
	})
	t.Go(func() error {
		defer p.carrier.close()
		return p.once.Run(t)
	})
	return nil
}

// dateless serves without the Date header, which other daemons do not read.
func dateless(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}
