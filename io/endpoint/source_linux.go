package endpoint

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// boundReceived bounds what the kernel keeps of a connection. It has to be set before the
// connection opens, when the largest window is agreed upon.
func boundReceived(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// Without the option the connection opens as well.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes)
	})
}

// shareLocalPorts lets connections to different endpoints have the same local port, as they
// may without a source address. Else closed connections would keep all ports in use.
func shareLocalPorts(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// Without the option the connection opens as well.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
	})
}
