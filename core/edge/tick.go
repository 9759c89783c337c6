package edge

import (
	"time"

	"heatherford/core/balance"
	"heatherford/core/fleet"
	"heatherford/core/registry"
)

// Tick is what a host tells others of itself, several times a second. Ages stand
// for times, since hosts' clocks differ.
type Tick struct {
	From fleet.Member `json:"from"`
	// News tells how much the host knows of each part of the platform's
	// records.
	News [registry.Parts]News `json:"news"`
	// Changes are the latest changes, as far as there is room for them. A host that
	// lacks more fetches it.
	Changes []registry.Update `json:"changes,omitempty"`
	// Owned is what the host tells of the endpoints that it owns. Only hosts of
	// its zone get it.
	Owned map[string]balance.State `json:"owned,omitempty"`
	// Others is what the host has heard lately of others of its zone. Only hosts
	// of a large zone tell it.
	Others []HostNews `json:"others,omitempty"`
	// Shares are those in force in the zone. Only its relay tells them.
	Shares map[string]balance.Shares `json:"shares,omitempty"`
	// Zones is what relays know of zones.
	Zones []ZoneNews `json:"zones,omitempty"`
}

// HostNews is what a host has told of itself.
type HostNews struct {
	Name    string    `json:"name"`
	Started time.Time `json:"started"`
	Leaving bool      `json:"leaving,omitempty"`
	// Age is how long ago it told.
	Age   time.Duration            `json:"age"`
	Owned map[string]balance.State `json:"owned,omitempty"`
}

// News is how much a host knows of a part.
type News struct {
	Version uint64 `json:"version"`
	// Changed is a version from which on nothing changed that matters.
	Changed uint64 `json:"changed"`
	// Age is how long ago the part was known to be current; negative stands for
	// never.
	Age time.Duration `json:"age"`
	// Reader is the host that read it then.
	Reader string `json:"reader,omitempty"`
}

// ZoneNews is what is known of an availability zone.
type ZoneNews struct {
	Zone string `json:"zone"`
	// Live are the names of the hosts that live there and take callers.
	Live []string `json:"live"`
	// Age is how long ago the zone's relay told it.
	Age time.Duration `json:"age"`
	// Uses are the uses of the zone's slots by upstream.
	Uses map[string]balance.Use `json:"uses,omitempty"`
}

// Book is what a host fetches from another one that knows more.
type Book struct {
	Updates []registry.Update `json:"updates"`
	// Ages are the ages of the updates, by part.
	Ages    [registry.Parts]time.Duration `json:"ages"`
	Readers [registry.Parts]string        `json:"readers"`
	Members []fleet.Member                `json:"members"`
}
