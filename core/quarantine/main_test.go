package quarantine_test

import (
	"testing"

	"heatherford/internal/rapidtb"
)

func TestMain(m *testing.M) {
	rapidtb.Main(m)
}
