package sessions

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdHosts writes the settings NAME.json of each host, with free addresses as
// $NAME_caller, $NAME_peer, $NAME_operator and $NAME_collector, and sets
// $HOSTS to the list of all: hosts NAME=ZONE/REGION....
func cmdHosts(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg, "hosts")
	list := []any{}
	for _, a := range args {
		name, place, _ := strings.Cut(a, "=")
		zone, region, ok := strings.Cut(place, "/")
		if !ok {
			ts.Fatalf("usage: hosts NAME=ZONE/REGION...")
		}
		cmdPorts(ts, false, []string{name + "_caller", name + "_peer", name + "_operator", name + "_collector"})
		list = append(list, map[string]any{
			"name":              name,
			"availability_zone": zone,
			"region":            region,
			"state":             "live",
			"caller_address":    ts.Getenv(name + "_caller"),
			"peer_address":      ts.Getenv(name + "_peer"),
		})
		writeFile(ts, name+".json", map[string]any{
			"host":              name,
			"availability_zone": zone,
			"region":            region,
			"caller_address":    ts.Getenv(name + "_caller"),
			"peer_address":      ts.Getenv(name + "_peer"),
			"operator_address":  ts.Getenv(name + "_operator"),
			"collector_address": ts.Getenv(name + "_collector"),
			"operators": map[string]any{
				"open": true,
			},
			"peers": map[string]any{
				"open": true,
			},
			"limits": map[string]any{
				"stop_deadline": "10s",
				"lookup_ttl":    "100ms",
			},
			"platform": map[string]any{
				"adapter": "http",
				"url":     "http://" + ts.Getenv("PLATFORM"),
			},
		})
	}
	b, err := json.Marshal(list)
	ts.Check(err)
	ts.Setenv("HOSTS", string(b))
}

func writeFile(ts *testscript.TestScript, name string, v any) {
	b, err := json.Marshal(v)
	ts.Check(err)
	const mode = 0o600
	ts.Check(os.WriteFile(ts.MkAbs(name), b, mode))
}

// cmdBackInUse kills a host without warning and then sends one request after
// another until an answer matches; it fails if that takes longer than the limit:
// backinuse NAME LIMIT REGEXP METHOD URL [Header:Value]....
func cmdBackInUse(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg, "backinuse")
	if len(args) < 5 || processesOf(ts)[args[0]] == nil {
		ts.Fatalf("usage: backinuse NAME LIMIT REGEXP METHOD URL [Header:Value]...")
	}
	limit, err := time.ParseDuration(args[1])
	ts.Check(err)
	re, err := regexp.Compile(args[2])
	ts.Check(err)
	ts.Check(processesOf(ts)[args[0]].command.Process.Signal(syscall.SIGKILL))
	started := time.Now()
	out := ""
	for time.Since(started) < untilDeadline {
		out = attempt(ts, append([]string{"http"}, args[3:]...))
		if re.MatchString(mask(ts, out)) {
			took := time.Since(started)
			ts.Logf("back in use after %v", took)
			if took > limit {
				ts.Fatalf("backinuse: took %v, expected at most %v", took, limit)
			}
			return
		}
		<-time.After(pollInterval)
	}
	ts.Fatalf("backinuse: no match for %s, last output:\n%s", args[2], out)
}

// cmdBurst sends requests at the same time, waits for all and prints how many
// got each code: burst COUNT METHOD URL [Header:Value]... [@FILE].
func cmdBurst(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg, "burst")
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	counts := burst(n, args[1:])
	for _, c := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(ts.Stdout(), "%s: %d\n", c, counts[c])
	}
}

func burst(n int, args []string) map[string]int {
	mu := sync.Mutex{}
	counts := map[string]int{}
	wg := sync.WaitGroup{}
	for range n {
		wg.Go(func() {
			c := codeOf(args)
			mu.Lock()
			defer mu.Unlock()
			counts[c]++
		})
	}
	wg.Wait()
	return counts
}

// codeOf returns the code that one call is answered with.
func codeOf(args []string) string {
	r, err := http.NewRequest(args[0], args[1], http.NoBody)
	if err != nil {
		return err.Error()
	}
	for _, a := range args[2:] {
		k, v, _ := strings.Cut(a, ":")
		r.Header.Set(k, v)
	}
	t := &http.Transport{
		DisableKeepAlives: true,
	}
	a, err := t.RoundTrip(r)
	if err != nil {
		return "no answer"
	}
	defer a.Body.Close()
	return a.Header.Get("Heatherford-Code")
}
