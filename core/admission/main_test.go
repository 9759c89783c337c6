package admission

import (
	"testing"

	"heatherford/internal/rapidtb"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	rapidtb.Main(m)
}
