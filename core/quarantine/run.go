package quarantine

import (
	"slices"
	"time"
)

// RecordRun records a completed run of a request. That clears it of all crashes of this software
// before, unless the incarnation crashes right after; a blocked request is cleared only once it is
// known that it does not. It reports whether any crashes counted before, and whether the request
// was blocked. Requests that are not on the list are ignored.
func (l *List) RecordRun(f Fingerprint, r Run) (suspected, blocked bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[f]
	if e == nil {
		return false, false
	}
	suspected, blocked = len(e.counted) > 0, e.isBlocked()
	l.addRun(f, e, r)
	return suspected, blocked
}

// addRun adds a run to an entry. The caller holds mu.
func (l *List) addRun(f Fingerprint, e *entry, r Run) {
	if len(r.Software) > maxNameBytes {
		r.Software = ""
	}
	x := e.runs[r.Incarnation]
	if x != nil && !r.At.After(x.last()) {
		return
	}
	now := l.tick(r.At)
	l.refresh(f, e, now)
	// What is too old has been settled.
	x = e.runs[r.Incarnation]
	if x == nil {
		if len(e.runs) >= maxRuns {
			e.settleOldest(now)
		}
		x = &runsAt{
			software: r.Software,
		}
		e.runs[r.Incarnation] = x
	}
	x.add(r.At)
	if e.isBlocked() {
		e.change(now)
	}
	l.judge(f, e, now)
}

// addEarlierRun adds a run of which only the software is known to an entry. The caller holds mu.
func (l *List) addEarlierRun(f Fingerprint, e *entry, software string, at time.Time) {
	e.complete(software, at)
	l.judge(f, e, l.tick(at))
}

// runsAt is the runs of a request at an incarnation of an endpoint.
type runsAt struct {
	software string
	// at is when runs completed, in order. Of runs that lie close together some are left out, but
	// not the last one.
	at []time.Time
}

// add adds a run that is later than all others.
func (x *runsAt) add(t time.Time) {
	if n := len(x.at); n > 1 && x.at[n-1].Sub(x.at[n-2]) < runSettle/2 {
		x.at[n-1] = t
		return
	}
	x.at = append(x.at, t)
	x.at = slices.Delete(x.at, 0, max(0, len(x.at)-maxRunTimes))
}

// last returns when the last run completed.
func (x *runsAt) last() time.Time {
	return x.at[len(x.at)-1]
}

// survived reports whether an incarnation has not crashed within a time of a run.
func (e *entry) survived(incarnation string, run time.Time, settle time.Duration) bool {
	c, crashed := e.crashes[incarnation]
	return !crashed || c.At.Sub(run) >= settle
}

// lastAt returns when the last run at an incarnation completed that counts at a time, or zero. One
// of a blocked request counts only once it is known that its endpoint has survived it. One of a
// request that endpoints do not survive otherwise does not count right before a crash.
func (e *entry) lastAt(incarnation string, now time.Time) time.Time {
	settle, delay := time.Duration(0), time.Duration(0)
	switch {
	case e.isBlocked():
		settle, delay = trialSettle, unblockDelay
	case !e.hasSurvivedRun(now):
		settle = runSettle
	}
	for _, t := range slices.Backward(e.runs[incarnation].at) {
		if e.survived(incarnation, t, settle) && now.Sub(t) >= delay {
			return t
		}
	}
	return time.Time{}
}

// hasSurvivedRun reports whether an endpoint has survived a run lately, or there was no time for one
// yet. On a day of crashes most endpoints may crash soon after they have run an innocent request,
// but none survives one that crashes it behind its answer.
func (e *entry) hasSurvivedRun(now time.Time) bool {
	first := now
	for _, c := range e.crashes {
		first = earlier(first, c.At)
	}
	if now.Sub(first) < strictAfter {
		return true
	}
	for n, x := range e.runs {
		for _, t := range x.at {
			if d := now.Sub(t); d >= runSettle && d <= survivalMemory && e.survived(n, t, runSettle) {
				return true
			}
		}
	}
	return false
}

