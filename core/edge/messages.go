package edge

import (
	"time"

	"heatherford/core/balance"
	"heatherford/core/fleet"
	"heatherford/core/quarantine"
	"heatherford/core/registry"
)

// Heartbeat is what a host sends to others several times a second. It holds ages instead
// of times, since hosts' clocks differ.
type Heartbeat struct {
	From fleet.Member `json:"from"`
	// Settled is true once the host serves by what it knows.
	Settled bool `json:"settled,omitempty"`
	// Declared is the version of the declaration in force at the host, or 0.
	Declared uint64 `json:"declared,omitempty"`
	// Parts is the status of each part of the platform's records at the host.
	Parts [registry.NumParts]PartStatus `json:"news"`
	// Changes are the latest changes, as far as there is room for them. A host that
	// lacks more fetches it.
	Changes []registry.Update `json:"changes,omitempty"`
	// Owned holds the states of the endpoints that the host owns. Only hosts of its
	// zone get it.
	Owned map[string]balance.State `json:"owned,omitempty"`
	// Limits holds what the host knows of endpoints' limits, its own endpoints or not.
	Limits map[string]balance.LimitReport `json:"limits,omitempty"`
	// Leaving holds the listed endpoints that leave by their own word, with the starts of
	// their incarnations.
	Leaving map[string]time.Time `json:"leaving_endpoints,omitempty"`
	// Suspects holds what the host knows of requests that may crash endpoints.
	Suspects []quarantine.Report `json:"suspects,omitempty"`
	// Gossip holds the states of other hosts of the zone that the host received
	// lately. Only hosts of a large zone send it.
	Gossip []HostStatus `json:"others,omitempty"`
	// Shares are the spillover shares in force in the zone. Only its relay host sends
	// them.
	Shares map[string]balance.Shares `json:"shares,omitempty"`
	// Zones is what relay hosts reported of their zones.
	Zones []ZoneStatus `json:"zones,omitempty"`
}

// HostStatus is the state of a host that others of its zone pass on.
type HostStatus struct {
	Name    string    `json:"name"`
	Started time.Time `json:"started"`
	Leaving bool      `json:"leaving,omitempty"`
	// Isolated is true if the host reaches no endpoint.
	Isolated bool `json:"isolated,omitempty"`
	// Age is how long ago the host sent it.
	Age   time.Duration            `json:"age"`
	Owned map[string]balance.State `json:"owned,omitempty"`
}

// PartStatus is how much a host knows of a part.
type PartStatus struct {
	Version registry.Version `json:"version"`
	// Changed is a version after which nothing changed that matters to traffic.
	Changed registry.Version `json:"changed"`
	// Age is how long ago the part was known to be current; negative stands for
	// never.
	Age time.Duration `json:"age"`
	// Reader is the host that read it then.
	Reader string `json:"reader,omitempty"`
}

// ZoneStatus is the state of an availability zone.
type ZoneStatus struct {
	Zone string `json:"zone"`
	// Live are the names of the zone's live hosts that are not leaving.
	Live []string `json:"live"`
	// Isolated are the names of those that reach no endpoint.
	Isolated []string `json:"isolated,omitempty"`
	// Age is how long ago the zone's relay host reported it.
	Age time.Duration `json:"age"`
	// Uses is the use of the zone's slots by upstream.
	Uses map[string]balance.SlotUse `json:"uses,omitempty"`
}

// Delta is what a host fetches from another one that knows more.
type Delta struct {
	Updates []registry.Update `json:"updates"`
	// Ages are the ages of the parts; negative stands for never known.
	Ages [registry.NumParts]time.Duration `json:"ages"`
	// Readers are the hosts that read the parts then.
	Readers [registry.NumParts]string `json:"readers"`
	Members []fleet.Member            `json:"members"`
	// Suspects holds what the other host knows of requests that may crash endpoints.
	Suspects []quarantine.Report `json:"suspects,omitempty"`
	// Limits holds what the other host knows of endpoints' limits.
	Limits map[string]balance.LimitReport `json:"limits,omitempty"`
	// Leaving holds the endpoints that leave by their own word, with the starts of their
	// incarnations.
	Leaving map[string]time.Time `json:"leaving_endpoints,omitempty"`
}
