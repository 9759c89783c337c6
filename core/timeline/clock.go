package timeline

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"heatherford/core/code"
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

// Time returns the wall-clock part of s.
func (s Stamp) Time() time.Time {
	return time.Unix(0, s.Wall).UTC()
}

// String returns s as ParseStamp reads it.
func (s Stamp) String() string {
	return fmt.Sprintf("%d.%d", s.Wall, s.Count)
}

// ParseStamp reads a stamp that String wrote.
func ParseStamp(text string) (Stamp, error) {
	w, c, _ := strings.Cut(text, ".")
	wall, err := strconv.ParseInt(w, 10, 64)
	if err != nil || wall < 0 {
		return Stamp{}, code.New(code.PeerDenied, "timeline: %q is no stamp", text)
	}
	count, err := strconv.ParseUint(c, 10, 32)
	if err != nil {
		return Stamp{}, code.New(code.PeerDenied, "timeline: %q is no stamp", text)
	}
	return Stamp{
		Wall:  wall,
		Count: uint32(count),
	}, nil
}

// MaxAhead is how far another daemon's stamp may be ahead of this daemon's
// wall clock. One further ahead is not taken, so that one wrong clock does not
// spoil the stamps of all daemons; the order over that daemon is then by wall
// clocks.
const MaxAhead = 10 * time.Minute

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

// Observe is Now after s, a stamp from another daemon. A stamp more than
// MaxAhead ahead is left out of account.
func (c *Clock) Observe(s Stamp) Stamp {
	w := c.now().UnixNano()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(s) && s.Wall <= w+int64(MaxAhead) {
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
