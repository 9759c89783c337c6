package main

import (
	"strings"
	"testing"
)

const list = "p.TestA/x | go test ./p -run TestA/x, seed 1 | late by 3 s | 4"

func judge(t *testing.T, text, events string) (string, error) {
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
	err = r.judge(entries, b)
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
