package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"gopkg.in/tomb.v2"

	"heatherford/core/code"
)

const (
	headerTimeout = 5 * time.Second
	stopTimeout   = 10 * time.Second
)

// Run listens on the address and serves h until t dies. It returns after the
// address is bound.
func Run(t *tomb.Tomb, address netip.AddrPort, h http.Handler) error {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return code.Wrap(code.SettingsValue, err, "serve: cannot listen on %s", address)
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
	}
	t.Go(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	t.Go(func() error {
		<-t.Dying()
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		return s.Shutdown(ctx)
	})
	return nil
}
