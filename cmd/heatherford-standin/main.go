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

	"heatherford/core/store"
	"heatherford/core/strict"
	"heatherford/standin/platform"
	"heatherford/standin/upstream"
)

// Settings is the content of the stand-in's settings file.
type Settings struct {
	// PlatformAddress is where the platform listens.
	PlatformAddress netip.AddrPort `json:"platform_address"`
	Hosts           []store.Host   `json:"hosts"`
	Endpoints       []Endpoint     `json:"endpoints,omitempty"`
}

// Endpoint describes one upstream's endpoint.
type Endpoint struct {
	Name    string          `json:"name"`
	Address netip.AddrPort  `json:"address"`
	Slots   int             `json:"slots"`
	Service strict.Duration `json:"service"`
	LoadLag strict.Duration `json:"load_lag,omitempty"`
}

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
	if err := listen(s.PlatformAddress, platform.New(s.Hosts).Handler()); err != nil {
		return err
	}
	for _, e := range s.Endpoints {
		u := upstream.New(upstream.Options{
			Name:    e.Name,
			Slots:   e.Slots,
			Service: e.Service.Std(),
			LoadLag: e.LoadLag.Std(),
		})
		if err := listen(e.Address, u.Handler()); err != nil {
			return err
		}
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	return nil
}

func listen(a netip.AddrPort, h http.Handler) error {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return err
	}
	go func() {
		if err := http.Serve(l, h); err != nil {
			fmt.Fprintln(os.Stderr, "heatherford-standin:", err)
		}
	}()
	return nil
}
