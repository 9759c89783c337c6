package snapshot

import (
	"time"

	"heatherford/core/config"
	"heatherford/core/intent"
	"heatherford/core/lookup"
	"heatherford/core/store"
)

// Snapshot is the control state at one moment. It is immutable.
type Snapshot struct {
	// Version is the declaration in force, or nil before the first is known.
	Version *intent.Version
	// Config is Version with its parts. It is never nil in a kernel's snapshot.
	Config *config.Bundle
	// InForceSince is when Version came in force at this host.
	InForceSince time.Time
	// Hosts are the hosts that are not known to be dead, by name. Those that
	// take no new work have the state HostLeaving.
	Hosts map[string]store.Host
	// Owners maps an endpoint's name to the name of the host that owns it.
	Owners map[string]string
	// Owned are the endpoints that this host may send to, by upstream.
	Owned map[string][]Own
	// Table answers look-ups; it is nil if Version is.
	Table *lookup.Table
	// Stopping is true once this host has begun a planned stop.
	Stopping bool
}

// Own is this host's right to send to an endpoint.
type Own struct {
	Endpoint intent.Endpoint
	// Slots is the most requests in flight until Until, Reduced the most after
	// it. Reduced is at most Slots.
	Slots   int
	Reduced int
	// Until is the grant's deadline. The zero value stands for never.
	Until time.Time
	// Longest bounds how long a request to the endpoint may take.
	Longest time.Duration
}

// Limit returns the most requests in flight at the time now.
func (o Own) Limit(now time.Time) int {
	if o.Until.IsZero() || now.Before(o.Until) {
		return o.Slots
	}
	return o.Reduced
}
