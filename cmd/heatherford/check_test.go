package main

import (
	"bytes"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestCheck prints what is wrong with files, by line and field, and accepts this
// project's own deploy folder.
func TestCheck(t *testing.T) {
	for _, k := range []struct {
		name string
		args []string
		code int
	}{
		{
			name: "deploy",
			args: []string{"check", "-deploy", "testdata/check/deploy"},
			code: exitFailed,
		},
		{
			name: "broken",
			args: []string{"check", "-deploy", "testdata/check/broken"},
			code: exitFailed,
		},
		{
			name: "settings",
			args: []string{"check", "-settings", "testdata/check/local.toml"},
			code: exitFailed,
		},
		{
			name: "absent",
			args: []string{"check", "-settings", "testdata/check/none.toml", "-deploy", "testdata/check"},
			code: exitFailed,
		},
		{
			name: "own",
			args: []string{"check", "-deploy", "../../deploy"},
			code: exitOK,
		},
		{
			name: "usage",
			args: []string{"check"},
			code: exitUsage,
		},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			b := &bytes.Buffer{}
			e := &environment{
				stdout: b,
				stderr: b,
			}
			c.Check(run(k.args, e), qt.Equals, k.code)
			golden := "testdata/check/" + k.name + ".golden"
			if *update {
				const mode = 0o644
				c.Assert(os.WriteFile(golden, b.Bytes(), mode), qt.IsNil)
			}
			want, err := os.ReadFile(golden)
			c.Assert(err, qt.IsNil)
			c.Check(b.String(), qt.Equals, string(want))
		})
	}
}
