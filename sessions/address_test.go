package sessions

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
)

// Ports of sessions lie under the range from which the system takes those of
// outgoing connections, so that none is taken between its choice and its use.
const (
	firstPort = 22000
	// blockSize is the number of ports that one process of tests has for itself,
	// so that another does not take the port of a host that is down.
	blockSize  = 1000
	blockCount = 10
)

// ports are the ports of this process.
var ports struct {
	mu sync.Mutex
	// first is the first port of the block, or 0 before one is reserved.
	first int
	// next is the number of the next port to try.
	next int
	// lock holds the block for as long as the process runs.
	lock *os.File
}

// reserve takes a block of ports that no other process has.
func reserve() error {
	for b := range blockCount {
		name := filepath.Join(os.TempDir(), fmt.Sprintf("heatherford-ports-%d.lock", b))
		const mode = 0o666
		f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, mode)
		if err != nil {
			return err
		}
		if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
			f.Close()
			continue
		}
		ports.lock = f
		ports.first = firstPort + b*blockSize
		return nil
	}
	return errors.New("no free block of ports")
}

// freeAddress returns an address on loopback that nobody listens on and that no
// other call in this process returns soon.
func freeAddress() (netip.AddrPort, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if ports.first == 0 {
		if err := reserve(); err != nil {
			return netip.AddrPort{}, err
		}
	}
	for range blockSize {
		p := ports.first + ports.next%blockSize
		ports.next++
		a := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(p))
		l, err := net.Listen("tcp", a.String())
		if err != nil {
			continue
		}
		return a, l.Close()
	}
	return netip.AddrPort{}, errors.New("no free port")
}
