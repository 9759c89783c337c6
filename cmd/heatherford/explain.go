package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"heatherford/core/code"
)

// contextBefore is how long before a request lines on its endpoints are shown.
const contextBefore = 30 * time.Second

// logLine is a line of a host's log.
type logLine struct {
	at     time.Time
	host   string
	kind   string
	fields []field
}

type field struct {
	key   string
	value string
}

func (l *logLine) get(key string) string {
	for _, f := range l.fields {
		if f.key == key {
			return f.value
		}
	}
	return ""
}

// explain tells the story of a request from the logs of several hosts.
func explain(e *environment, args []string) error {
	f := flag.NewFlagSet("explain", flag.ContinueOnError)
	f.SetOutput(e.stderr)
	f.Usage = func() {
		fmt.Fprint(e.stderr, `usage: heatherford explain REQUEST_ID [FILE...]

Reads logs of one or more hosts, from files or from standard input, and shows the
lines of a request in order, with what the hosts knew of its endpoints before it.

  heatherford explain 9c41d07be2a35f68 host-1.log host-2.log
`)
	}
	if err := f.Parse(args); err != nil {
		return err
	}
	if f.NArg() == 0 {
		f.Usage()
		return code.New(code.OperatorInput, "heatherford: explain needs a request's identifier")
	}
	lines, err := readLogs(f.Args()[1:])
	if err != nil {
		return err
	}
	return tellStory(e.stdout, f.Arg(0), lines)
}

func readLogs(paths []string) ([]logLine, error) {
	if len(paths) == 0 {
		return readLog(os.Stdin)
	}
	lines := []logLine{}
	for _, p := range paths {
		r, err := os.Open(p)
		if err != nil {
			return nil, code.Wrap(code.OperatorInput, err, "heatherford: explain")
		}
		s, err := readLog(r)
		r.Close()
		if err != nil {
			return nil, code.Wrap(code.OperatorInput, err, "heatherford: %s", p)
		}
		lines = append(lines, s...)
	}
	return lines, nil
}

// readLog reads the lines of a log. Lines of other programs are passed over.
func readLog(r io.Reader) ([]logLine, error) {
	lines := []logLine{}
	d := logfmt.NewDecoder(r)
	for d.ScanRecord() {
		l := logLine{}
		for d.ScanKeyval() {
			k, v := string(d.Key()), string(d.Value())
			switch k {
			case "time":
				t, err := time.Parse(time.RFC3339Nano, v)
				if err != nil {
					continue
				}
				l.at = t
			case "host":
				l.host = v
			case "kind":
				l.kind = v
			default:
				l.fields = append(l.fields, field{
					key:   k,
					value: v,
				})
			}
		}
		if l.kind != "" && !l.at.IsZero() {
			lines = append(lines, l)
		}
	}
	return lines, d.Err()
}

// tellStory writes the lines of a request in the order of their times.
func tellStory(w io.Writer, id string, lines []logLine) error {
	sort.SliceStable(lines, func(i, j int) bool {
		return lines[i].at.Before(lines[j].at)
	})
	story := []logLine{}
	endpoints := map[string]bool{}
	hosts := map[string]bool{}
	left := map[string]bool{}
	for _, l := range lines {
		if l.kind == "left_out" {
			left[l.host+": "+l.get("lines")+" lines of "+l.get("of")] = true
		}
		if l.get("request") != id {
			continue
		}
		story = append(story, l)
		hosts[l.host] = true
		if x := l.get("endpoint"); x != "" {
			endpoints[x] = true
		}
	}
	if len(story) == 0 {
		return code.New(code.OperatorInput, "heatherford: no line of request %s; lines left out: %d", id, len(left))
	}
	first := story[0].at
	contents := contentsOf(story)
	upstreams := upstreamsOf(story)
	for _, l := range lines {
		if l.tellsOfContent(contents) && l.at.Before(first) {
			writeLine(w, first, &l)
		}
		if (l.isContext(hosts, endpoints) || l.tellsOfUpstream(hosts, upstreams)) && l.at.Before(first) && first.Sub(l.at) < contextBefore {
			writeLine(w, first, &l)
		}
	}
	for _, l := range story {
		writeLine(w, first, &l)
	}
	return nil
}

// isContext reports whether a line tells what one of the hosts knew of one of the
// endpoints, or of its own way to all of them.
func (l *logLine) isContext(hosts, endpoints map[string]bool) bool {
	switch l.kind {
	case "endpoint", "rest", "leaving", "backoff":
		return hosts[l.host] && endpoints[l.get("endpoint")]
	case "reach":
		return hosts[l.host]
	default:
		return false
	}
}

// refusingUpstream matches an upstream in a line's detail that has no endpoints, or none that
// wants requests.
var refusingUpstream = regexp.MustCompile(`upstream "([^"]+)" has no endpoint|no endpoint of "([^"]+)" wants requests`)

// upstreamsOf returns the upstreams that lines name since none of their endpoints got the
// request.
func upstreamsOf(lines []logLine) map[string]bool {
	m := map[string]bool{}
	for _, l := range lines {
		if s := refusingUpstream.FindStringSubmatch(l.get("detail")); s != nil {
			m[s[1]+s[2]] = true
		}
	}
	return m
}

// tellsOfUpstream reports whether a line tells why an endpoint of one of the upstreams got
// no requests from one of the hosts, or from its owner, which may be any host.
func (l *logLine) tellsOfUpstream(hosts, upstreams map[string]bool) bool {
	switch l.kind {
	case "leaving", "endpoint":
		return hosts[l.host] && upstreams[l.get("upstream")]
	case "backoff":
		return upstreams[l.get("upstream")]
	default:
		return false
	}
}

// blockedContent matches the content of a request that was blocked in a line's detail.
var blockedContent = regexp.MustCompile(`of content ([0-9a-f]{32})`)

// contentsOf returns the fingerprints of the blocked contents that lines name.
func contentsOf(lines []logLine) []string {
	s := []string{}
	for _, l := range lines {
		if m := blockedContent.FindStringSubmatch(l.get("detail")); m != nil {
			s = append(s, m[1])
		}
	}
	return s
}

// tellsOfContent reports whether a line tells of a crash under one of the contents, or that
// it was blocked or cleared.
func (l *logLine) tellsOfContent(contents []string) bool {
	if l.kind != "crash" && l.kind != "quarantine" {
		return false
	}
	return slices.ContainsFunc(contents, func(c string) bool {
		return strings.Contains(l.get("fingerprints"), c) || l.get("fingerprint") == c
	})
}

func writeLine(w io.Writer, first time.Time, l *logLine) {
	s := []string{}
	for _, f := range l.fields {
		if f.key == "request" || f.key == "uptime" || f.value == "" {
			continue
		}
		s = append(s, f.key+"="+f.value)
	}
	fmt.Fprintf(w, "%+9.1f ms  %-18s %-9s %s\n", float64(l.at.Sub(first))/float64(time.Millisecond), l.host, l.kind, strings.Join(s, " "))
}
