package sessions

import (
	"errors"
	"net"
	"net/netip"
	"sync"
)

// Ports of sessions lie under the range from which the system takes those of
// outgoing connections, so that none is taken between its choice and its use.
const (
	firstPort = 22000
	lastPort  = 31999
	// blockPorts is the number of ports that a process claims at a time, by
	// listening on the first of them for as long as it runs.
	blockPorts = 500
)

// ports are the ports that this process has claimed.
var ports struct {
	mu sync.Mutex
	// claims keep other processes from the blocks.
	claims []net.Listener
	// next and end bound the ports of the newest block that are not yet given
	// out.
	next int
	end  int
}

// freeAddress returns an address on loopback that nobody listens on and that no
// other call returns, in this process or in another.
func freeAddress() (netip.AddrPort, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	for {
		if ports.next == ports.end && !claim() {
			return netip.AddrPort{}, errors.New("all ports for sessions are claimed")
		}
		a := loopback(ports.next)
		ports.next++
		l, err := net.Listen("tcp", a.String())
		if err != nil {
			continue
		}
		return a, l.Close()
	}
}

// claim claims the first block that no process holds.
func claim() bool {
	for p := firstPort; p+blockPorts <= lastPort+1; p += blockPorts {
		l, err := net.Listen("tcp", loopback(p).String())
		if err != nil {
			continue
		}
		ports.claims = append(ports.claims, l)
		ports.next = p + 1
		ports.end = p + blockPorts
		return true
	}
	return false
}

func loopback(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))
}
