package budget

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestRetryBudgetIsATenthOfSuccesses checks the bound for successes and retries
// in any order.
func TestRetryBudgetIsATenthOfSuccesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New()
		successes, retries := 0, 0
		for _, success := range rapid.SliceOfN(rapid.Bool(), 0, 500).Draw(t, "events") {
			if success {
				successes++
				b.RecordSuccess()
				continue
			}
			if b.Take() {
				retries++
			}
		}
		if bound := 1 + retriesPerSuccess*float64(successes) + 1e-9; float64(retries) > bound {
			t.Fatalf("%d retries after %d successes", retries, successes)
		}
	})
}

func TestRetryBudgetIsBoundedAfterALongGoodTime(t *testing.T) {
	c := qt.New(t)
	b := New()
	for range 10_000 {
		b.RecordSuccess()
	}
	n := 0
	for b.Take() {
		n++
	}
	c.Assert(n, qt.Equals, maxTokens)
}
