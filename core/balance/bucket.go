package balance

import (
	"math"
	"time"
)

// bucket is a token bucket.
type bucket struct {
	// rate is the number of tokens added per second.
	rate float64
	// capacity is the most tokens that it holds. 0 stands for 1.
	capacity float64
	// tokens is the number of tokens at the time at, between 0 and the capacity.
	tokens float64
	at     time.Time
}

func (b *bucket) refill(now time.Time) {
	full := max(1, b.capacity)
	switch {
	case b.rate <= 0:
		b.tokens = 0
	case b.at.IsZero():
		b.tokens = 1
	default:
		b.tokens = min(full, b.tokens+b.rate*now.Sub(b.at).Seconds())
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

// wait returns how long it takes until there are n tokens, if none is taken meanwhile
// for anything else.
func (b *bucket) wait(n int, now time.Time) time.Duration {
	b.refill(now)
	missing := float64(n) - b.tokens
	switch {
	case missing <= 0:
		return 0
	case b.rate <= 0:
		return math.MaxInt64
	default:
		return time.Duration(missing / b.rate * float64(time.Second))
	}
}
