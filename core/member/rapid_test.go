package member_test

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

func init() {
	// A fixed seed makes all runs test the same cases.
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

// trial reports failed assertions of one generated case to rapid, so that rapid
// can shrink the case.
type trial struct {
	testing.TB
	rapid *rapid.T
}

func (t trial) Helper()           { t.rapid.Helper() }
func (t trial) Error(args ...any) { t.rapid.Error(args...) }
func (t trial) Fatal(args ...any) { t.rapid.Fatal(args...) }
func (t trial) Fail()             { t.rapid.Fail() }
func (t trial) FailNow()          { t.rapid.FailNow() }
