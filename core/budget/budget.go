package budget

import "sync"

const (
	// share is the number of retries that each success allows.
	share = 0.1
	// most bounds what a long time without retries saves up.
	most = 10
)

// Budget allows retries of the work for one upstream. Without successes it
// allows a few and then none, so that retries add at most a tenth to the load
// of an upstream that fails. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// tokens is between 0 and most; a retry takes 1.
	tokens float64
}

// New returns a budget that allows one retry before the first success.
func New() *Budget {
	return &Budget{
		tokens: 1,
	}
}

// Succeed counts a success.
func (b *Budget) Succeed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(most, b.tokens+share)
}

// Return gives back a retry that was taken and not made.
func (b *Budget) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(most, b.tokens+1)
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
