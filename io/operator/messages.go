package operator

import (
	"encoding/json"
	"time"

	"heatherford/core"
	"heatherford/core/config"
	"heatherford/core/intent"
	"heatherford/core/member"
)

// Plan says what a change would do. It is bound to the version it was made
// against and contains all that a confirmation needs, so that any host can
// confirm it. One of Declaration, Edit and RollbackTo is set.
type Plan struct {
	// ID is derived from the other fields.
	ID string `json:"plan"`
	// Base is the version that the plan was made against, 0 for none.
	Base   uint64 `json:"base"`
	Reason string `json:"reason"`
	// Changes are the first changes, More the number of further ones.
	Changes []intent.Change `json:"changes"`
	More    int             `json:"more,omitempty"`
	// Assessment is what the change means for the load.
	Assessment intent.Assessment `json:"assessment"`
	// ExpiresAt is when the plan can no longer be confirmed.
	ExpiresAt   time.Time       `json:"expires_at"`
	Declaration json.RawMessage `json:"declaration,omitempty"`
	Edit        *intent.Edit    `json:"edit,omitempty"`
	RollbackTo  uint64          `json:"rollback_to,omitempty"`
}

// Rollback asks for the plan of going back to an earlier version.
type Rollback struct {
	Version uint64 `json:"version"`
}

// Confirm asks for a plan to be put in force.
type Confirm struct {
	Plan Plan `json:"plan"`
	// Operation identifies the confirmation when it is tried again.
	Operation string `json:"operation"`
}

// Confirmed is the answer to a confirmation.
type Confirmed struct {
	Version uint64 `json:"version"`
}

// Status is what one host knows, with the reports of all others.
type Status struct {
	core.Report
	// ConfirmedAt is when the version was confirmed, by the clock of the host
	// that was asked, and Operator who confirmed it.
	ConfirmedAt time.Time `json:"confirmed_at,omitzero"`
	Operator    string    `json:"operator,omitempty"`
	// Hosts is the number of hosts that are not dead, this one among them.
	Hosts int `json:"hosts"`
	// Behind is the number of them that are not known to have the version.
	Behind int `json:"behind"`
	// EverywhereMS is how many milliseconds it took from the confirmation until the last
	// host had the version, by the hosts' clocks. It is 0 while Behind is not.
	EverywhereMS int64        `json:"everywhere_ms,omitempty"`
	Others       []HostStatus `json:"others"`
}

// HostStatus is what is known of another host.
type HostStatus struct {
	Name string `json:"name"`
	// State is alive, suspect or dead.
	State string `json:"state"`
	// Leaving hosts take no new work.
	Leaving bool `json:"leaving"`
	// Report is missing if the host did not answer.
	Report *core.Report `json:"report,omitempty"`
}

// History is the answer with the newest versions, the newest first.
type History struct {
	Versions []config.HistoryEntry `json:"versions"`
}

// stateName returns the word for a state.
func stateName(s member.State) string {
	switch s {
	case member.Alive:
		return "alive"
	case member.Suspect:
		return "suspect"
	default:
		return "dead"
	}
}
