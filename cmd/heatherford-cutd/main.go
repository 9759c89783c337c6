// Heatherford-cutd is a heatherfordd whose connections to other daemons can be
// cut, for tests of partitions.
package main

import (
	"context"
	"flag"
	"net"
	"os"
	"strings"

	"heatherford/cmd/internal/daemon"
)

func main() {
	path := flag.String("settings", "heatherfordd.json", "`file` with the daemon's settings")
	cuts := flag.String("cuts", "cuts", "`file` with the addresses that are cut off; it may change and may be missing")
	flag.Parse()
	c := &cutter{
		path: *cuts,
	}
	os.Exit(daemon.Run(daemon.Options{
		Path: *path,
		Dial: c.dial,
	}))
}

// cutter loses what is sent to addresses that its file holds. It is safe for
// concurrent use.
type cutter struct {
	path string
}

// cut reports whether the address is cut off now.
func (c *cutter) cut(address string) bool {
	b, err := os.ReadFile(c.path)
	if err != nil {
		return false
	}
	for _, a := range strings.Fields(string(b)) {
		if a == address {
			return true
		}
	}
	return false
}

func (c *cutter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if c.cut(address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	d := net.Dialer{}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &cutConn{
		Conn:    conn,
		cutter:  c,
		address: address,
	}, nil
}

// cutConn loses what is written while its address is cut off.
type cutConn struct {
	net.Conn
	cutter  *cutter
	address string
}

// Write implements net.Conn.
func (c *cutConn) Write(p []byte) (int, error) {
	if c.cutter.cut(c.address) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}
