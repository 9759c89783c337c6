package peer

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"gopkg.in/tomb.v2"

	"heatherford/core"
	"heatherford/core/lookup"
	"heatherford/core/store"
	"heatherford/io/peer/peerpb"
)

const (
	// refreshInterval is how often this host's own loads are taken.
	refreshInterval = 100 * time.Millisecond
	// swapInterval is how often loads are swapped with another host.
	swapInterval = time.Second
	swapTimeout  = 400 * time.Millisecond
	// swapLoads is the most loads of other hosts in one message.
	swapLoads = 8
	// hundredths is the number of units in a slot on the wire.
	hundredths = 100
)

// loadsServer answers other daemons' swaps of loads.
type loadsServer struct {
	kernel *core.Kernel
}

// Swap implements peerpb.Loads.
func (s *loadsServer) Swap(_ context.Context, m *peerpb.LoadsMessage) (*peerpb.LoadsMessage, error) {
	a := message(s.kernel)
	s.kernel.OfferLoads(fromMessage(m))
	return a, nil
}

// loadsLoop takes this host's own loads and swaps loads with one host at a
// time.
func (c *client) loadsLoop(t *tomb.Tomb) error {
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	swap := time.NewTicker(swapInterval)
	defer swap.Stop()
	ctx := t.Context(context.Background())
	for {
		select {
		case <-refresh.C:
			c.kernel.Dispatcher.Refresh()
		case <-swap.C:
			c.offerOwn()
			if h, ok := c.partner(); ok {
				go c.swap(ctx, h)
			}
		case <-t.Dying():
			return nil
		}
	}
}

// offerOwn takes this host's own loads.
func (c *client) offerOwn() {
	n := uint64(c.kernel.Now().UnixMilli())
	s := []core.HostLoad{}
	for u, l := range c.kernel.Dispatcher.Loads() {
		s = append(s, core.HostLoad{
			Source: lookup.Source{
				Host:     c.kernel.Settings.Host,
				Upstream: u,
			},
			Sequence: n,
			Load:     l,
		})
	}
	c.kernel.OfferLoads(s)
}

// partner draws a host to swap with: as often of this host's own region, whose
// loads matter most, as of all.
func (c *client) partner() (store.Host, bool) {
	all := c.others()
	near := []store.Host{}
	for _, h := range all {
		if h.Region == c.kernel.Settings.Region {
			near = append(near, h)
		}
	}
	const sides = 2
	if len(near) > 0 && rand.IntN(sides) == 0 {
		all = near
	}
	if len(all) == 0 {
		return store.Host{}, false
	}
	return all[rand.IntN(len(all))], true
}

func (c *client) swap(ctx context.Context, h store.Host) {
	ctx, cancel := context.WithTimeout(ctx, swapTimeout)
	defer cancel()
	p := peerpb.NewLoadsProtobufClient("http://"+h.PeerAddress.String(), &http.Client{
		Transport: c.transport,
	})
	a, err := p.Swap(ctx, message(c.kernel))
	if err != nil {
		level.Debug(c.kernel.Log).Log("msg", "peer: no swap of loads", "host", h.Name, "err", err)
		return
	}
	c.kernel.OfferLoads(fromMessage(a))
}

// message returns this host's own loads and those that it learned last.
func message(k *core.Kernel) *peerpb.LoadsMessage {
	m := &peerpb.LoadsMessage{}
	for _, l := range k.LatestLoads(k.Settings.Host, swapLoads) {
		x := &peerpb.HostLoad{
			Host:      l.Source.Host,
			Upstream:  l.Source.Upstream,
			Sequence:  l.Sequence,
			Slots:     uint32(l.Load.Slots),
			ServiceMs: uint32(l.Load.ServiceTime.Milliseconds()),
		}
		x.UseHundredths = toHundredths(l.Load.Demand)
		for _, o := range l.Load.Origins {
			x.OriginHundredths = append(x.OriginHundredths, toHundredths(o)...)
		}
		m.Loads = append(m.Loads, x)
	}
	return m
}

func fromMessage(m *peerpb.LoadsMessage) []core.HostLoad {
	s := []core.HostLoad{}
	for _, x := range m.Loads {
		l := core.HostLoad{
			Source: lookup.Source{
				Host:     x.Host,
				Upstream: x.Upstream,
			},
			Sequence: x.Sequence,
			Load: lookup.Load{
				Slots:       int(x.Slots),
				ServiceTime: time.Duration(x.ServiceMs) * time.Millisecond,
			},
		}
		l.Load.Demand = fromHundredths(x.UseHundredths)
		l.Load.Origins = origins(fromHundredths(x.OriginHundredths), len(l.Load.Demand))
		s = append(s, l)
	}
	return s
}

// origins splits the shares into those of each rank.
func origins(shares []float64, ranks int) [][]float64 {
	if ranks == 0 || len(shares)%ranks != 0 {
		return nil
	}
	s := [][]float64{}
	n := len(shares) / ranks
	for i := range ranks {
		s = append(s, shares[i*n:(i+1)*n])
	}
	return s
}

func toHundredths(s []float64) []uint32 {
	x := make([]uint32, 0, len(s))
	for _, v := range s {
		x = append(x, uint32(math.Round(v*hundredths)))
	}
	return x
}

func fromHundredths(x []uint32) []float64 {
	s := make([]float64, 0, len(x))
	for _, v := range x {
		s = append(s, float64(v)/hundredths)
	}
	return s
}
