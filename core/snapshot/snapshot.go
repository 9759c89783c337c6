package snapshot

import (
	"time"

	"heatherford/core/config"
	"heatherford/core/intent"
	"heatherford/core/lookup"
	"heatherford/core/store"
)

// Snapshot is the state of the control goroutine at one moment. It is immutable, so
// that any number of goroutines may read it without a lock.
type Snapshot struct {
	// Version is the declaration in force, or nil until this host knows one.
	Version *intent.Version
	// Config is Version with its parts. It is never nil in a kernel's snapshot.
	Config *config.Bundle
	// InForceSince is when Version came into force at this host.
	InForceSince time.Time
	// Hosts maps names to hosts, without those known to be dead. Hosts that accept no
	// new work have the state HostLeaving.
	Hosts map[string]store.Host
	// Owners maps an endpoint's name to the name of the host that owns the endpoint.
	Owners map[string]string
	// Owned maps an upstream's name to the endpoints to which this host may send.
	Owned map[string][]Own
	// Table answers look-ups. It is nil if Version is nil.
	Table *lookup.Table
	// Stopping is true once this host has begun a planned stop.
	Stopping bool
}

// Own is an endpoint that this host owns, with the limits on its requests in flight.
type Own struct {
	Endpoint intent.Endpoint
	// Slots is the maximum number of requests in flight before Until, and Reduced the
	// maximum from then on. Reduced is at most Slots.
	Slots   int
	Reduced int
	// Until is the end of the lease. If it is zero, Slots holds without end; an
	// endpoint without a lease has Slots equal to Reduced.
	Until time.Time
	// Longest is the maximum duration of a request to the endpoint.
	Longest time.Duration
}

// Limit returns the maximum number of requests in flight at the time now.
func (o Own) Limit(now time.Time) int {
	if o.Until.IsZero() || now.Before(o.Until) {
		return o.Slots
	}
	return o.Reduced
}
