package peer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"gopkg.in/tomb.v2"

	"heatherford/core"
	"heatherford/core/config"
	"heatherford/core/intent"
	"heatherford/core/store"
	"heatherford/io/internal/stamp"
	"heatherford/io/peer/peerpb"
)

const (
	exchangeInterval = 500 * time.Millisecond
	exchangeTimeout  = time.Second
)

// client calls other daemons. It is safe for concurrent use.
type client struct {
	kernel    *core.Kernel
	transport *stamp.Transport
}

func newClient(k *core.Kernel) *client {
	return &client{
		kernel: k,
		transport: &stamp.Transport{
			Clock: k.Clock,
			Base: &http.Transport{
				DisableCompression:  true,
				MaxIdleConnsPerHost: 64,
			},
		},
	}
}

func (c *client) peer(h store.Host) peerpb.Peer {
	return peerpb.NewPeerProtobufClient("http://"+h.PeerAddress.String(), &http.Client{
		Transport: c.transport,
		Timeout:   exchangeTimeout,
	})
}

// others returns the other hosts.
func (c *client) others() []store.Host {
	s := []store.Host{}
	for n, h := range c.kernel.Snapshot().Hosts {
		if n != c.kernel.Settings.Host {
			s = append(s, h)
		}
	}
	return s
}

// exchangeLoop exchanges versions with one random host at a time.
func (c *client) exchangeLoop(t *tomb.Tomb) error {
	tick := time.NewTicker(exchangeInterval)
	defer tick.Stop()
	defer c.transport.CloseIdleConnections()
	ctx := t.Context(context.Background())
	for {
		select {
		case <-tick.C:
		case <-t.Dying():
			return nil
		}
		if s := c.others(); len(s) > 0 {
			c.exchange(ctx, s[rand.IntN(len(s))], nil)
		}
	}
}

// push sends v to all other hosts.
func (c *client) push(v *intent.Version) {
	b, err := json.Marshal(v)
	if err != nil {
		level.Error(c.kernel.Log).Log("msg", "peer: cannot encode a version", "err", err)
		return
	}
	for _, h := range c.others() {
		go c.exchange(context.Background(), h, b)
	}
}

func (c *client) exchange(ctx context.Context, h store.Host, pushed []byte) {
	a, err := c.peer(h).Exchange(ctx, &peerpb.ExchangeRequest{
		Host:    c.kernel.Settings.Host,
		Version: number(c.kernel.Snapshot().Version),
		Pushed:  pushed,
	})
	if err != nil {
		level.Debug(c.kernel.Log).Log("msg", "peer: no exchange", "host", h.Name, "err", err)
		return
	}
	if len(a.Newer) == 0 {
		return
	}
	v, err := config.Decode(a.Newer)
	if err != nil {
		level.Error(c.kernel.Log).Log("msg", "peer: cannot decode a version", "host", h.Name, "err", err)
		return
	}
	c.kernel.OfferVersion(v)
}
