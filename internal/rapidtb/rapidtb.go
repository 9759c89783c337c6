// Package rapidtb runs property tests by rapid: with a fixed seed, and with
// quicktest's assertions, whose failures make rapid shrink the input.
package rapidtb

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// tb is a testing.TB whose failures go to rapid, which then shrinks the input.
type tb struct {
	testing.TB
	rapid *rapid.T
}

// New returns assertions for one run of a property of the test t.
func New(t testing.TB, r *rapid.T) *qt.C {
	return qt.New(&tb{
		TB:    t,
		rapid: r,
	})
}

// Helper implements testing.TB.
func (t *tb) Helper() {
	t.rapid.Helper()
}

// Error implements testing.TB.
func (t *tb) Error(args ...any) {
	t.rapid.Error(args...)
}

// Fatal implements testing.TB.
func (t *tb) Fatal(args ...any) {
	t.rapid.Fatal(args...)
}
