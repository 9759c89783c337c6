package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"heatherford/core"
	"heatherford/core/code"
	"heatherford/io/internal/cert"
)

// dialTimeout bounds the dialling of another host, its TLS handshake included.
const dialTimeout = 400 * time.Millisecond

// dialer connects to other daemons, by TLS if the settings say so: each side
// shows a certificate with its host's name. It is safe for concurrent use.
type dialer struct {
	kernel *core.Kernel
	// certs is nil without TLS.
	certs *cert.Source
	// meter counts the connections' bytes; nil stands for no count.
	meter *meter
}

// newDialer returns a dialer for the kernel's settings. It returns an error if a
// certificate cannot be used.
func newDialer(k *core.Kernel) (*dialer, error) {
	d := &dialer{
		kernel: k,
	}
	if !k.Settings.Peers.TLS.Enabled() {
		return d, nil
	}
	s, err := cert.New(k.Settings.Peers.TLS)
	d.certs = s
	return d, err
}

// metered returns d with its connections' bytes counted.
func (d *dialer) metered(m *meter) *dialer {
	return &dialer{
		kernel: d.kernel,
		certs:  d.certs,
		meter:  m,
	}
}

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := d.kernel.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if d.meter != nil {
		c = &meteredConn{
			Conn:  c,
			meter: d.meter,
		}
	}
	if d.certs == nil {
		return c, nil
	}
	t := tls.Client(c, d.certs.Client(d.hostAt(address)))
	if err := t.HandshakeContext(ctx); err != nil {
		c.Close()
		return nil, code.Wrap(code.PeerDenied, err, "peer: no TLS with %s", address)
	}
	return t, nil
}

// hostAt returns the name of the host with the peer address, or an empty string
// if none is known.
func (d *dialer) hostAt(address string) string {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	for n, h := range d.kernel.Snapshot().Hosts {
		if h.PeerAddress == a {
			return n
		}
	}
	return ""
}

// meter counts the bytes of the connections that this host opened for control.
// Bytes of connections that others opened are counted by them.
type meter struct {
	sent     atomic.Uint64
	received atomic.Uint64
	// since is when the counting began.
	since time.Time
}

func (m *meter) traffic() core.Traffic {
	return core.Traffic{
		SentBytes:     m.sent.Load(),
		ReceivedBytes: m.received.Load(),
		Since:         m.since,
	}
}

type meteredConn struct {
	net.Conn
	meter *meter
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.sent.Add(uint64(n))
	return n, err
}
