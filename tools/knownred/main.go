// Knownred reads the output of "go test -json" and fails if a test failed that
// KNOWN-RED.txt does not list.
//
// An entry of KNOWN-RED.txt is a line of four fields between bars: the test as
// "package.Test/subtest", the command with its seed, what was seen, the issue.
// Lines that are empty or begin with # are passed over. An entry names one test,
// never a package, whose crash would pass with it, and a listed test has to run.
//
// A test that began and has no end, and a package that failed without a failed test, are
// failures whatever is listed. With -tests, each test of the packages has to end once in
// all runs together.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"regexp"
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
	tests := flag.String("tests", "", "`file` with the output of \"go test -json -list .\"")
	flag.Parse()
	if err := run(*path, *tests, os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

func run(path, tests string, in io.Reader, out io.Writer) error {
	entries, err := load(path)
	if err != nil {
		return err
	}
	expected, err := loadTests(tests)
	if err != nil {
		return err
	}
	r, err := read(in)
	if err != nil {
		return err
	}
	return r.judge(entries, expected, out)
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

// results are the ends of all tests and packages of some runs.
type results struct {
	// failed and passed hold "package.Test", or the package alone.
	failed map[string]bool
	passed map[string]bool
	output map[string]string
	// ends counts the ends of each test.
	ends map[string]int
	runs []*packageRun
	// current is the last run of each package.
	current map[string]*packageRun
}

// packageRun is one run of the tests of a package.
type packageRun struct {
	name string
	// running holds the tests that began and have no end.
	running map[string]bool
	// failedTests is the number of failed tests, and failed is true if the package failed.
	failedTests int
	failed      bool
	// tail is the output since the last end of a test.
	tail strings.Builder
}

func read(in io.Reader) (*results, error) {
	r := &results{
		failed:  map[string]bool{},
		passed:  map[string]bool{},
		output:  map[string]string{},
		ends:    map[string]int{},
		current: map[string]*packageRun{},
	}
	err := readEvents(in, r.add)
	return r, err
}

func readEvents(in io.Reader, add func(e event)) error {
	const maxLine = 16 << 20
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		e := event{}
		if err := json.Unmarshal(s.Bytes(), &e); err != nil {
			return fmt.Errorf("not an event of go test: %s", s.Text())
		}
		add(e)
	}
	return s.Err()
}

// runOf returns the run of a package that an event belongs to.
func (r *results) runOf(e event) *packageRun {
	p := r.current[e.Package]
	if p == nil || e.Action == "start" {
		p = &packageRun{
			name:    e.Package,
			running: map[string]bool{},
		}
		r.runs = append(r.runs, p)
		r.current[e.Package] = p
	}
	return p
}

func (r *results) add(e event) {
	n := e.Package
	if e.Test != "" {
		n += "." + e.Test
	}
	p := r.runOf(e)
	switch e.Action {
	case "run":
		p.running[n] = true
	case "output", "build-output":
		r.output[n] += e.Output
		p.tail.WriteString(e.Output)
	case "fail":
		r.failed[n] = true
		if e.Test == "" {
			p.failed = true
			return
		}
		p.failedTests++
	case "pass":
		r.passed[n] = true
	}
	if e.Test != "" && (e.Action == "pass" || e.Action == "fail" || e.Action == "skip") {
		r.ends[n]++
		delete(p.running, n)
		p.tail.Reset()
	}
}

// judge prints what failed and returns an error if some of it is not listed. Each expected test
// has to end once.
func (r *results) judge(entries []entry, expected []string, out io.Writer) error {
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
	bad += r.judgeCrashes(out) + r.judgeExpected(expected, out)
	if bad > 0 {
		return fmt.Errorf("%d failures that KNOWN-RED.txt does not list, crashes, or tests that did not run", bad)
	}
	if len(r.passed) == 0 {
		return errors.New("no test passed")
	}
	fmt.Fprintf(out, "%d tests and packages passed, %d failed as known\n", len(r.passed), len(r.failed))
	return nil
}

// judgeCrashes prints the packages that ended within a test, or failed without a failed test, and
// returns their number.
func (r *results) judgeCrashes(out io.Writer) int {
	bad := 0
	for _, p := range r.runs {
		switch {
		case len(p.running) > 0:
			fmt.Fprintf(out, "--- crashed: %s, within %s\n%s", p.name, strings.Join(sorted(p.running), ", "), p.tail.String())
		case p.failed && p.failedTests == 0:
			fmt.Fprintf(out, "--- crashed: %s, without a failed test\n%s", p.name, p.tail.String())
		default:
			continue
		}
		bad++
	}
	return bad
}

// judgeExpected prints the tests that did not end once and returns their number.
func (r *results) judgeExpected(expected []string, out io.Writer) int {
	bad := 0
	for _, n := range expected {
		if r.ends[n] != 1 {
			bad++
			fmt.Fprintf(out, "--- ended %d times: %s\n", r.ends[n], n)
		}
	}
	return bad
}

// testName matches what "go test -list" prints of tests that always run.
var testName = regexp.MustCompile(`^(Test|Fuzz)\w*\n$`)

// loadTests returns the tests that a file lists, as "package.Test". No path stands for none.
func loadTests(path string) ([]string, error) {
	if path == "" {
		return nil, nil
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	names := []string{}
	err = readEvents(f, func(e event) {
		if e.Action == "output" && testName.MatchString(e.Output) {
			names = append(names, e.Package+"."+strings.TrimSpace(e.Output))
		}
	})
	if err == nil && len(names) == 0 {
		err = errors.New("no test is listed in " + path)
	}
	return names, err
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
