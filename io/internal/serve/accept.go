package serve

import (
	"context"
	"net"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"heatherford/core/code"
)

// settleTime is how long connections that are being opened are given to be
// accepted before the listener is closed.
const settleTime = 100 * time.Millisecond

// listenTCP listens on the address by plain TCP: sockets of multipath TCP take no
// filter, which ignoreNew needs.
func listenTCP(a netip.AddrPort) (net.Listener, error) {
	c := net.ListenConfig{}
	c.SetMultipathTCP(false)
	return c.Listen(context.Background(), "tcp", a.String())
}

// ignoreNew makes the system ignore attempts to connect to l, as if they were
// lost on the way, and waits until those that came before are accepted. Closing
// the listener at once would reset connections on which a request may already
// be on its way. Clients try again by themselves and are refused then.
func ignoreNew(ctx context.Context, l net.Listener) error {
	t, ok := l.(*net.TCPListener)
	if !ok {
		return code.New(code.SettingsValue, "serve: %s is no TCP listener", l.Addr())
	}
	c, err := t.SyscallConn()
	if err != nil {
		return err
	}
	failure := error(nil)
	if err := c.Control(func(fd uintptr) {
		failure = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, dropSYN())
	}); err != nil {
		return err
	}
	if failure != nil {
		return failure
	}
	timer := time.NewTimer(settleTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// dropSYN returns a filter that drops segments with SYN and without ACK. Its
// offsets count from the begin of the TCP header.
func dropSYN() *unix.SockFprog {
	const (
		flagsOffset = 13
		syn         = 0x02
		synOrACK    = 0x12
		keepAll     = 0xffffffff
	)
	f := []unix.SockFilter{
		{
			Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS,
			K:    flagsOffset,
		},
		{
			Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K,
			K:    synOrACK,
		},
		{
			Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K,
			K:    syn,
			Jf:   1,
		},
		{
			Code: unix.BPF_RET | unix.BPF_K,
			K:    0,
		},
		{
			Code: unix.BPF_RET | unix.BPF_K,
			K:    keepAll,
		},
	}
	return &unix.SockFprog{
		Len:    uint16(len(f)),
		Filter: &f[0],
	}
}
