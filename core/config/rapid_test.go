package config_test

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

func init() {
	// A fixed seed gives the same result on every run.
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

// trial passes the assertions of one generated case to rapid, which shrinks a
// failing case.
type trial struct {
	testing.TB
	rapid *rapid.T
}

func (t trial) Helper()           { t.rapid.Helper() }
func (t trial) Error(args ...any) { t.rapid.Error(args...) }
func (t trial) Fatal(args ...any) { t.rapid.Fatal(args...) }
func (t trial) Fail()             { t.rapid.Fail() }
func (t trial) FailNow()          { t.rapid.FailNow() }
