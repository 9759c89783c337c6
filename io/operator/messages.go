package operator

import (
	"encoding/json"
	"time"

	"heatherford/core/intent"
)

// Plan says what a declaration would change. It is bound to the version it was
// made against and contains all that a confirmation needs, so that any host can
// confirm it.
type Plan struct {
	// ID is derived from the other fields.
	ID string `json:"plan"`
	// Base is the version that the plan was made against, 0 for none.
	Base    uint64          `json:"base"`
	Changes []intent.Change `json:"changes"`
	// ExpiresAt is when the plan can no longer be confirmed.
	ExpiresAt   time.Time       `json:"expires_at"`
	Declaration json.RawMessage `json:"declaration"`
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

// Status is what one host knows.
type Status struct {
	Host    string `json:"host"`
	Version uint64 `json:"version"`
	Hosts   int    `json:"hosts"`
}
