package sessions

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

// Ports of sessions lie under the range from which the system takes those of
// outgoing connections, so that none is taken between its choice and its use.
const (
	firstPort = 22000
	portCount = 10000
	portsStep = 331
)

// nextPort is the number of the next port to try. It begins elsewhere in each
// process, as several may run at once.
var nextPort atomic.Int64

func init() {
	nextPort.Store(int64(os.Getpid()) * portsStep)
}

// freeAddress returns an address on loopback that nobody listens on and that no
// other call in this process returns soon.
func freeAddress() (netip.AddrPort, error) {
	for range portCount {
		p := firstPort + nextPort.Add(1)%portCount
		a := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(p))
		l, err := net.Listen("tcp", a.String())
		if err != nil {
			continue
		}
		return a, l.Close()
	}
	return netip.AddrPort{}, errors.New("no free port")
}
