package endpoint

import (
	"context"
	"net"
	"net/netip"
	"syscall"
)

// receiveBytes is the size of the buffer in which the kernel keeps what a connection has
// received; Linux takes twice as much. Left to itself it grows to several megabytes a
// connection, which count as the host's memory. An answer of 10 MB/s passes over a round
// trip of 25 ms.
const receiveBytes = 256 << 10

// dial opens a connection to an endpoint from the host's own address.
func (s *Sender) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	d.Control = boundReceived
	if s.Source.IsValid() && !s.Source.IsUnspecified() {
		// The port is chosen as the connection opens.
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(s.Source, 0))
		d.Control = func(network, address string, c syscall.RawConn) error {
			if err := boundReceived(network, address, c); err != nil {
				return err
			}
			return shareLocalPorts(network, address, c)
		}
	}
	return d.DialContext(ctx, network, address)
}