// lastRun returns when a run of the request last completed that shows that an earlier crash
// of the software had another cause, or zero. No software stands for any.
func (e *entry) lastRun(software string, now time.Time) time.Time {
	t := later(e.completedAt[software], e.completedAt[""])
	for s, x := range e.completedAt {
		if software == "" || s == software {
			t = later(t, x)
		}
	}
	for n, x := range e.runs {
		if software == "" || x.software == "" || x.software == software {
			t = later(t, e.lastAt(n, now))
		}
	}
	return t
}

// complete records a run that no crash can take back.
func (e *entry) complete(software string, at time.Time) {
	if _, known := e.completedAt[software]; known || len(e.completedAt) < maxSoftware {
		e.completedAt[software] = later(e.completedAt[software], at)
	}
}

// refresh judges the entry by what the time alone has changed. The caller holds mu.
func (l *List) refresh(f Fingerprint, e *entry, now time.Time) {
	if e.isBlocked() {
		l.judge(f, e, now)
	}
	e.settle(now)
}

// settle takes the runs for certain that are older than abandonedMemory.
func (e *entry) settle(now time.Time) {
	for n, x := range e.runs {
		if now.Sub(x.last()) > abandonedMemory {
			e.settleRuns(n, now)
		}
	}
}

// settleOldest takes the runs for certain of the incarnation that has run the request least lately.
func (e *entry) settleOldest(now time.Time) {
	oldest := ""
	for n, x := range e.runs {
		if oldest == "" || x.last().Before(e.runs[oldest].last()) {
			oldest = n
		}
	}
	e.settleRuns(oldest, now)
}

// settleRuns takes the runs at an incarnation for certain. If the request is not blocked since, it
// is judged anew when it crashes endpoints again.
func (e *entry) settleRuns(incarnation string, now time.Time) {
	t := e.lastAt(incarnation, now)
	software := e.runs[incarnation].software
	delete(e.runs, incarnation)
	if t.IsZero() {
		return
	}
	e.complete(software, t)
	if !e.isBlocked() {
		e.clearedAt = later(e.clearedAt, t)
		e.dropTrials()
	}
}

// dropTrials drops the trials that do not count any more.
func (e *entry) dropTrials() {
	for _, m := range []map[string]time.Time{e.trials, e.retrials} {
		for n, t := range m {
			if !t.After(e.clearedAt) {
				delete(m, n)
			}
		}
	}
}

// judge finds the crashes that count at a time. The caller holds mu.
func (l *List) judge(f Fingerprint, e *entry, now time.Time) {
	before := e.counted
	counted := map[string]Crash{}
	changed := false
	lastRuns := map[string]time.Time{}
	for n, c := range e.crashes {
		last, known := lastRuns[c.Software]
		if !known {
			last = e.lastRun(c.Software, now)
			lastRuns[c.Software] = last
		}
		if c.At.After(last) {
			counted[n] = c
			_, known := before[n]
			changed = changed || !known
		}
	}
	e.counted = counted
	if len(before) == 0 && len(counted) > 0 {
		e.most = 0
	}
	e.most = max(e.most, len(e.counted))
	if !changed && len(e.counted) == len(before) {
		return
	}
	e.change(now)
	switch blocked := len(before) >= BlockAfter; {
	case e.isBlocked() && len(e.counted) > len(before):
		l.logBlock(f, e, "blocked")
	case blocked && !e.isBlocked():
		l.logBlock(f, e, "cleared")
	}
}

// logBlock logs that a request is blocked, or no longer.
func (l *List) logBlock(f Fingerprint, e *entry, state string) {
	last, software := time.Time{}, ""
	for _, c := range e.crashes {
		if c.At.After(last) {
			last, software = c.At, c.Software
		}
	}
	l.log("quarantine", "fingerprint", f, "state", state, "crashes", len(e.counted), "software", software)
}

// makeRoom reports whether there is room for another crash, and drops the oldest one that does
// not count if need be.
func (e *entry) makeRoom() bool {
	if len(e.crashes) < maxCrashes {
		return true
	}
	oldest, at := "", time.Time{}
	for n, c := range e.crashes {
		if _, counts := e.counted[n]; !counts && (oldest == "" || c.At.Before(at)) {
			oldest, at = n, c.At
		}
	}
	delete(e.crashes, oldest)
	return oldest != ""
}
