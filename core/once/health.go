package once

import (
	"sync"
	"time"

	"heatherford/core/ticket"
)

const (
	// slowPlatform is the usual duration of a call from which on new tickets
	// are issued as memory-only.
	slowPlatform = 250 * time.Millisecond
	// healthWeight is the weight of the newest call in the usual duration.
	healthWeight = 0.2
)

// health follows whether the platform answers in time. It is safe for
// concurrent use.
type health struct {
	mu sync.Mutex
	// down is true if the last call failed, and before the first call.
	down  bool
	usual time.Duration
}

func (h *health) observe(d time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = !ok
	if ok {
		h.usual += time.Duration(healthWeight * float64(d-h.usual))
	}
}

// mode returns the mode for tickets that are issued now.
func (h *health) mode() ticket.Mode {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down || h.usual >= slowPlatform {
		return ticket.MemoryOnly
	}
	return ticket.Claimed
}
