package quarantine

import (
	"bytes"
	"slices"
	"time"
)

// Report is what a host knows of a request on its list. It holds ages instead of times,
// since hosts' clocks differ.
type Report struct {
	Request Fingerprint `json:"request"`
	// Crashes holds the age of the crash of each incarnation of an endpoint.
	Crashes map[string]time.Duration `json:"crashes,omitempty"`
	// Software holds the software of each incarnation in Crashes whose software is known.
	Software map[string]string `json:"software,omitempty"`
	// Runs holds the age of the last completed run of each software.
	Runs map[string]time.Duration `json:"runs,omitempty"`
	// CompletedAge is the age of the last completed run that clears the request of all
	// crashes before, or nil. It counts if Runs is empty, as in reports of hosts that tell
	// no software apart.
	CompletedAge *time.Duration `json:"completed_age,omitempty"`
	// Trials holds the age of the trial at each incarnation.
	Trials map[string]time.Duration `json:"trials,omitempty"`
	// Retrials holds the age of the trial at each incarnation of software that crashed.
	Retrials map[string]time.Duration `json:"retrials,omitempty"`
	// SeenAge is how long ago the request last came or crashed an endpoint.
	SeenAge time.Duration `json:"seen_age"`
}

// Reports returns at most n reports, the next ones in each round if there are more. With
// n of 0 it returns all.
func (l *List) Reports(n, round int, now time.Time) []Report {
	if l.Empty() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := make([]Fingerprint, 0, len(l.entries))
	for f := range l.entries {
		keys = append(keys, f)
	}
	slices.SortFunc(keys, func(a, b Fingerprint) int {
		return bytes.Compare(a[:], b[:])
	})
	first := 0
	if n == 0 || n >= len(keys) {
		n = len(keys)
	} else {
		first = round * n
	}
	s := make([]Report, 0, n)
	for i := range n {
		f := keys[(first+i)%len(keys)]
		s = append(s, l.entries[f].report(f, now))
	}
	return s
}

func (e *entry) report(f Fingerprint, now time.Time) Report {
	r := Report{
		Request:  f,
		Crashes:  map[string]time.Duration{},
		Software: map[string]string{},
		Runs:     agesOf(e.completedAt, now),
		Trials:   agesOf(e.trials, now),
		Retrials: agesOf(e.retrials, now),
		SeenAge:  now.Sub(e.seenAt),
	}
	for n, c := range e.crashes {
		r.Crashes[n] = now.Sub(c.At)
		if c.Software != "" {
			r.Software[n] = c.Software
		}
	}
	last := e.completedAt[""]
	if len(e.crashes) == 0 {
		last = e.lastRun("")
	}
	if !last.IsZero() {
		d := now.Sub(last)
		r.CompletedAge = &d
	}
	return r
}

func agesOf(m map[string]time.Time, now time.Time) map[string]time.Duration {
	s := map[string]time.Duration{}
	for n, t := range m {
		s[n] = now.Sub(t)
	}
	return s
}

// Merge merges the reports of another host. It ignores ages that are out of range.
func (l *List) Merge(s []Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range s {
		l.merge(&s[i], now)
	}
}

// merge merges one report. The caller holds mu.
func (l *List) merge(r *Report, now time.Time) {
	if !validAge(r.SeenAge) {
		return
	}
	// A request that is not on the list needs no word that it completed.
	if e := l.entries[r.Request]; e != nil {
		l.mergeRuns(r, e, now)
	}
	for n, d := range r.Crashes {
		if !validAge(d) || !validName(n) {
			continue
		}
		c := Crash{
			Incarnation: n,
			At:          now.Add(-d),
		}
		if validName(r.Software[n]) {
			c.Software = r.Software[n]
		}
		l.addCrash(r.Request, c)
	}
	if e := l.entries[r.Request]; e != nil {
		e.seenAt = later(e.seenAt, now.Add(-r.SeenAge))
		e.mergeTrials(e.trials, r.Trials, now)
		e.mergeTrials(e.retrials, r.Retrials, now)
	}
}

// mergeRuns merges the completed runs of a report into an entry. The caller holds mu.
func (l *List) mergeRuns(r *Report, e *entry, now time.Time) {
	runs := r.Runs
	if d := r.CompletedAge; d != nil && len(runs) == 0 {
		runs = map[string]time.Duration{
			"": *d,
		}
	}
	for s, d := range runs {
		if validAge(d) && len(s) <= maxNameBytes {
			l.clear(r.Request, e, s, now.Add(-d))
		}
	}
}

// mergeTrials merges the trials of a report into those of an entry.
func (e *entry) mergeTrials(known map[string]time.Time, told map[string]time.Duration, now time.Time) {
	for n, d := range told {
		t := now.Add(-d)
		if _, ok := known[n]; !ok && validAge(d) && validName(n) && len(known) < maxCrashes && t.After(e.clearedAt) {
			known[n] = t
		}
	}
}

func validName(n string) bool {
	return n != "" && len(n) <= maxNameBytes
}

// validAge reports whether an age is one of something that is remembered.
func validAge(d time.Duration) bool {
	return d >= 0 && d <= Memory
}
