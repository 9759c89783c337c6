package budget

import "sync"

const (
	// retriesPerSuccess is the number of retries that each success allows.
	retriesPerSuccess = 0.1
	// maxTokens bounds the retries that can accumulate while none is needed.
	maxTokens = 10
)

// Budget is a token bucket that bounds the retries for one upstream. Without
// successes it allows a few and then none, so that retries add at most a tenth to
// the load of a failing upstream. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// tokens is between 0 and maxTokens; a retry takes 1.
	tokens float64
}

// New returns a budget that allows one retry before the first success.
func New() *Budget {
	return &Budget{
		tokens: 1,
	}
}

// RecordSuccess counts a success.
func (b *Budget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxTokens, b.tokens+retriesPerSuccess)
}

// Return gives back a retry that was taken and not sent.
func (b *Budget) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxTokens, b.tokens+1)
}

// Take takes one retry and reports whether it is allowed.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
