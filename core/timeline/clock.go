package timeline

import (
	"sync"
	"time"
)

// Stamp is a time of a hybrid logical clock. Stamps are ordered by Wall, then
// by Count; the stamp of an effect is later than that of its cause.
type Stamp struct {
	// Wall is the largest wall-clock time seen, in nanoseconds since 1970.
	Wall int64 `json:"wall"`
	// Count orders stamps of the same Wall.
	Count uint32 `json:"count"`
}

// Before reports whether s is earlier than o.
func (s Stamp) Before(o Stamp) bool {
	if s.Wall != o.Wall {
		return s.Wall < o.Wall
	}
	return s.Count < o.Count
}

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	now func() time.Time

	mu   sync.Mutex
	last Stamp
}

// NewClock returns a clock that reads the time from now.
func NewClock(now func() time.Time) *Clock {
	return &Clock{
		now: now,
	}
}

// Now returns a stamp later than all that the clock gave or observed.
func (c *Clock) Now() Stamp {
	return c.Observe(Stamp{})
}

// Observe is Now after s, a stamp from another daemon.
func (c *Clock) Observe(s Stamp) Stamp {
	w := c.now().UnixNano()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(s) {
		c.last = s
	}
	if w > c.last.Wall {
		c.last = Stamp{
			Wall: w,
		}
		return c.last
	}
	c.last.Count++
	return c.last
}
