package main

import (
	"net/netip"

	"heatherford/standin/relay"
	"heatherford/standin/upstream"
)

// Relay describes what lies between two processes.
type Relay struct {
	// Address is where the relay listens.
	Address netip.AddrPort `json:"address"`
	// Target is where it passes connections on to.
	Target netip.AddrPort `json:"target"`
	// ControlAddress is where its faults are brought about.
	ControlAddress netip.AddrPort `json:"control_address"`
}

// Hostile describes an endpoint that misbehaves.
type Hostile struct {
	Address netip.AddrPort `json:"address"`
	// Behaviors are done in turn, the last one for good.
	Behaviors []upstream.Behavior `json:"behaviors"`
}

func startRelays(s []Relay) error {
	for _, x := range s {
		r, err := relay.New(x.Address.String(), x.Target.String())
		if err != nil {
			return err
		}
		if err := listen(x.ControlAddress, r.Handler(), nil); err != nil {
			return err
		}
	}
	return nil
}

func startHostiles(s []Hostile) error {
	for _, x := range s {
		_, err := upstream.NewHostile(x.Address.String(), func(n int) upstream.Behavior {
			return x.Behaviors[min(n, len(x.Behaviors)-1)]
		})
		if err != nil {
			return err
		}
	}
	return nil
}
