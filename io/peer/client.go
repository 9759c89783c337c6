package peer

import (
	"net/http"

	"heatherford/core"
	"heatherford/core/store"
	"heatherford/io/internal/stamp"
)

// client calls other daemons. It is safe for concurrent use.
type client struct {
	kernel    *core.Kernel
	transport *stamp.Transport
}

func newClient(k *core.Kernel, d *dialer) *client {
	return &client{
		kernel: k,
		transport: &stamp.Transport{
			Clock: k.Clock,
			Base: &http.Transport{
				DialContext:         d.dial,
				DisableCompression:  true,
				MaxIdleConnsPerHost: 64,
			},
		},
	}
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
