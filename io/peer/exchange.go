package peer

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"

	"heatherford/core"
	"heatherford/core/code"
	"heatherford/core/config"
	"heatherford/core/intent"
	"heatherford/core/store"
	"heatherford/io/internal/stamp"
	"heatherford/io/peer/peerpb"
)

const (
	// probeInterval is the time between the probes of one host.
	probeInterval = time.Second
	// probeTimeout bounds a probe, directly or through another host.
	probeTimeout = 400 * time.Millisecond
	// fetchTimeout bounds the fetching of a version's parts.
	fetchTimeout = 10 * time.Second
	// learnHosts is how many hosts are asked at once for the newest version.
	learnHosts = 6
	// seldomLearn is how often a host that may not serve asks again.
	seldomLearn = 250 * time.Millisecond
	// budgetBytes is what a host may send a second of versions, in the long
	// run, and budgetBurst what it may send at once.
	budgetBytes = 3 << 10
	budgetBurst = 256 << 10
	// probesAtOnce bounds the probes that go on side by side: a failing one
	// takes longer than the interval.
	probesAtOnce = 4
	// idleConns is the number of idle connections to each host.
	idleConns = 2
)

// exchanger exchanges what daemons know of versions, hosts and drains. It is
// safe for concurrent use.
type exchanger struct {
	kernel    *core.Kernel
	transport *stamp.Transport
	budget    *rate.Limiter
	// probing holds one element for each probe that goes on.
	probing chan struct{}
	// learn holds a value if the newest version is to be learnt at once.
	learn chan struct{}
	// spread holds what is to be told to other hosts at once.
	spread chan spreadTask
	// pull holds hosts whose version is newer.
	pull chan store.Host
	// followed holds a version that was confirmed at this host.
	followed chan *intent.Version
	versions *versions
}

func newExchanger(k *core.Kernel, d *dialer) *exchanger {
	return &exchanger{
		kernel: k,
		transport: &stamp.Transport{
			Clock: k.Clock,
			Base: &http.Transport{
				DisableCompression:  true,
				MaxIdleConnsPerHost: idleConns,
				DialContext:         d.dial,
			},
		},
		budget:   rate.NewLimiter(budgetBytes, budgetBurst),
		probing:  make(chan struct{}, probesAtOnce),
		learn:    make(chan struct{}, 1),
		spread:   make(chan spreadTask, 1),
		pull:     make(chan store.Host, 1),
		followed: make(chan *intent.Version, 1),
		versions: &versions{
			hosts: map[string]uint64{},
		},
	}
}

// run exchanges until t dies.
func (x *exchanger) run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	t.Go(func() error {
		x.spreadLoop(ctx)
		return nil
	})
	t.Go(func() error {
		x.learnLoop(ctx)
		return nil
	})
	t.Go(func() error {
		x.followLoop(ctx)
		return nil
	})
	defer x.transport.CloseIdleConnections()
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			x.startProbe(ctx, t)
		case <-ctx.Done():
			return nil
		}
	}
}

// startProbe probes the next host without waiting for the answer. A probe is left
// out while too many others go on.
func (x *exchanger) startProbe(ctx context.Context, t *tomb.Tomb) {
	select {
	case x.probing <- struct{}{}:
	default:
		return
	}
	t.Go(func() error {
		defer func() { <-x.probing }()
		x.probe(ctx)
		return nil
	})
}

// probe probes the next host, directly and then through others.
func (x *exchanger) probe(ctx context.Context) {
	h := x.kernel.NextProbe()
	if h == nil {
		return
	}
	err := x.exchange(ctx, *h, nil)
	if err == nil || ctx.Err() != nil || errors.Is(err, errReplaced) {
		return
	}
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if !refused && x.probeThrough(ctx, *h) {
		return
	}
	x.kernel.ProbeFailed(h.Name, refused)
}

// probeThrough reports whether another host reaches h.
func (x *exchanger) probeThrough(ctx context.Context, h store.Host) bool {
	reached := make(chan bool)
	relays := x.kernel.ProbeRelays(h.Name)
	m, err := x.hostMessage(h)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	for _, r := range relays {
		go func() {
			a, err := x.peer(r).Probe(ctx, &peerpb.ProbeRequest{
				Host: m,
			})
			reached <- err == nil && a.GetReached()
		}()
	}
	ok := false
	for range relays {
		ok = <-reached || ok
	}
	return ok
}

