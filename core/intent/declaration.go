package intent

import (
	"net/netip"
	"time"

	"heatherford/core/strict"
)

// Format is the version of the declaration's file format.
const Format = 1

// Declaration is the whole configuration of the traffic, as operators state it.
// It is immutable once parsed.
type Declaration struct {
	// Format is always Format.
	Format int    `json:"format"`
	Name   string `json:"name"`
	// Ranks are ordered from most to least urgent. There is at least one.
	Ranks []Rank `json:"ranks"`
	// Kinds have distinct names. Each refers to an existing rank and upstream.
	Kinds []Kind `json:"kinds"`
	// Regions have distinct names. No zone name occurs twice, even in different
	// regions.
	Regions []Region `json:"regions"`
	// Links hold at most one entry for each ordered pair of regions.
	Links []Link `json:"links,omitempty"`
	// Upstreams have distinct names. No endpoint name occurs twice, even in
	// different upstreams.
	Upstreams []Upstream `json:"upstreams"`
	Shifts    []Shift    `json:"shifts,omitempty"`
	// Sites are the locations of callers.
	Sites []Site `json:"sites,omitempty"`
	// Blocks assign callers' addresses to sites. The longest matching prefix
	// applies.
	Blocks []Block `json:"blocks,omitempty"`
	// LeavingHosts are entry hosts that take no new work.
	LeavingHosts []string `json:"leaving_hosts,omitempty"`
}

// Rank is a priority class of work.
type Rank struct {
	Name string `json:"name"`
	// Planned is the share of an endpoint's slots that the rank is expected to
	// need, from 0 to 1. Up to this share, the rank has priority over all less
	// urgent ranks.
	Planned float64 `json:"planned"`
	// Floor is the share of an endpoint's slots that the rank keeps when other
	// ranks are overloaded, from 0 to Planned. The floors of all ranks sum to at
	// most 1.
	Floor float64 `json:"floor"`
	// Target is the share of the rank's requests, from 0 to 1, that need a
	// correct answer in time for the evening page to call the day good. Zero
	// means no target.
	Target float64 `json:"target,omitempty"`
}

// Kind is a kind of work.
type Kind struct {
	Name     string `json:"name"`
	Rank     string `json:"rank"`
	Upstream string `json:"upstream"`
	// Repeatable work may be sent more than once. All other work needs a ticket
	// or an idempotency key and is dispatched at most once.
	Repeatable bool `json:"repeatable"`
	// Deadline is the time within which an answer is due if the caller states no
	// deadline.
	Deadline strict.Duration `json:"deadline"`
	// Weight is the value of one correct answer in time.
	Weight float64 `json:"weight"`
}

// Region is a region with its availability zones.
type Region struct {
	Name  string   `json:"name"`
	Zones []string `json:"availability_zones"`
	// Cap is the most requests in flight at the region's endpoints together.
	Cap int `json:"cap"`
}

// Link is a one-way link between two regions.
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
	// Slots is the most requests in flight that the endpoint can take.
	Slots int `json:"slots"`
	// Connections is the most connections that the endpoint accepts from all
	// hosts together.
	Connections int `json:"connections"`
	// Leaving is true if the endpoint receives no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Shift moves a share of one upstream's work from one region to another.
type Shift struct {
	Name     string `json:"name"`
	Upstream string `json:"upstream"`
	From     string `json:"from"`
	To       string `json:"to"`
	// Share is the share of the work of region From that is moved, from 0 to 1.
	Share float64 `json:"share"`
	// Cap is the most requests in flight that the shift may cause in region To.
	Cap int `json:"cap"`
}

// Site is a location of callers.
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
	// Number is one more than that of the previous version. The first is 1.
	Number      uint64       `json:"version"`
	Declaration *Declaration `json:"declaration"`
	// Operation identifies the confirmation. If its answer is lost, the result is
	// found by it.
	Operation string `json:"operation"`
	// Operator is the name of the operator who confirmed the version.
	Operator string `json:"operator"`
	// ConfirmedAt is the time of the confirmation by the clock of the host that
	// received it.
	ConfirmedAt time.Time `json:"confirmed_at"`
}
