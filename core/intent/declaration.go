package intent

import (
	"net/netip"
	"time"

	"heatherford/core/strict"
)

// Format is the version of the declaration's file format.
const Format = 1

// Declaration is all that operators state. It is immutable once parsed.
type Declaration struct {
	// Format is always Format.
	Format int    `json:"format"`
	Name   string `json:"name"`
	// Ranks are ordered, the most urgent first. There is at least one.
	Ranks []Rank `json:"ranks"`
	// Kinds have distinct names; each names a rank and an upstream that exist.
	Kinds []Kind `json:"kinds"`
	// Regions have distinct names, and so have all their zones together.
	Regions []Region `json:"regions"`
	// Links hold at most one entry for each ordered pair of regions.
	Links []Link `json:"links,omitempty"`
	// Upstreams have distinct names, and so have all their endpoints together.
	Upstreams []Upstream `json:"upstreams"`
	Shifts    []Shift    `json:"shifts,omitempty"`
	// Sites are places that callers are near.
	Sites []Site `json:"sites,omitempty"`
	// Blocks assign callers' addresses to sites; the longest prefix wins.
	Blocks []Block `json:"blocks,omitempty"`
	// LeavingHosts are entry hosts that take no new work.
	LeavingHosts []string `json:"leaving_hosts,omitempty"`
}

// Rank is a class of urgency.
type Rank struct {
	Name string `json:"name"`
	// Planned is the share of an endpoint's slots that the rank is planned to
	// need, between 0 and 1. Up to it the rank goes before all later ones.
	Planned float64 `json:"planned"`
	// Floor is the share of an endpoint's slots that the rank keeps in a flood
	// of any other, between 0 and Planned. All floors sum to at most 1.
	Floor float64 `json:"floor"`
	// Target is the share of the rank's requests that should get a correct
	// answer in time for the evening page to call the day good, 0 to 1. Zero
	// stands for no target.
	Target float64 `json:"target,omitempty"`
}

// Kind is a kind of work.
type Kind struct {
	Name     string `json:"name"`
	Rank     string `json:"rank"`
	Upstream string `json:"upstream"`
	// Repeatable work may be sent more than once. All other work needs a
	// ticket or an idempotency key and is dispatched at most once.
	Repeatable bool `json:"repeatable"`
	// Deadline is how long a caller that states no deadline waits.
	Deadline strict.Duration `json:"deadline"`
	// Weight is what one correct answer in time is worth.
	Weight float64 `json:"weight"`
}

// Region is a region with its availability zones.
type Region struct {
	Name  string   `json:"name"`
	Zones []string `json:"availability_zones"`
	// Cap is the most requests in flight at the region's endpoints.
	Cap int `json:"cap"`
}

// Link is a one-way link between regions.
type Link struct {
	From string `json:"from"`
	To   string `json:"to"`
	// Cap is the most requests in flight over the link.
	Cap int `json:"cap"`
}

// Upstream is a service with endpoints in one or more regions.
type Upstream struct {
	Name      string     `json:"name"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is one process of an upstream.
type Endpoint struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"availability_zone"`
	// Slots is the most requests in flight that the endpoint bears.
	Slots int `json:"slots"`
	// Connections is the most connections that the endpoint takes from all
	// hosts together.
	Connections int `json:"connections"`
	// Leaving endpoints receive no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Shift moves a share of one upstream's work from one region to another.
type Shift struct {
	Name     string `json:"name"`
	Upstream string `json:"upstream"`
	From     string `json:"from"`
	To       string `json:"to"`
	// Share is the share of the work of region From that is moved, 0 to 1.
	Share float64 `json:"share"`
	// Cap is the most requests in flight that the shift may cause.
	Cap int `json:"cap"`
}

// Site is a place that callers are near.
type Site struct {
	Name string `json:"name"`
	Zone string `json:"availability_zone"`
}

// Block assigns a block of callers' addresses to a site.
type Block struct {
	Prefix netip.Prefix `json:"prefix"`
	Site   string       `json:"site"`
}

// Version is a confirmed declaration. It is immutable.
type Version struct {
	// Number grows by one with every confirmed declaration; the first is 1.
	Number      uint64       `json:"version"`
	Declaration *Declaration `json:"declaration"`
	// Operation is the stable identifier of the confirmation, by which a lost
	// answer is settled.
	Operation string `json:"operation"`
	// Operator is the name of who confirmed.
	Operator string `json:"operator"`
	// ConfirmedAt is when, by the clock of the host that was asked.
	ConfirmedAt time.Time `json:"confirmed_at"`
}
