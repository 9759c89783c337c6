package desk

import (
	"net/http"
	"strconv"
	"time"
)

// headersLimit are the two spellings of the header that states a limit.
var headersLimit = [...]string{"X-Heatherford-Server-Limit", "Server-Limit"}

// LimitChange is a change of the request limit that an endpoint states.
type LimitChange struct {
	At time.Time
	// Stated is false if the endpoint states no limit from then on.
	Stated bool
	// Rate is in requests per second, over all hosts.
	Rate float64
}

// StateLimit has the endpoint's answers state a limit in requests per second.
func (e *Endpoint) StateLimit(rate float64) {
	e.setLimit(LimitChange{
		At:     time.Now(),
		Stated: true,
		Rate:   rate,
	})
}

// WithdrawLimit has the endpoint's answers state no limit.
func (e *Endpoint) WithdrawLimit() {
	e.setLimit(LimitChange{
		At: time.Now(),
	})
}

func (e *Endpoint) setLimit(x LimitChange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limits = append(e.limits, x)
}

// Limits returns the changes of the endpoint's limit, in order.
func (e *Endpoint) Limits() []LimitChange {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]LimitChange{}, e.limits...)
}

// stateLimit sets the header of an answer. The spelling alternates with the changes.
func (e *Endpoint) stateLimit(h http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := len(e.limits)
	if n == 0 || !e.limits[n-1].Stated {
		return
	}
	h.Set(headersLimit[n%len(headersLimit)], strconv.FormatFloat(e.limits[n-1].Rate, 'f', -1, 64))
}
