package sessions

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// untilDeadline bounds the wait for a condition that a session expects.
const untilDeadline = 20 * time.Second

// cmdPorts sets each named variable to a free address on loopback.
func cmdPorts(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg, "ports")
	for _, a := range args {
		p, err := freeAddress()
		ts.Check(err)
		ts.Setenv(a, p.String())
		ts.Setenv("MASKS", ts.Getenv("MASKS")+" "+p.String()+"="+a)
	}
}

// cmdExpand replaces ${VAR} in files: expand FILE...
func cmdExpand(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg, "expand")
	for _, a := range args {
		b, err := os.ReadFile(ts.MkAbs(a))
		ts.Check(err)
		const mode = 0o600
		ts.Check(os.WriteFile(ts.MkAbs(a), []byte(os.Expand(string(b), ts.Getenv)), mode))
	}
}

// cmdHTTP makes a call and prints status, chosen headers and body:
// http METHOD URL [Header:Value]... [@FILE].
func cmdHTTP(ts *testscript.TestScript, neg bool, args []string) {
	out, err := call(ts, args)
	if neg != (err != nil) {
		ts.Fatalf("http: unexpected result: %v", err)
	}
	fmt.Fprint(ts.Stdout(), mask(ts, out))
}

// cmdUntil repeats a call or a program until its output matches:
// until REGEXP http METHOD URL... | until REGEXP PROGRAM ARGS...
func cmdUntil(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg, "until")
	if len(args) < 2 {
		ts.Fatalf("usage: until REGEXP COMMAND...")
	}
	re, err := regexp.Compile(args[0])
	ts.Check(err)
	end := time.Now().Add(untilDeadline)
	out := ""
	for time.Now().Before(end) {
		out = attempt(ts, args[1:])
		if re.MatchString(mask(ts, out)) {
			return
		}
		<-time.After(pollInterval)
	}
	ts.Fatalf("until: no match for %s, last output:\n%s", args[0], out)
}

const pollInterval = 20 * time.Millisecond

func attempt(ts *testscript.TestScript, args []string) string {
	if args[0] == "http" {
		out, err := call(ts, args[1:])
		if err != nil {
			return err.Error()
		}
		return out
	}
	c := exec.Command(bin+"/"+args[0], args[1:]...)
	c.Dir = ts.Getenv("WORK")
	b, _ := c.CombinedOutput()
	return string(b)
}

// cmdMasked prints a file with addresses and times masked: masked FILE.
func cmdMasked(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg, "masked")
	fmt.Fprint(ts.Stdout(), mask(ts, ts.ReadFile(args[0])))
}

func call(ts *testscript.TestScript, args []string) (string, error) {
	a, err := http.DefaultClient.Do(newRequest(ts, args))
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s%s\n%s", a.Status, shownHeaders(a.Header), b), nil
}

// newRequest returns the request that METHOD URL [Header:Value]... [@FILE]
// stands for.
func newRequest(ts *testscript.TestScript, args []string) *http.Request {
	if len(args) < 2 {
		ts.Fatalf("usage: http METHOD URL [Header:Value]... [@FILE]")
	}
	body := io.Reader(http.NoBody)
	header := http.Header{}
	for _, a := range args[2:] {
		if f, ok := strings.CutPrefix(a, "@"); ok {
			b, err := os.ReadFile(ts.MkAbs(f))
			ts.Check(err)
			body = bytes.NewReader(b)
			continue
		}
		n, v, _ := strings.Cut(a, ":")
		header.Set(n, v)
	}
	r, err := http.NewRequest(args[0], args[1], body)
	ts.Check(err)
	r.Header = header
	return r
}

// shownHeaders are printed in a fixed order.
func shownHeaders(h http.Header) string {
	s := ""
	for _, n := range []string{"Cache-Control", "Heatherford-Code", "Heatherford-Outcome", "Heatherford-Host", "Heatherford-Endpoint"} {
		if v := h.Get(n); v != "" {
			s += "\n" + n + ": " + v
		}
	}
	return s
}

var timePattern = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z`)

// mask replaces what differs from run to run.
func mask(ts *testscript.TestScript, s string) string {
	for _, m := range strings.Fields(ts.Getenv("MASKS")) {
		a, n, _ := strings.Cut(m, "=")
		s = strings.ReplaceAll(s, a, "$"+n)
	}
	return timePattern.ReplaceAllString(s, "TIME")
}

func refuseNegation(ts *testscript.TestScript, neg bool, name string) {
	if neg {
		ts.Fatalf("unsupported: ! %s", name)
	}
}
