// Heatherford-standin takes the place of the platform and of upstreams in tests
// and demonstrations.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"heatherford/core/strict"
	"heatherford/standin/platform"
)

func main() {
	path := flag.String("settings", "standin.json", "`file` with the stand-in's settings")
	flag.Parse()
	if err := run(*path); err != nil {
		fmt.Fprintln(os.Stderr, "heatherford-standin:", err)
		os.Exit(1)
	}
}

func run(path string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	s := Settings{}
	if problems := strict.Decode(b, &s); len(problems) > 0 {
		return problems[0]
	}
	if err := listen(s.PlatformAddress, platform.New(s.Hosts).Handler(), nil); err != nil {
		return err
	}
	f := newFleet(&s)
	for i, m := range f.members {
		e := m.Endpoint
		if err := listen(s.Endpoints[i].Address, e.Handler(), e.Connect); err != nil {
			return err
		}
	}
	if err := startRelays(s.Relays); err != nil {
		return err
	}
	if err := startHostiles(s.Hostiles); err != nil {
		return err
	}
	if s.ControlAddress.IsValid() {
		if err := listen(s.ControlAddress, f.fleet.Handler(), nil); err != nil {
			return err
		}
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	return nil
}

func listen(a netip.AddrPort, h http.Handler, state func(net.Conn, http.ConnState)) error {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return err
	}
	s := &http.Server{
		Handler:   h,
		ConnState: state,
	}
	go func() {
		if err := s.Serve(l); err != nil {
			fmt.Fprintln(os.Stderr, "heatherford-standin:", err)
		}
	}()
	return nil
}
