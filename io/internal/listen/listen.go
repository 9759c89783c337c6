// Package listen serves HTTP in the goroutines of a tomb.
package listen

import (
	"errors"
	"net"
	"net/http"
	"net/netip"

	"gopkg.in/tomb.v2"

	"heatherford/core/code"
)

// Until listens on the address and serves in goroutines of t until t dies, which
// closes all connections. It returns after the address is bound.
func Until(t *tomb.Tomb, s *http.Server, a netip.AddrPort) error {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return code.Wrap(code.SettingsValue, err, "listen: cannot listen on %s", a)
	}
	t.Go(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	t.Go(func() error {
		<-t.Dying()
		return s.Close()
	})
	return nil
}
