package main

import (
	"fmt"
	"net/http"
	"sort"
	"time"

	coredrain "heatherford/core/drain"
	"heatherford/core/intent"
	"heatherford/io/operator"
)

const (
	// drainPoll is how often drain -wait looks.
	drainPoll = 200 * time.Millisecond
	// defaultDrainWait is how long it looks.
	defaultDrainWait = 2 * time.Minute
)

func drain(e *environment, args []string) error {
	f, t := newFlags(e, "drain")
	x := newSubject(f.String)
	o := newOutcome(f)
	wait := f.Bool("wait", false, "confirm the plan at once and wait for the end of the drain")
	limit := f.Duration("wait-for", defaultDrainWait, "the longest `time` to wait")
	if err := parse(f, args); err != nil {
		return err
	}
	*o.yes = *o.yes || *wait
	if err := x.plan(e, t, o, true); err != nil || !*wait {
		return err
	}
	return x.await(e, t, time.Now().Add(*limit))
}

func undrain(e *environment, args []string) error {
	f, t := newFlags(e, "undrain")
	x := newSubject(f.String)
	o := newOutcome(f)
	if err := parse(f, args); err != nil {
		return err
	}
	return x.plan(e, t, o, false)
}

func rollback(e *environment, args []string) error {
	f, t := newFlags(e, "rollback")
	to := f.Uint64("to", 0, "the `version` to go back to")
	o := newOutcome(f)
	if err := parse(f, args); err != nil {
		return err
	}
	if *to == 0 {
		return wrongUsage("rollback: expected -to VERSION")
	}
	p := operator.Plan{}
	if err := t.send("/v1/plan/rollback", operator.Rollback{
		Version: *to,
	}, &p); err != nil {
		return err
	}
	return o.finish(e, t, p)
}

// subject is what a drain concerns.
type subject struct {
	endpoint  *string
	entryHost *string
}

func newSubject(stringFlag func(name, value, usage string) *string) *subject {
	return &subject{
		endpoint:  stringFlag("endpoint", "", "`name` of the endpoint"),
		entryHost: stringFlag("entry-host", "", "`name` of the entry host"),
	}
}

func (x *subject) edit(leaving bool) (intent.Edit, error) {
	switch {
	case *x.endpoint != "" && *x.entryHost == "":
		return intent.Edit{
			Kind:    intent.EditEndpoint,
			Name:    *x.endpoint,
			Leaving: leaving,
		}, nil
	case *x.endpoint == "" && *x.entryHost != "":
		return intent.Edit{
			Kind:    intent.EditHost,
			Name:    *x.entryHost,
			Leaving: leaving,
		}, nil
	default:
		return intent.Edit{}, wrongUsage("expected one of -endpoint and -entry-host")
	}
}

func (x *subject) plan(e *environment, t *target, o *outcome, leaving bool) error {
	d, err := x.edit(leaving)
	if err != nil {
		return err
	}
	p := operator.Plan{}
	if err := t.send("/v1/plan/edit", d, &p); err != nil {
		return err
	}
	return o.finish(e, t, p)
}

// await waits until no host has a request in flight at the subject.
func (x *subject) await(e *environment, t *target, end time.Time) error {
	for time.Now().Before(end) {
		a := operator.Status{}
		if err := t.call(http.MethodGet, "/v1/status", nil, &a); err != nil {
			return err
		}
		for _, d := range drains(a) {
			if d.Name != *x.endpoint && d.Name != *x.entryHost || !d.done() || a.Behind > 0 {
				continue
			}
			if *t.asJSON {
				return printJSON(e.stdout, d)
			}
			fmt.Fprintln(e.stdout, d.text())
			return nil
		}
		time.Sleep(drainPoll)
	}
	return fmt.Errorf("heatherford: the drain has not ended in time")
}

// drained is a drain as all hosts together see it.
type drained struct {
	coredrain.Subject
	Source string `json:"source"`
	// InFlight is the number of requests that the subject still works on.
	InFlight int `json:"in_flight"`
	// TookMS is how many milliseconds the drain took, at the host where it
	// took longest.
	TookMS int64 `json:"took_ms"`
	// Open is the number of hosts at which the drain goes on.
	Open int `json:"open"`
}

func (d drained) done() bool {
	return d.Open == 0
}

func (d drained) text() string {
	if !d.done() {
		return fmt.Sprintf("%s %s is leaving by %s: %d requests in flight at %d hosts", d.Kind, d.Name, d.Source, d.InFlight, d.Open)
	}
	return fmt.Sprintf("%s %s is leaving by %s: drained in %v", d.Kind, d.Name, d.Source, time.Duration(d.TookMS)*time.Millisecond)
}

// drains sums the drains of all hosts' reports, ordered by name.
func drains(a operator.Status) []drained {
	m := map[coredrain.Subject]*drained{}
	add := func(s []coredrain.Progress) {
		for _, p := range s {
			d := m[p.Subject]
			if d == nil {
				d = &drained{
					Subject: p.Subject,
					Source:  p.Source,
				}
				m[p.Subject] = d
			}
			d.InFlight += p.InFlight
			if p.IdleAt.IsZero() {
				d.Open++
				continue
			}
			d.TookMS = max(d.TookMS, p.IdleAt.Sub(p.Since).Milliseconds())
		}
	}
	add(a.Drains)
	for _, h := range a.Others {
		if h.Report != nil {
			add(h.Report.Drains)
		}
	}
	s := []drained{}
	for _, d := range m {
		s = append(s, *d)
	}
	sort.Slice(s, func(i, j int) bool {
		return s[i].Name < s[j].Name
	})
	return s
}
