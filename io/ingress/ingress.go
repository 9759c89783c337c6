package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"goji.io"
	"goji.io/pat"
	"gopkg.in/tomb.v2"

	"heatherford/core/edge"
	"heatherford/io/internal/keepalive"
	"heatherford/io/internal/listen"
)

const (
	// headerTimeout bounds the reading of a request's head unless the
	// declaration says otherwise.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds a request's head where the declaration does not.
	maxHeaderBytes = 128 << 10
	// lookupIdle is how long an unused connection for look-ups is kept.
	lookupIdle = 30 * time.Second
	// lookupLast is how long look-ups in progress may take at the end of a stop.
	lookupLast = 50 * time.Millisecond
)

// Options are what an Ingress needs. All are required.
type Options struct {
	Edge    *edge.Edge
	Headers Headers
	Lookups Lookups
	// ReadyPath and LookupPath are the paths of the two questions.
	ReadyPath  string
	LookupPath string
	// Callers, Ready and Directory are the addresses to listen on. The last two
	// may be the zero value.
	Callers   netip.AddrPort
	Ready     netip.AddrPort
	Directory netip.AddrPort
	// Log writes a line of a kind with pairs of keys and values. It does not block.
	Log func(kind string, pairs ...any)
}

// Ingress listens for callers.
type Ingress struct {
	options Options
	traffic *keepalive.Server
	others  []*keepalive.Server
	leaving atomic.Bool
	// idle returns how long a caller's unused connection is kept; zero stands for
	// without end.
	idle func() time.Duration
	// pause is the longest pause between bytes of a request's body.
	pause time.Duration
}

// Start listens and serves in goroutines of t until Stop, or until t is killed without an
// error.
func Start(o Options, t *tomb.Tomb) (*Ingress, error) {
	l, err := listen.Bind(o.Callers)
	if err != nil {
		return nil, err
	}
	return newIngress(o).start(t, l)
}

func newIngress(o Options) *Ingress {
	n := &Ingress{
		options: o,
		pause:   bodyTimeout,
	}
	n.idle = n.declaredIdle
	return n
}

// start serves callers on l.
func (n *Ingress) start(t *tomb.Tomb, l net.Listener) (*Ingress, error) {
	o := n.options
	n.traffic = n.serve(t, l, "callers", n.idle, &traffic{
		edge:    o.Edge,
		headers: o.Headers,
		leaving: &n.leaving,
		pause:   n.pause,
	})
	ready := goji.NewMux()
	ready.HandleFunc(pat.Get(o.ReadyPath), n.ready)
	lookups := goji.NewMux()
	lookups.Handle(pat.Get(o.LookupPath), &directory{
		edge:    o.Edge,
		lookups: o.Lookups,
	})
	idle := func() time.Duration { return lookupIdle }
	for _, x := range []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
	}{
		{"ready", o.Ready, ready},
		{"look-ups", o.Directory, lookups},
	} {
		if !x.address.IsValid() {
			continue
		}
		l, err := listen.Bind(x.address)
		if err != nil {
			return nil, err
		}
		n.others = append(n.others, n.serve(t, l, x.name, idle, x.handler))
	}
	return n, nil
}

// serve serves a handler on l. An unused connection is kept for the time that idle returns.
func (n *Ingress) serve(t *tomb.Tomb, l net.Listener, name string, idle func() time.Duration, h http.Handler) *keepalive.Server {
	s := &http.Server{
		Handler:        h,
		MaxHeaderBytes: maxHeaderBytes,
	}
	k := keepalive.New(l, keepalive.Options{
		HTTP:          s,
		HeaderTimeout: headerTimeout,
		IdleTimeout:   idle,
		Log: func(pairs ...any) {
			n.options.Log("caller", pairs...)
		},
	})
	listen.Serve(t, k.Listener(), listen.Options{
		Name:   name,
		Server: s,
		Log:    n.options.Log,
	})
	return k
}

func (n *Ingress) ready(w http.ResponseWriter, _ *http.Request) {
	if !n.options.Edge.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// declaredIdle returns the idle time that the declaration in force states.
func (n *Ingress) declaredIdle() time.Duration {
	if v := n.options.Edge.View(); v.Table != nil {
		return v.Table.Declaration.Limits.IdleTimeout
	}
	return 0
}

// Leave makes every caller use another connection next. New connections are
// still served, since callers keep look-ups for a while.
func (n *Ingress) Leave() {
	n.leaving.Store(true)
}

// Stop takes no more requests and waits for those in progress until ctx ends, then ends
// look-ups.
func (n *Ingress) Stop(ctx context.Context) error {
	n.leaving.Store(true)
	err := n.traffic.Stop(ctx)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lookupLast)
	defer cancel()
	for _, s := range n.others {
		err = errors.Join(err, s.Stop(ctx))
	}
	return err
}
