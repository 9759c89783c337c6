//go:build !linux

package endpoint

import "syscall"

// boundReceived does nothing: other systems take the size once the connection is open.
func boundReceived(_, _ string, _ syscall.RawConn) error {
	return nil
}

// shareLocalPorts does nothing: the option is Linux's.
func shareLocalPorts(_, _ string, _ syscall.RawConn) error {
	return nil
}
