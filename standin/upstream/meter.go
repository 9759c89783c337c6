package upstream

import (
	"sync"
	"time"
)

// Meter counts the requests in flight at an endpoint or in a region. It is safe
// for concurrent use.
type Meter struct {
	mu sync.Mutex
	// limit is the most requests that enter at once.
	limit    int
	inFlight int
	peak     int
	// busy is the sum of the requests' times in flight until changed.
	busy    time.Duration
	changed time.Time
}

// Usage is what a meter has counted.
type Usage struct {
	InFlight int `json:"in_flight"`
	// Peak is the most requests at once, with those that found no slot.
	Peak  int `json:"peak"`
	Limit int `json:"limit"`
	// BusyMS is the sum of all requests' times in flight, in milliseconds.
	BusyMS int64 `json:"busy_ms"`
}

// NewMeter returns a meter that lets limit requests in at once.
func NewMeter(limit int) *Meter {
	return &Meter{
		limit: limit,
	}
}

// enter takes a slot and reports whether there was one. The peak counts also
// the request that found none.
func (m *Meter) enter(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peak = max(m.peak, m.inFlight+1)
	if m.inFlight >= m.limit {
		return false
	}
	m.advance(now)
	m.inFlight++
	return true
}

// add is enter without a limit.
func (m *Meter) add(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	m.inFlight++
	m.peak = max(m.peak, m.inFlight)
}

func (m *Meter) exit(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	m.inFlight--
}

func (m *Meter) advance(now time.Time) {
	m.busy += time.Duration(m.inFlight) * now.Sub(m.changed)
	m.changed = now
}

// Usage returns what the meter has counted until now.
func (m *Meter) Usage(now time.Time) Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	return Usage{
		InFlight: m.inFlight,
		Peak:     m.peak,
		Limit:    m.limit,
		BusyMS:   m.busy.Milliseconds(),
	}
}

// reset forgets the peak and the busy time.
func (m *Meter) reset(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	m.peak = m.inFlight
	m.busy = 0
}
