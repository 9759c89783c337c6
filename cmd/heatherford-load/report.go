package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Report is the result of a run.
type Report struct {
	Scenario string  `json:"scenario"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`
	// Score is the weight of all correct answers in time over that of all
	// requests.
	Score float64      `json:"score"`
	Kinds []KindReport `json:"kinds"`
	// Lateness is how late the generator started requests; a large one makes
	// the run void.
	Lateness  Quantiles        `json:"generator_lateness"`
	Lookups   LookupReport     `json:"lookups"`
	Hops      int64            `json:"hops"`
	Upstreams []UpstreamReport `json:"upstreams"`
	Endpoints []EndpointReport `json:"endpoints"`
	Regions   []RegionReport   `json:"regions"`
}

// Quantiles of a time, in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p99_9_ms"`
}

// KindReport is the result of one kind of work.
type KindReport struct {
	Kind   string  `json:"kind"`
	Rank   string  `json:"rank"`
	Weight float64 `json:"weight"`
	Asked  int     `json:"asked"`
	// Correct answers were whole, the request's own and in time.
	Correct int `json:"correct"`
	Late    int `json:"late"`
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
	// Wrong answers were not whole or not the request's own.
	Wrong int `json:"wrong"`
	// Tries counts every sending, the callers' retries with them.
	Tries int `json:"tries"`
	// Codes counts the last codes of requests that were not correct.
	Codes    map[int]int `json:"codes"`
	Latency  Quantiles   `json:"latency"`
	Refusals Quantiles   `json:"refusal_latency"`
}

// LookupReport is the result of the callers' look-ups.
type LookupReport struct {
	Asked   int64     `json:"asked"`
	Failed  int64     `json:"failed"`
	Latency Quantiles `json:"latency"`
}

func quantiles(h *histogram) Quantiles {
	return Quantiles{
		P50:  h.quantile(50),
		P99:  h.quantile(99),
		P999: h.quantile(99.9),
	}
}

func (b *bench) report(w *watch) *Report {
	r := &Report{
		Scenario: b.scenario.Name,
		Seed:     b.seed,
		Seconds:  b.scenario.Duration.Std().Seconds(),
		Lateness: quantiles(b.lateness),
		Lookups: LookupReport{
			Asked:   b.lookups.asked.Load(),
			Failed:  b.lookups.failed.Load(),
			Latency: quantiles(b.lookups.times),
		},
		Hops:      b.hops.Load(),
		Endpoints: w.endpoints(),
		Regions:   w.regions(),
	}
	b.reportKinds(r)
	for _, u := range b.scenario.Upstreams {
		r.Upstreams = append(r.Upstreams, w.upstream(u, b.correctOf(u.Name), r.Seconds))
	}
	return r
}

func (b *bench) reportKinds(r *Report) {
	worth, asked := 0.0, 0.0
	seen := map[string]bool{}
	for _, f := range b.scenario.Flows {
		if seen[f.Kind] {
			continue
		}
		seen[f.Kind] = true
		k := b.kinds[f.Kind]
		r.Kinds = append(r.Kinds, KindReport{
			Kind:     f.Kind,
			Rank:     f.Rank,
			Weight:   f.Weight,
			Asked:    k.asked,
			Correct:  k.outcomes[outcomeCorrect],
			Late:     k.outcomes[outcomeLate],
			NotRun:   k.outcomes[outcomeNotRun],
			Unknown:  k.outcomes[outcomeUnknown],
			Wrong:    k.outcomes[outcomeWrong],
			Tries:    k.tries,
			Codes:    k.codes,
			Latency:  quantiles(k.times),
			Refusals: quantiles(k.refusals),
		})
		worth += f.Weight * float64(k.outcomes[outcomeCorrect])
		asked += f.Weight * float64(k.asked)
	}
	if asked > 0 {
		r.Score = worth / asked
	}
}

func (b *bench) correctOf(upstream string) int {
	n := 0
	for _, k := range b.kinds {
		if k.flow.Upstream == upstream {
			n += k.outcomes[outcomeCorrect]
		}
	}
	return n
}

// print prints the report as tables.
func (r *Report) print(out io.Writer) {
	fmt.Fprintf(out, "%s, seed %d, %.0f s: score %.4f, hops %d\n", r.Scenario, r.Seed, r.Seconds, r.Score, r.Hops)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "kind\trank\tasked\tcorrect %\tlate\tnot run\tunknown\twrong\ttries\tp50 ms\tp99 ms\tp99.9 ms\trefused p99 ms\t")
	for _, k := range r.Kinds {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.2f\t%d\t%d\t%d\t%d\t%.3f\t%.1f\t%.1f\t%.1f\t%.1f\t\n",
			k.Kind, k.Rank, k.Asked, percent(k.Correct, k.Asked), k.Late, k.NotRun, k.Unknown, k.Wrong,
			float64(k.Tries)/float64(max(1, k.Asked)), k.Latency.P50, k.Latency.P99, k.Latency.P999, k.Refusals.P99)
	}
	fmt.Fprintln(t, "\nupstream\tcapacity/s\tgoodput %\tutilization %\tunevenness %\tpeak/slots\tshed\tsent\tconnections\tprobes\t")
	for _, u := range r.Upstreams {
		fmt.Fprintf(t, "%s\t%.0f\t%.1f\t%.1f\t%.1f\t%.2f\t%d\t%d\t%d\t%d\t\n",
			u.Name, u.Capacity, 100*u.Goodput, 100*u.Utilization, 100*u.Unevenness, u.PeakOverSlots, u.Shed, u.Sent, u.ConnectionsOpened, u.Probes)
	}
	flush(t)
	for _, g := range r.Regions {
		fmt.Fprintf(out, "region %s: peak %d in flight\n", g.Name, g.Peak)
	}
	fmt.Fprintf(out, "look-ups %d (%d failed), p50 %.2f ms, p99 %.2f ms; generator late by p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms\n",
		r.Lookups.Asked, r.Lookups.Failed, r.Lookups.Latency.P50, r.Lookups.Latency.P99, r.Lateness.P50, r.Lateness.P99, r.Lateness.P999)
}

func flush(w *tabwriter.Writer) {
	// Writing to the terminal is all it can fail at.
	_ = w.Flush()
}

func percent(n, of int) float64 {
	return 100 * float64(n) / float64(max(1, of))
}
