// Knownred reads the output of "go test -json" and fails if a test failed that
// KNOWN-RED.txt does not list.
//
// An entry of KNOWN-RED.txt is a line of four fields between bars: the test as
// "package.Test/subtest", the command with its seed, what was seen, the issue.
// Lines that are empty or begin with # are passed over. An entry names one test,
// never a package, whose crash would pass with it, and a listed test has to run.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
)

// testMark stands between the package and the name of a test.
const testMark = ".Test"

// event is a line of "go test -json".
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
	// FailedBuild is set if the package did not build.
	FailedBuild string
}

// entry is an entry of KNOWN-RED.txt.
type entry struct {
	test string
	line string
}

func main() {
	path := flag.String("list", "KNOWN-RED.txt", "`file` with the tests that are known to fail")
	flag.Parse()
	if err := run(*path, os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

func run(path string, in io.Reader, out io.Writer) error {
	entries, err := load(path)
	if err != nil {
		return err
	}
	r, err := read(in)
	if err != nil {
		return err
	}
	return r.judge(entries, out)
}

func load(path string) ([]entry, error) {
	b, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return parse(string(b))
}

func parse(text string) ([]entry, error) {
	entries := []entry{}
	for _, l := range strings.Split(text, "\n") {
		l = strings.TrimSpace(l)
		if l == "" || strings.HasPrefix(l, "#") {
			continue
		}
		const fields = 4
		f := strings.Split(l, "|")
		if len(f) != fields {
			return nil, fmt.Errorf("expected %d fields between bars: %s", fields, l)
		}
		name := strings.TrimSpace(f[0])
		if !strings.Contains(name, testMark) {
			return nil, fmt.Errorf("expected the name of a test: %s", l)
		}
		entries = append(entries, entry{
			test: name,
			line: l,
		})
	}
	return entries, nil
}

// results are the ends of all tests and packages of a run.
type results struct {
	// failed and passed hold "package.Test", or the package alone.
	failed map[string]bool
	passed map[string]bool
	output map[string]string
}

func read(in io.Reader) (*results, error) {
	r := &results{
		failed: map[string]bool{},
		passed: map[string]bool{},
		output: map[string]string{},
	}
	const maxLine = 16 << 20
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		e := event{}
		if err := json.Unmarshal(s.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("not an event of go test: %s", s.Text())
		}
		r.add(e)
	}
	return r, s.Err()
}

func (r *results) add(e event) {
	n := e.Package
	if e.Test != "" {
		n += "." + e.Test
	}
	switch e.Action {
	case "output", "build-output":
		r.output[n] += e.Output
	case "fail":
		r.failed[n] = true
	case "pass":
		r.passed[n] = true
	}
}

// judge prints what failed and returns an error if some of it is not listed.
func (r *results) judge(entries []entry, out io.Writer) error {
	known := map[string]bool{}
	bad := 0
	for _, e := range entries {
		known[e.test] = true
		switch {
		case r.failed[e.test]:
			fmt.Fprintln(out, "known red:", e.line)
		case r.passed[e.test]:
			fmt.Fprintln(out, "known red, but passed:", e.line)
		default:
			bad++
			fmt.Fprintln(out, "known red, but not run:", e.line)
		}
	}
	for _, n := range sorted(r.failed) {
		if known[n] || r.explained(n, known) {
			continue
		}
		bad++
		fmt.Fprintf(out, "--- failed: %s\n%s", n, r.output[n])
	}
	if bad > 0 {
		return fmt.Errorf("%d failures that KNOWN-RED.txt does not list, or listed tests that did not run", bad)
	}
	if len(r.passed) == 0 {
		return errors.New("no test passed")
	}
	fmt.Fprintf(out, "%d tests and packages passed, %d failed as known\n", len(r.passed), len(r.failed))
	return nil
}

// explained reports whether the failed parent n failed only by tests below it
// that are known or failed parents themselves.
func (r *results) explained(n string, known map[string]bool) bool {
	below := 0
	for m := range r.failed {
		if !isBelow(m, n) {
			continue
		}
		below++
		if !known[m] && !r.explained(m, known) {
			return false
		}
	}
	return below > 0
}

// isBelow reports whether m is a test of the package n, or a subtest of n.
func isBelow(m, n string) bool {
	if strings.Contains(n, testMark) {
		return strings.HasPrefix(m, n+"/")
	}
	return strings.HasPrefix(m, n+".")
}

func sorted(m map[string]bool) []string {
	s := make([]string, 0, len(m))
	for k := range m {
		s = append(s, k)
	}
	sort.Strings(s)
	return s
}
