package snapshot

import (
	"heatherford/core/intent"
	"heatherford/core/lookup"
	"heatherford/core/store"
)

// Snapshot is the control state at one moment. It is immutable.
type Snapshot struct {
	// Version is the declaration in force, or nil before the first is known.
	Version *intent.Version
	// Hosts are the hosts that take traffic, by name.
	Hosts map[string]store.Host
	// Owners maps an endpoint's name to the name of the host that owns it.
	Owners map[string]string
	// Owned are the endpoints that this host owns, by upstream.
	Owned map[string][]intent.Endpoint
	// Table answers look-ups; it is nil if Version is.
	Table *lookup.Table
}
