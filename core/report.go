package core

import (
	"context"
	"time"

	"heatherford/core/drain"
	"heatherford/core/member"
	"heatherford/core/store"
)

// Report is a daemon's report on itself to operators.
type Report struct {
	Host    string `json:"host"`
	Zone    string `json:"availability_zone"`
	Region  string `json:"region"`
	Version uint64 `json:"version"`
	// InForceSince is when the version came into force, by the host's clock.
	InForceSince time.Time `json:"taken_at,omitzero"`
	// Serving is false while the host may not serve, see Kernel.CheckServing.
	Serving bool `json:"serving"`
	// Stopping is true once a planned stop has begun.
	Stopping bool `json:"stopping"`
	// InFlight is the number of the host's requests in flight at endpoints.
	InFlight int `json:"in_flight"`
	// Loads are the highest averages over 5 s, in the last minute, of the host's
	// requests in flight at each endpoint.
	Loads map[string]float64 `json:"loads,omitempty"`
	// Drains are all drains as the host sees them.
	Drains []drain.Progress `json:"drains,omitempty"`
	// Exchange is the traffic of the exchanges that the host began, about
	// versions, hosts and drains. Other is that of its other control calls.
	Exchange Traffic `json:"exchange"`
	Other    Traffic `json:"other"`
}

// Traffic is the number of bytes sent and received since a time.
type Traffic struct {
	SentBytes     uint64    `json:"sent_bytes"`
	ReceivedBytes uint64    `json:"received_bytes"`
	Since         time.Time `json:"since"`
}

// Bytes returns the bytes of both directions.
func (t Traffic) Bytes() uint64 {
	return t.SentBytes + t.ReceivedBytes
}

// PeerReport is another host with its report.
type PeerReport struct {
	Host  store.Host
	State member.State
	// Report is nil if the host did not answer.
	Report *Report
}

// Report returns this daemon's report on itself. It is safe for concurrent use.
func (k *Kernel) Report() Report {
	s := k.Snapshot()
	r := Report{
		Host:         k.Settings.Host,
		Zone:         k.Settings.Zone,
		Region:       k.Settings.Region,
		Version:      s.Config.Number,
		InForceSince: s.InForceSince,
		Serving:      k.CheckServing() == nil,
		Stopping:     k.Stopping(),
		InFlight:     sum(k.Dispatcher.InFlight()),
		Loads:        k.inFlightLoads.peaks(k.Now()),
		Drains:       k.Drains(),
	}
	if k.PluginFuncs.Traffic != nil {
		r.Exchange, r.Other = k.PluginFuncs.Traffic()
	}
	return r
}

// PeerReports requests the reports of all other hosts.
func (k *Kernel) PeerReports(ctx context.Context) []PeerReport {
	if k.PluginFuncs.PeerReports == nil {
		return nil
	}
	return k.PluginFuncs.PeerReports(ctx)
}
