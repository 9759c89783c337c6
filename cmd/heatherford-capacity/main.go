// Heatherford-capacity measures what each part of a daemon costs at three sizes
// or more, and works out from the slopes what it costs at the size of the plan.
// docs/CAPACITY.md gives the figures.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
)

func main() {
	only := flag.String("only", "", "comma-separated `parts` to measure; all if empty")
	flag.Parse()
	if err := run(*only); err != nil {
		fmt.Fprintln(os.Stderr, "heatherford-capacity:", err)
		os.Exit(1)
	}
}

func run(only string) error {
	for _, p := range parts() {
		if only != "" && !contains(only, p.name) {
			continue
		}
		if err := p.print(os.Stdout); err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
	}
	return nil
}

func contains(list, name string) bool {
	for _, s := range strings.Split(list, ",") {
		if s == name {
			return true
		}
	}
	return false
}

// The size of the plan.
const (
	planHosts  = 3_000
	planBlocks = 300_000
	planSites  = 500
	planZones  = 32
	planRegion = 10
	// planEndpoints is not in the plan: today's 40 endpoints for each 20 hosts.
	planEndpoints = planHosts * 2
)

func parts() []part {
	return []part{
		lookupPart(),
		declarationPart(),
		bundlePart(),
		changePart(),
		snapshotPart(),
		rowsPart(),
		hostsPart(),
		memberPart(),
		loadsPart(),
		eventPart(),
		mergePart(),
		rollUpPart(),
		reportPart(),
	}
}
