package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"gopkg.in/tomb.v2"

	"heatherford/core"
	"heatherford/core/intent"
	"heatherford/core/settings"
	"heatherford/core/store"
	"heatherford/core/strict"
	_ "heatherford/io/caller"
	_ "heatherford/io/collector"
	_ "heatherford/io/health"
	_ "heatherford/io/operator"
	_ "heatherford/io/peer"
	_ "heatherford/io/platform"
	_ "heatherford/io/upstream"
	"heatherford/standin/platform"
	"heatherford/standin/upstream"
)

const (
	kindName     = "waiver-lookup"
	upstreamName = "waiver-desk"
	// endpointSlots and serviceTime size each endpoint.
	endpointSlots = 9
	serviceTime   = 5 * time.Millisecond
	// endpointsPerRegion and hostsPerRegion size each region.
	endpointsPerRegion = 2
	hostsPerRegion     = 2
	// lookupTTL is short, so that the daemons stop soon at the end.
	lookupTTL = 500 * time.Millisecond
)

// regionNames are the demo's regions; each has one availability zone.
var regionNames = []string{"ulaanbaatar", "darkhan", "khovd"}

func zoneName(region string) string {
	return region + "-1"
}

// world is everything that the demo runs.
type world struct {
	platformURL string
	endpoints   []*endpoint
	daemons     []*daemon
	client      *http.Client
	// shifts are those that the declaration holds.
	shifts []intent.Shift
	// sent counts the requests for work that callers sent.
	sent atomic.Uint64
}

// endpoint is an embedded stand-in endpoint.
type endpoint struct {
	name    string
	region  string
	address netip.AddrPort
	standin *upstream.Endpoint
	server  *http.Server
}

// daemon is a kernel with its plug-ins.
type daemon struct {
	settings *settings.Settings
	kernel   *core.Kernel
	// leaving is true once callers should ask another host.
	leaving atomic.Bool
}

// leave makes callers ask other hosts than d.
func (w *world) leave(d *daemon) {
	d.leaving.Store(true)
}

// asked returns the daemon that callers of the i-th region ask: the first of
// the region that is not leaving, else the first of all.
func (w *world) asked(i int) *daemon {
	for _, d := range w.daemons[i*hostsPerRegion : (i+1)*hostsPerRegion] {
		if !d.leaving.Load() {
			return d
		}
	}
	return w.daemons[0]
}

// newWorld starts the stand-ins under t and the daemons by themselves.
func newWorld(t *tomb.Tomb, logs io.Writer) (*world, error) {
	w := &world{
		client: &http.Client{
			Timeout: 10 * time.Second,
		},
	}
	for _, r := range regionNames {
		for i := range endpointsPerRegion {
			if err := w.addEndpoint(t, r, fmt.Sprintf("%s-desk-%d", r, i+1)); err != nil {
				return nil, err
			}
		}
	}
	for _, r := range regionNames {
		for i := range hostsPerRegion {
			if err := w.addSettings(r, fmt.Sprintf("%s-host-%d", r, i+1)); err != nil {
				return nil, err
			}
		}
	}
	if err := w.startPlatform(t); err != nil {
		return nil, err
	}
	return w, w.startDaemons(logs)
}

func (w *world) addEndpoint(t *tomb.Tomb, region, name string) error {
	u := upstream.New(upstream.Options{
		Name:    name,
		Slots:   endpointSlots,
		Service: serviceTime,
	})
	s, a, err := listen(t, u.Handler())
	if err != nil {
		return err
	}
	w.endpoints = append(w.endpoints, &endpoint{
		name:    name,
		region:  region,
		address: a,
		standin: u,
		server:  s,
	})
	return nil
}

// listen serves h on a free address until t dies.
func listen(t *tomb.Tomb, h http.Handler) (*http.Server, netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: time.Second,
	}
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
	return s, l.Addr().(*net.TCPAddr).AddrPort(), nil
}

func (w *world) addSettings(region, name string) error {
	const addresses = 4
	a, err := freeAddresses(addresses)
	if err != nil {
		return err
	}
	w.daemons = append(w.daemons, &daemon{
		settings: &settings.Settings{
			Host:             name,
			Zone:             zoneName(region),
			Region:           region,
			CallerAddress:    a[0],
			PeerAddress:      a[1],
			OperatorAddress:  a[2],
			CollectorAddress: a[3],
			Operators: settings.Operators{
				Open: true,
			},
			Peers: settings.Peers{
				Open: true,
			},
			Limits: settings.Limits{
				LookupTTL: strict.Duration(lookupTTL),
			},
		},
	})
	return nil
}

func freeAddresses(n int) ([]netip.AddrPort, error) {
	s := []netip.AddrPort{}
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		s = append(s, l.Addr().(*net.TCPAddr).AddrPort())
	}
	return s, nil
}

func (w *world) startPlatform(t *tomb.Tomb) error {
	hosts := []store.Host{}
	for _, d := range w.daemons {
		hosts = append(hosts, store.Host{
			Name:          d.settings.Host,
			Zone:          d.settings.Zone,
			Region:        d.settings.Region,
			State:         store.HostLive,
			CallerAddress: d.settings.CallerAddress,
			PeerAddress:   d.settings.PeerAddress,
		})
	}
	_, a, err := listen(t, platform.New(hosts).Handler())
	w.platformURL = "http://" + a.String()
	return err
}

func (w *world) startDaemons(logs io.Writer) error {
	l := log.NewLogfmtLogger(log.NewSyncWriter(logs))
	for _, d := range w.daemons {
		d.settings.Platform = settings.Platform{
			Adapter: "http",
			URL:     w.platformURL,
		}
		if problems := d.settings.Complete(); len(problems) > 0 {
			return errors.Join(problems...)
		}
		k, err := core.New(core.Options{
			Settings: d.settings,
			Log:      log.With(l, "host", d.settings.Host),
			Metrics:  tally.NoopScope,
		})
		if err != nil {
			return err
		}
		if err := k.Start(); err != nil {
			return err
		}
		d.kernel = k
	}
	return nil
}

// stop ends the daemons first, so that they can hand over to one another, and
// then the stand-ins.
func (w *world) stop(t *tomb.Tomb) error {
	g := errgroup.Group{}
	for _, d := range w.daemons {
		g.Go(d.kernel.Stop)
	}
	errs := []error{
		g.Wait(),
	}
	t.Kill(nil)
	errs = append(errs, t.Wait())
	return errors.Join(errs...)
}
