package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"heatherford/core"
)

// dialTimeout bounds the dialling of another host.
const dialTimeout = 400 * time.Millisecond

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

func (m *meter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
	}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &meteredConn{
		Conn:  c,
		meter: m,
	}, nil
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