func (x *exchanger) hostMessage(h store.Host) (*peerpb.Host, error) {
	for _, k := range x.kernel.OtherHosts() {
		if k.Host.Name == h.Name {
			return newHost(k.Update)
		}
	}
	return nil, code.New(code.PeerUnreachable, "peer: no host %q", h.Name)
}

// errReplaced is the result of an exchange that another host answered.
var errReplaced = errors.New("peer: another host has the address")

// exchange tells h what this host knows, with the deltas, and takes the answer.
func (x *exchanger) exchange(ctx context.Context, h store.Host, push []*config.Delta) error {
	return x.ask(ctx, h, false, push)
}

// ask is exchange that also asks for all hosts that h knows, if all is true.
func (x *exchanger) ask(ctx context.Context, h store.Host, all bool, push []*config.Delta) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	m, err := newKnown(x.kernel.Gossip(h.Name), x.kernel.Snapshot().Config.Number)
	if err != nil {
		return err
	}
	m.Deltas = newDeltas(push)
	started := time.Now()
	a, err := x.peer(h).Exchange(ctx, &peerpb.ExchangeRequest{
		To:       h.Name,
		Known:    m,
		AllHosts: all,
	})
	if err != nil {
		return err
	}
	g, err := gossip(a.GetKnown())
	if err != nil {
		return err
	}
	x.kernel.OfferGossip(g)
	if h.Name != "" && g.Self.Host.Name != h.Name {
		x.kernel.HostReplaced(h.Name)
		return errReplaced
	}
	x.take(a.GetKnown(), g.Self.Host)
	x.vouch(a, g.Self.Host, started)
	return nil
}

// vouch notes that this host's version has been compared with that of a serving
// host.
func (x *exchanger) vouch(a *peerpb.ExchangeResponse, h store.Host, started time.Time) {
	if !a.GetServing() || x.kernel.Snapshot().Config.Number < a.GetKnown().GetVersion() {
		return
	}
	x.kernel.Freshness.RecordPeer(h.Name, h.Zone, started, x.kernel.Quorum())
}

// take applies the deltas of a message from h. If h still has a newer version,
// its parts are fetched.
func (x *exchanger) take(m *peerpb.Known, h store.Host) {
	x.versions.note(h.Name, m.GetVersion())
	if len(m.GetDeltas()) > 0 && !x.kernel.OfferDeltas(deltas(m.GetDeltas())) {
		level.Debug(x.kernel.Log).Log("msg", "peer: deltas do not fit", "from", h.Name)
	}
	if x.kernel.Snapshot().Config.Number >= m.GetVersion() {
		return
	}
	select {
	case x.pull <- h:
	default:
	}
}

// fetch fetches the parts of h's version that this host lacks.
func (x *exchanger) fetch(ctx context.Context, h store.Host) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	b := x.kernel.Snapshot().Config
	a, err := x.peer(h).Fetch(ctx, &peerpb.FetchRequest{
		Version: b.Number,
		Digests: b.Digests(),
	})
	if err != nil || a.GetDelta() == nil {
		level.Debug(x.kernel.Log).Log("msg", "peer: nothing fetched", "from", h.Name, "err", err)
		return
	}
	d := delta(a.GetDelta())
	if !x.kernel.OfferDeltas([]*config.Delta{d}) {
		level.Warn(x.kernel.Log).Log("msg", "peer: fetched parts do not fit", "from", h.Name, "version", d.Number)
	}
}

// deltasFor returns the deltas to b for a host that has the version, or nil if
// there are none or they would take more than the budget.
func (x *exchanger) deltasFor(b *config.Bundle, version uint64) []*peerpb.Delta {
	s, ok := b.DeltasSince(version)
	if !ok || len(s) == 0 {
		return nil
	}
	n := 0
	for _, d := range s {
		n += d.Bytes()
	}
	if !x.budget.AllowN(time.Now(), n) {
		return nil
	}
	return newDeltas(s)
}

func (x *exchanger) peer(h store.Host) peerpb.Peer {
	return peerpb.NewPeerProtobufClient("http://"+h.PeerAddress.String(), &http.Client{
		Transport: lean{
			base: x.transport,
		},
	})
}

// lean leaves out headers that other daemons do not read: they would be a fifth
// of what daemons exchange at rest.
type lean struct {
	base *stamp.Transport
}

// RoundTrip implements http.RoundTripper.
func (l lean) RoundTrip(r *http.Request) (*http.Response, error) {
	q := r.Clone(r.Context())
	q.Header.Del("Accept")
	q.Header.Del("Twirp-Version")
	// An empty value keeps the transport from adding its own.
	q.Header.Set("User-Agent", "")
	return l.base.RoundTrip(q)
}
