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
	// CompletedAge is the age of the last completed run, or nil.
	CompletedAge *time.Duration `json:"completed_age,omitempty"`
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
		Request: f,
		Crashes: map[string]time.Duration{},
		SeenAge: now.Sub(e.seenAt),
	}
	for n, t := range e.crashes {
		r.Crashes[n] = now.Sub(t)
	}
	if !e.completedAt.IsZero() {
		d := now.Sub(e.completedAt)
		r.CompletedAge = &d
	}
	return r
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
	if d := r.CompletedAge; d != nil && validAge(*d) {
		// A request that is not on the list needs no word that it completed.
		if e := l.entries[r.Request]; e != nil {
			l.clear(r.Request, e, now.Add(-*d))
		}
	}
	for n, d := range r.Crashes {
		if validAge(d) && n != "" && len(n) <= maxIncarnationBytes {
			l.addCrash(r.Request, n, now.Add(-d))
		}
	}
	if e := l.entries[r.Request]; e != nil {
		e.seenAt = later(e.seenAt, now.Add(-r.SeenAge))
	}
}

// validAge reports whether an age is one of something that is remembered.
func validAge(d time.Duration) bool {
	return d >= 0 && d <= Memory
}
