package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const list = "p.TestA/x | go test ./p -run TestA/x, seed 1 | late by 3 s | 4"

func judge(t *testing.T, text, events string, expected ...string) (string, error) {
	t.Helper()
	entries, err := parse(text)
	if err != nil {
		t.Fatal(err)
	}
	r, err := read(strings.NewReader(events))
	if err != nil {
		t.Fatal(err)
	}
	b := &strings.Builder{}
	err = r.judge(entries, expected, b)
	return b.String(), err
}

func TestKnownFailureExplainsItsParents(t *testing.T) {
	out, err := judge(t, list, `{"Action":"pass","Package":"p","Test":"TestB"}
{"Action":"fail","Package":"p","Test":"TestA/x"}
{"Action":"fail","Package":"p","Test":"TestA"}
{"Action":"fail","Package":"p"}`)
	if err != nil || !strings.Contains(out, "known red: "+list) {
		t.Fatalf("got %v, %s", err, out)
	}
}

func TestOtherFailureFails(t *testing.T) {
	for _, events := range []string{
		`{"Action":"fail","Package":"p","Test":"TestA/y"}`,
		`{"Action":"fail","Package":"p","Test":"TestA"}`,
		`{"Action":"fail","Package":"p"}`,
		`{"Action":"fail","Package":"p","Test":"TestA/x"}
{"Action":"fail","Package":"p","Test":"TestA/y"}
{"Action":"fail","Package":"p","Test":"TestA"}`,
		``,
	} {
		if out, err := judge(t, list, events); err == nil {
			t.Fatalf("no failure for %s: %s", events, out)
		}
	}
}

func TestEntryOfWrongShapeIsRefused(t *testing.T) {
	if _, err := parse("p.TestA | command"); err == nil {
		t.Fatal("no error")
	}
}

// TestPackageEntryIsRefused guards against an entry that lets any crash of its package
// pass.
func TestPackageEntryIsRefused(t *testing.T) {
	for _, text := range []string{
		"example.com/p | go test ./p | hangs | 4",
		"p | go test ./p | hangs | 4",
	} {
		if _, err := parse(text); err == nil {
			t.Fatalf("no error for %s", text)
		}
	}
}

// TestListedTestThatDidNotRunFails guards against a listed test that is gone, or whose
// package ended before it.
func TestListedTestThatDidNotRunFails(t *testing.T) {
	out, err := judge(t, list, `{"Action":"pass","Package":"p","Test":"TestB"}
{"Action":"pass","Package":"p"}`)
	if err == nil || !strings.Contains(out, "not run: "+list) {
		t.Fatalf("got %v, %s", err, out)
	}
}

// TestCrashFails guards against a crash that passes: a package that ends within a test, or
// without a failed one, fails whatever is listed, and what it printed is shown.
func TestCrashFails(t *testing.T) {
	listed := `{"Action":"start","Package":"p"}
{"Action":"run","Package":"p","Test":"TestA"}
{"Action":"run","Package":"p","Test":"TestA/x"}
{"Action":"fail","Package":"p","Test":"TestA/x"}
{"Action":"fail","Package":"p","Test":"TestA"}
`
	for name, events := range map[string]string{
		"behind a listed test": listed + `{"Action":"run","Package":"p","Test":"TestB"}
{"Action":"output","Package":"p","Test":"TestB","Output":"SIGSEGV\n"}
{"Action":"fail","Package":"p"}`,
		"within the listed test": `{"Action":"start","Package":"p"}
{"Action":"run","Package":"p","Test":"TestA"}
{"Action":"run","Package":"p","Test":"TestA/x"}
{"Action":"fail","Package":"p","Test":"TestA/x"}
{"Action":"output","Package":"p","Test":"TestA","Output":"SIGSEGV\n"}
{"Action":"fail","Package":"p"}`,
		"time-out": listed + `{"Action":"run","Package":"p","Test":"TestB"}
{"Action":"output","Package":"p","Test":"TestB","Output":"panic: test timed out after 9m0s, SIGSEGV\n"}
{"Action":"output","Package":"p","Output":"FAIL\tp\t540s\n"}
{"Action":"fail","Package":"p"}`,
		"one package of two": listed + `{"Action":"fail","Package":"p"}
{"Action":"start","Package":"p/q"}
{"Action":"run","Package":"p/q","Test":"TestC"}
{"Action":"output","Package":"p/q","Test":"TestC","Output":"SIGSEGV\n"}
{"Action":"fail","Package":"p/q"}`,
		"second run of the package, after its tests": listed + `{"Action":"fail","Package":"p"}
{"Action":"start","Package":"p"}
{"Action":"run","Package":"p","Test":"TestC"}
{"Action":"pass","Package":"p","Test":"TestC"}
{"Action":"output","Package":"p","Output":"SIGSEGV\n"}
{"Action":"fail","Package":"p"}`,
	} {
		t.Run(name, func(t *testing.T) {
			out, err := judge(t, list, events)
			if err == nil || !strings.Contains(out, "crashed: ") || !strings.Contains(out, "SIGSEGV") {
				t.Fatalf("got %v, %s", err, out)
			}
		})
	}
	if out, err := judge(t, list, `{"Action":"pass","Package":"p","Test":"TestB"}
`+listed+`{"Action":"fail","Package":"p"}`); err != nil {
		t.Fatalf("a run without a crash: %v, %s", err, out)
	}
}

// TestEachTestEndsOnce guards against tests that no run of several selects, or that more than one
// does.
func TestEachTestEndsOnce(t *testing.T) {
	const events = `{"Action":"pass","Package":"p","Test":"TestB"}
{"Action":"skip","Package":"p","Test":"TestC"}`
	if out, err := judge(t, "", events, "p.TestB", "p.TestC"); err != nil {
		t.Fatalf("got %v, %s", err, out)
	}
	if out, err := judge(t, "", events, "p.TestB", "p.TestD"); err == nil || !strings.Contains(out, "ended 0 times: p.TestD") {
		t.Fatalf("got %v, %s", err, out)
	}
	if out, err := judge(t, "", events+"\n"+events, "p.TestB"); err == nil || !strings.Contains(out, "ended 2 times: p.TestB") {
		t.Fatalf("got %v, %s", err, out)
	}
}

// TestListOfTests reads what go test prints with -list.
func TestListOfTests(t *testing.T) {
	path := filepath.Join(t.TempDir(), "tests.json")
	text := `{"Action":"start","Package":"p"}
{"Action":"output","Package":"p","Output":"TestB\n"}
{"Action":"output","Package":"p","Output":"FuzzC\n"}
{"Action":"output","Package":"p","Output":"BenchmarkD\n"}
{"Action":"output","Package":"p","Output":"ok  \tp\t0.1s\n"}
{"Action":"pass","Package":"p"}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	names, err := loadTests(path)
	if err != nil || !slices.Equal(names, []string{"p.TestB", "p.FuzzC"}) {
		t.Fatalf("got %v, %v", err, names)
	}
}
