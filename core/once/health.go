package once

import (
	"sync"
	"time"

	"heatherford/core/ticket"
)

const (
	// slowLatency is the mean latency of the platform's calls from which on new
	// tickets are issued as memory-only.
	slowLatency = 250 * time.Millisecond
	// latencyWeight is the weight of the newest call in the weighted moving
	// average.
	latencyWeight = 0.2
)

// health tracks whether the platform answers, and how fast. It is safe for
// concurrent use.
type health struct {
	mu sync.Mutex
	// down is true if the last call failed, and before the first call.
	down bool
	// meanLatency is a weighted moving average over the successful calls.
	meanLatency time.Duration
}

// observe adds a call that took d. A call with ok has reached the platform, even
// if it conflicted.
func (h *health) observe(d time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = !ok
	if ok {
		h.meanLatency += time.Duration(latencyWeight * float64(d-h.meanLatency))
	}
}

// mode returns the mode of tickets that are issued now.
func (h *health) mode() ticket.Mode {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down || h.meanLatency >= slowLatency {
		return ticket.MemoryOnly
	}
	return ticket.Claimed
}
