package sessions

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdFleet writes the settings of a fleet and sets the variables PLATFORM, and
// C1, P1, O1 and so on for the hosts' addresses for callers, peers and operators,
// and E1 and so on for the endpoints':
// fleet [-hosts N] [-endpoints N] [-service D] [-ttl D] [-keys] [-tls].
func cmdFleet(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg, "fleet")
	o := fleetOptions{}
	f := flag.NewFlagSet("fleet", flag.ContinueOnError)
	f.IntVar(&o.hosts, "hosts", 4, "hosts")
	f.IntVar(&o.endpoints, "endpoints", 3, "endpoints")
	f.DurationVar(&o.service, "service", 5*time.Millisecond, "service time")
	f.DurationVar(&o.lookupTTL, "ttl", 500*time.Millisecond, "time to live of look-ups")
	f.BoolVar(&o.tls, "tls", false, "peers and operators speak TLS")
	f.BoolVar(&o.keys, "keys", false, "operators have keys")
	ts.Check(f.Parse(args))
	x := newFleet(o, func() netip.AddrPort {
		a, err := freeAddress()
		ts.Check(err)
		return a
	})
	set := func(name string, a netip.AddrPort) {
		ts.Setenv(name, a.String())
		ts.Setenv("MASKS", ts.Getenv("MASKS")+" "+a.String()+"="+name)
	}
	set("PLATFORM", x.platform)
	for i, h := range x.hosts {
		n := strconv.Itoa(i + 1)
		set("C"+n, h.CallerAddress)
		set("P"+n, h.PeerAddress)
		set("O"+n, h.operator)
	}
	for i, e := range x.endpoints {
		set("E"+strconv.Itoa(i+1), e.Address)
	}
	ts.Check(x.write(ts.MkAbs(".")))
}

// cmdNever makes a call several times and fails if an answer matches:
// never REGEXP COUNT http METHOD URL....
func cmdNever(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg, "never")
	if len(args) < 3 {
		ts.Fatalf("usage: never REGEXP COUNT COMMAND...")
	}
	re, err := regexp.Compile(args[0])
	ts.Check(err)
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	for range n {
		if out := attempt(ts, args[2:]); re.MatchString(mask(ts, out)) {
			ts.Fatalf("never: a match for %s:\n%s", args[0], out)
		}
	}
}

// cmdShown prints what a program prints, with addresses and times masked:
// shown PROGRAM ARGS....
func cmdShown(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg, "shown")
	fmt.Fprint(ts.Stdout(), durationPattern.ReplaceAllString(mask(ts, attempt(ts, args)), "DURATION"))
}

var durationPattern = regexp.MustCompile(`\b\d+(\.\d+)?(ms|s)\b`)

// cmdTraffic starts or ends callers that look up and send requests all the time:
// traffic start NAME URL... and traffic stop NAME, which prints what became of
// the requests.
func cmdTraffic(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg, "traffic")
	switch {
	case len(args) >= 3 && args[0] == "start":
		t := newTraffic(args[2:], trafficCallers)
		trafficsOf(ts)[args[1]] = t
		t.start()
	case len(args) == 2 && args[0] == "stop" && trafficsOf(ts)[args[1]] != nil:
		r := trafficsOf(ts)[args[1]].stop()
		delete(trafficsOf(ts), args[1])
		ts.Logf("traffic: %d answered", r.answered)
		fmt.Fprintf(ts.Stdout(), "answered %t, not answered %d\n%s", r.answered > 0, len(r.failures), strings.Join(r.failures, ""))
	default:
		ts.Fatalf("usage: traffic start NAME URL... | traffic stop NAME")
	}
}

// cmdReplace replaces the text in a file: replace OLD NEW FILE.
func cmdReplace(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg, "replace")
	if len(args) != 3 {
		ts.Fatalf("usage: replace OLD NEW FILE")
	}
	s := ts.ReadFile(args[2])
	if !strings.Contains(s, args[0]) {
		ts.Fatalf("replace: %s holds no %s", args[2], args[0])
	}
	const mode = 0o600
	ts.Check(os.WriteFile(ts.MkAbs(args[2]), []byte(strings.ReplaceAll(s, args[0], args[1])), mode))
}

// cmdSteady fails if what the expression matches in the answers of a call differs
// before and after a time: steady REGEXP DURATION http METHOD URL....
func cmdSteady(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg, "steady")
	if len(args) < 3 {
		ts.Fatalf("usage: steady REGEXP DURATION COMMAND...")
	}
	re, err := regexp.Compile(args[0])
	ts.Check(err)
	d, err := time.ParseDuration(args[1])
	ts.Check(err)
	before := re.FindString(attempt(ts, args[2:]))
	if before == "" {
		ts.Fatalf("steady: no match for %s", args[0])
	}
	<-time.After(d)
	if after := re.FindString(attempt(ts, args[2:])); after != before {
		ts.Fatalf("steady: %s becomes %s", before, after)
	}
}
