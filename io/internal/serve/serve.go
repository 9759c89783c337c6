package serve

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"
	"gopkg.in/tomb.v2"

	"heatherford/core"
	"heatherford/core/code"
	"heatherford/io/internal/keepalive"
	"heatherford/io/internal/listen"
)

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// Options are what a listener needs.
type Options struct {
	// Name is the name of the plug-in that listens.
	Name    string
	Address netip.AddrPort
	Handler http.Handler
	// TLS is nil for plain HTTP.
	TLS *tls.Config
	// ReadTimeout bounds the reading of one request; zero stands for no bound.
	ReadTimeout time.Duration
}

// Run listens and serves until the kernel's planned stop has ended the requests
// in flight, or t dies. It returns after the address is bound.
func Run(k *core.Kernel, t *tomb.Tomb, o Options) error {
	tcp, err := listenTCP(o.Address)
	if err != nil {
		return code.Wrap(code.SettingsValue, err, "serve: cannot listen on %s", o.Address)
	}
	g := newGuard(o.Handler, k.Stopping)
	s := &http.Server{
		Handler:        g,
		ReadTimeout:    o.ReadTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	x := keepalive.New(tcp, keepalive.Options{
		HTTP:          s,
		HeaderTimeout: headerTimeout,
		IdleTimeout:   func() time.Duration { return idleTimeout },
		Log: func(pairs ...any) {
			level.Info(k.Log).Log(append([]any{"msg", "serve: a connection ended with a request on it", "listener", o.Name}, pairs...)...)
		},
	})
	l := listen.Retrying(x.Listener(), func(err error, delay time.Duration) {
		level.Warn(k.Log).Log("msg", "serve: cannot accept", "plugin", o.Name, "err", err, "delay", delay)
	})
	if o.TLS != nil {
		l = tls.NewListener(l, o.TLS)
	}
	k.OnStop(core.PhaseFinish, o.Name, func(ctx context.Context) error {
		g.waitQuiet(ctx)
		if err := ignoreNew(ctx, tcp); err != nil {
			level.Warn(k.Log).Log("msg", "stop: cannot wait for connections that are being opened", "err", err)
		}
		return x.Stop(ctx)
	})
	t.Go(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	t.Go(func() error {
		<-t.Dying()
		return s.Close()
	})
	return nil
}
