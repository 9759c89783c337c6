package balance

import "time"

// bucket is a token bucket with a capacity of one request.
type bucket struct {
	// rate is the number of tokens added per second.
	rate float64
	// tokens is the number of tokens at the time at, between 0 and 1.
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

// allows reports whether a request is allowed now.
func (b *bucket) allows(now time.Time) bool {
	b.refill(now)
	return b.tokens >= 1
}

// take takes a token if there is one.
func (b *bucket) take(now time.Time) {
	if b.allows(now) {
		b.tokens--
	}
}
