package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"heatherford/core/config"
	"heatherford/io/operator"
)

func printPlan(w io.Writer, p operator.Plan) {
	fmt.Fprintf(w, "plan against version %d: %s\n", p.Base, p.Reason)
	if len(p.Changes) == 0 {
		fmt.Fprintln(w, "  nothing changes")
	}
	for _, c := range p.Changes {
		fmt.Fprintf(w, "  %s %s\n", c.Path, c.Text)
	}
	if p.More > 0 {
		fmt.Fprintf(w, "  and %d more changes\n", p.More)
	}
	printLines(w, "work that moves", p.Assessment.Moves)
	fmt.Fprintln(w, "headroom in requests in flight")
	for _, h := range p.Assessment.Headroom {
		fmt.Fprintf(w, "  %s: %d left of cap %d and %d slots; %d of late, %d after\n", h.Region, h.Spare(), h.Cap, h.Slots, h.Load, h.After)
	}
	printLines(w, "warnings", p.Assessment.Warnings)
	fmt.Fprintf(w, "it can be confirmed for %.0f minutes\n", time.Until(p.ExpiresAt).Minutes())
}

func printLines(w io.Writer, title string, lines []string) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintln(w, title)
	for _, l := range lines {
		fmt.Fprintln(w, "  "+l)
	}
}

func printHistory(w io.Writer, h operator.History) {
	for _, e := range h.Versions {
		fmt.Fprintf(w, "version %d by %s at %s: %s (operation %s)\n", e.Number, e.Operator, e.ConfirmedAt.UTC().Format(time.RFC3339), e.Reason, e.Operation)
		printEntry(w, e)
	}
}

func printEntry(w io.Writer, e config.HistoryEntry) {
	for _, c := range e.Changes {
		fmt.Fprintf(w, "  %s %s\n", c.Path, c.Text)
	}
	if e.More > 0 {
		fmt.Fprintf(w, "  and %d more changes\n", e.More)
	}
}

func printStatus(w io.Writer, a operator.Status, now time.Time) {
	fmt.Fprintf(w, "%s: version %d in force, %d hosts\n", a.Host, a.Version, a.Hosts)
	if a.Version > 0 {
		fmt.Fprintf(w, "confirmed by %s at %s, %s\n", a.Operator, a.ConfirmedAt.UTC().Format(time.RFC3339), everywhere(a))
	}
	printHost(w, operator.HostStatus{
		Name:   a.Host,
		State:  "alive",
		Report: &a.Report,
	}, now)
	for _, h := range a.Others {
		printHost(w, h, now)
	}
	for _, d := range drains(a) {
		fmt.Fprintln(w, d.text())
	}
}

func everywhere(a operator.Status) string {
	if a.Behind > 0 {
		return fmt.Sprintf("not yet known to be in force at %d hosts", a.Behind)
	}
	return fmt.Sprintf("in force everywhere in %v", time.Duration(a.EverywhereMS)*time.Millisecond)
}

func printHost(w io.Writer, h operator.HostStatus, now time.Time) {
	s := []string{h.State}
	if h.Leaving {
		s = append(s, "leaving")
	}
	if h.Report == nil {
		fmt.Fprintf(w, "  %s %s, gives no report\n", h.Name, strings.Join(s, " "))
		return
	}
	r := h.Report
	if r.Stopping {
		s = append(s, "stopping")
	}
	if !r.Serving {
		s = append(s, "not serving")
	}
	rate := 0.0
	if d := now.Sub(r.Exchange.Since).Seconds(); d > 0 {
		rate = float64(r.Exchange.Bytes()+r.Other.Bytes()) / d
	}
	fmt.Fprintf(w, "  %s %s, %s, version %d, %d requests in flight, %.0f control bytes/s\n", h.Name, r.Zone, strings.Join(s, " "), r.Version, r.InFlight, rate)
}
