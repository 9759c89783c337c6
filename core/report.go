package core

import (
	"context"
	"time"

	"heatherford/core/drain"
	"heatherford/core/member"
	"heatherford/core/store"
)

// Report is what a daemon tells operators of itself.
type Report struct {
	Host    string `json:"host"`
	Zone    string `json:"availability_zone"`
	Region  string `json:"region"`
	Version uint64 `json:"version"`
	// TakenAt is when the version came in force, by the host's clock.
	TakenAt time.Time `json:"taken_at,omitzero"`
	// Serving is false while the host may not serve by its version.
	Serving bool `json:"serving"`
	// Stopping is true once a planned stop has begun.
	Stopping bool `json:"stopping"`
	// InFlight is the number of requests at endpoints.
	InFlight int `json:"in_flight"`
	// Loads are the highest averages over 5 s, in the last minute, of the
	// requests in flight at each endpoint.
	Loads map[string]float64 `json:"loads,omitempty"`
	// Drains are all drains as the host sees them.
	Drains []drain.Progress `json:"drains,omitempty"`
	// Exchange is what the host spent on the exchanges that it began, of
	// versions, hosts and drains, and Other on its other calls for control.
	Exchange Traffic `json:"exchange"`
	Other    Traffic `json:"other"`
}

// Traffic is a number of bytes over a time.
type Traffic struct {
	SentBytes     uint64    `json:"sent_bytes"`
	ReceivedBytes uint64    `json:"received_bytes"`
	Since         time.Time `json:"since"`
}

// Bytes returns the bytes of both directions.
func (t Traffic) Bytes() uint64 {
	return t.SentBytes + t.ReceivedBytes
}

// Described is another host with its report.
type Described struct {
	Host  store.Host
	State member.State
	// Report is nil if the host did not answer.
	Report *Report
}

// Report returns what this daemon tells operators of itself. It is safe for
// concurrent use.
func (k *Kernel) Report() Report {
	s := k.Snapshot()
	r := Report{
		Host:     k.Settings.Host,
		Zone:     k.Settings.Zone,
		Region:   k.Settings.Region,
		Version:  s.Config.Number,
		TakenAt:  s.TakenAt,
		Serving:  k.Serving() == nil,
		Stopping: k.Stopping(),
		InFlight: sum(k.Dispatcher.InFlight()),
		Loads:    k.flights.loads(k.Now()),
		Drains:   k.Drains(),
	}
	if k.Seams.Traffic != nil {
		r.Exchange, r.Other = k.Seams.Traffic()
	}
	return r
}

// Describe asks all other hosts for their reports.
func (k *Kernel) Describe(ctx context.Context) []Described {
	if k.Seams.Describe == nil {
		return nil
	}
	return k.Seams.Describe(ctx)
}
