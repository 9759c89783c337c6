package quarantine

import (
	"bytes"
	"cmp"
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
	// Runs holds the age of the last completed run of each software that no crash can take back.
	Runs map[string]time.Duration `json:"runs,omitempty"`
	// RecentRuns holds the runs at each incarnation that a crash could still take back. Hosts of
	// earlier builds do not know it and learn of these runs once they are in Runs.
	RecentRuns map[string]RunReport `json:"recent_runs,omitempty"`
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

// RunReport is what a host knows of the completed runs at an incarnation.
type RunReport struct {
	// Ages are the ages of runs, the oldest first.
	Ages     []time.Duration `json:"ages"`
	Software string          `json:"software,omitempty"`
}

// Audience is a group of hosts that get the same heartbeats.
type Audience int

// The audiences of heartbeats.
const (
	ToZone Audience = iota
	ToOthers
	numAudiences
)

const (
	// maxTold is how often a request is told that is not blocked. Hosts that learn of it tell
	// others.
	maxTold = 3
	// notTold is the importance of what need not be told.
	notTold = -1
)

// Reports returns at most n reports: what matters more and was told less goes first. They count
// as told to the audience. With n of 0 it returns all reports, which do not count.
func (l *List) Reports(n int, to Audience, now time.Time) []Report {
	if l.Empty() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := []Report{}
	for _, f := range l.inOrder(n, to) {
		e := l.entries[f]
		if n > 0 {
			e.told[to]++
		}
		s = append(s, e.report(f, now))
	}
	return s
}

// inOrder returns the first n requests to tell an audience, or all with n of 0. The caller holds
// mu.
func (l *List) inOrder(n int, to Audience) []Fingerprint {
	keys := make([]Fingerprint, 0, len(l.entries))
	for f, e := range l.entries {
		if n == 0 || e.importance(to) != notTold {
			keys = append(keys, f)
		}
	}
	slices.SortFunc(keys, func(a, b Fingerprint) int {
		x, y := l.entries[a], l.entries[b]
		return cmp.Or(
			cmp.Compare(x.told[to]-x.importance(to), y.told[to]-y.importance(to)),
			cmp.Compare(y.importance(to), x.importance(to)),
			y.changedAt.Compare(x.changedAt),
			bytes.Compare(a[:], b[:]),
		)
	})
	if n == 0 {
		return keys
	}
	return keys[:min(n, len(keys))]
}

// importance returns how much more often the request is told than one that was in flight at a
// single crash, or notTold.
func (e *entry) importance(to Audience) int {
	const blocked, suspected = 3, 1
	switch {
	case e.isBlocked():
		return blocked
	case e.told[to] >= maxTold, e.most < 2 && len(e.counted) == 0:
		return notTold
	case e.most >= BlockAfter:
		// That a block has ended matters as much as the block.
		return blocked
	case e.most > 1:
		return suspected
	default:
		return 0
	}
}

// change marks the entry as changed, so that it is told anew.
func (e *entry) change(now time.Time) {
	e.changedAt = later(e.changedAt, now)
	e.told = [numAudiences]int{}
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

		RecentRuns: map[string]RunReport{},
	}
	for n, x := range e.runs {
		r.RecentRuns[n] = RunReport{
			Ages:     agesOfTimes(x.at, now),
			Software: x.software,
		}
	}
	for n, c := range e.counted {
		r.Crashes[n] = now.Sub(c.At)
		if c.Software != "" {
			r.Software[n] = c.Software
		}
	}
	last := e.completedAt[""]
	if len(e.counted) == 0 {
		for _, t := range e.completedAt {
			last = later(last, t)
		}
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

func agesOfTimes(s []time.Time, now time.Time) []time.Duration {
	d := []time.Duration{}
	for _, t := range s {
		d = append(d, now.Sub(t))
	}
	return d
}

// Merge merges the reports of another host. It ignores ages that are out of range.
func (l *List) Merge(s []Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tick(now)
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
			l.addEarlierRun(r.Request, e, s, now.Add(-d))
		}
	}
	for n, x := range r.RecentRuns {
		for _, d := range x.Ages[:min(maxRunTimes, len(x.Ages))] {
			if validAge(d) && validName(n) {
				l.addRun(r.Request, e, Run{
					Incarnation: n,
					Software:    x.Software,
					At:          now.Add(-d),
				})
			}
		}
	}
}

// mergeTrials merges the trials of a report into those of an entry.
func (e *entry) mergeTrials(known map[string]time.Time, told map[string]time.Duration, now time.Time) {
	for n, d := range told {
		t := now.Add(-d)
		if _, ok := known[n]; !ok && validAge(d) && validName(n) && len(known) < maxCrashes && t.After(e.clearedAt) {
			known[n] = t
			e.change(t)
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
