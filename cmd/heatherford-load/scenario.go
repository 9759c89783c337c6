package main

import (
	"encoding/json"
	"net/netip"
	"os"

	"heatherford/core/strict"
)

// Scenario is what a run offers to the system.
type Scenario struct {
	Name string `json:"name"`
	// Warmup is offered before the measured time and not counted.
	Warmup   strict.Duration `json:"warmup"`
	Duration strict.Duration `json:"duration"`
	// Control is the stand-in's interface for counts and faults.
	Control netip.AddrPort `json:"control_address"`
	// Hosts are all entry hosts that callers know.
	Hosts []Host `json:"hosts"`
	// Zones are where callers are.
	Zones []Zone `json:"zones"`
	Flows []Flow `json:"flows"`
	// Faults are sent to the stand-in during the run.
	Faults  []Fault `json:"faults,omitempty"`
	Network Network `json:"network"`
	// Upstreams give the capacity that goodput is held against.
	Upstreams []Upstream `json:"upstreams"`
	// Expect are the bounds that the run is held to.
	Expect []Expectation `json:"expect,omitempty"`
}

// Host is an entry host.
type Host struct {
	Name    string         `json:"host"`
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"availability_zone"`
	Region  string         `json:"region"`
}

// Zone is an availability zone with callers.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// Callers is the number of callers, which have the addresses from First on.
	Callers int        `json:"callers"`
	First   netip.Addr `json:"first"`
}

// Flow is a stream of requests of one kind with exponential gaps.
type Flow struct {
	Kind       string          `json:"kind"`
	Rank       string          `json:"rank"`
	Upstream   string          `json:"upstream"`
	Repeatable bool            `json:"repeatable"`
	Deadline   strict.Duration `json:"deadline"`
	Weight     float64         `json:"weight"`
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	// From and Until bound the flow in time from the start of the measured
	// time; without them it runs all the time.
	From  strict.Duration `json:"from,omitempty"`
	Until strict.Duration `json:"until,omitempty"`
}

// Fault is a call of the stand-in's interface.
type Fault struct {
	// At is counted from the start of the measured time.
	At     strict.Duration `json:"at"`
	Method string          `json:"method"`
	Path   string          `json:"path"`
	Body   json.RawMessage `json:"body,omitempty"`
}

// Network holds the times that a message takes one way.
type Network struct {
	// Callers is the time between a caller and a host of its region.
	Callers strict.Duration `json:"callers"`
	// Zones is the time between availability zones of a region.
	Zones strict.Duration `json:"zones"`
	// Regions is the time between regions.
	Regions strict.Duration `json:"regions"`
}

// Upstream is a service with its capacity.
type Upstream struct {
	Name  string `json:"name"`
	Slots int    `json:"slots"`
	// Service is the mean service time.
	Service strict.Duration `json:"service"`
}

// capacity returns the requests per second that u bears.
func (u Upstream) capacity() float64 {
	return float64(u.Slots) / u.Service.Std().Seconds()
}

func loadScenario(path string) (*Scenario, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := &Scenario{}
	if problems := strict.Decode(b, s); len(problems) > 0 {
		return nil, problems[0]
	}
	return s, nil
}
