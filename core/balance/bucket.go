package balance

import "time"

// bucket allows a number of requests a second, one at a time.
type bucket struct {
	// rate is the number a second.
	rate float64
	// tokens is between 0 and 1, as of the time at.
	tokens float64
	at     time.Time
}

func (b *bucket) refill(now time.Time) {
	switch {
	case b.rate <= 0:
		b.tokens = 0
	case b.at.IsZero():
		b.tokens = 1
	default:
		b.tokens = min(1, b.tokens+b.rate*now.Sub(b.at).Seconds())
	}
	b.at = now
}

// has reports whether a request is allowed now.
func (b *bucket) has(now time.Time) bool {
	b.refill(now)
	return b.tokens >= 1
}

// take takes one request if it is allowed.
func (b *bucket) take(now time.Time) {
	if b.has(now) {
		b.tokens--
	}
}
