package quarantine

import (
	"slices"
	"time"
)

const (
	// maxTrials bounds the trials of a blocked request, and maxSoftwareTrials those of other
	// software than crashed under it. Clients' retries beyond the third crash are bounded by
	// three in all.
	maxTrials         = 3
	maxSoftwareTrials = 2
	// trialTime is how long the outcome of a trial may take to be known to all hosts.
	trialTime = 10 * time.Second
	// crashTold is the time in which all hosts learn of a crash, and crashesTold that in which
	// they learn of all of several crashes at different moments, however late some are.
	crashTold   = time.Second
	crashesTold = 2500 * time.Millisecond
	// trialPoll is when a client may come back that met a trial in progress.
	trialPoll = time.Second
	// momentLength is the longest time between crashes that count as simultaneous.
	momentLength = 200 * time.Millisecond
)

// retrialPauses holds the pause after each trial until the next one of the software that crashed.
// The last trial is kept for other software for longer.
var retrialPauses = [maxTrials - 1]time.Duration{trialTime, 10 * trialTime}

// Block is what a blocked request may still be sent to. It is a snapshot.
type Block struct {
	// crashed holds the software that crashed under the request. Any software may have
	// if unknown is true.
	crashed map[string]bool
	unknown bool
	// incarnations holds the incarnations of endpoints that crashed under it.
	incarnations map[string]bool
	// completed holds the software that has completed a run since.
	completed map[string]bool
	// trial is true if a trial of other software may begin, and retrial if one of the
	// software that crashed may.
	trial   bool
	retrial bool
	// Trials is the number of trials so far.
	Trials int
	// RetryAt is when the request may be tried again, or expires.
	RetryAt time.Time
}

// Block returns the block of a request that came at now, or nil if it is not blocked.
func (l *List) Block(f Fingerprint, now time.Time) *Block {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[f]
	if e == nil || !e.isBlocked() {
		return nil
	}
	now = l.tick(now)
	if l.refresh(f, e, now); !e.isBlocked() {
		return nil
	}
	e.seenAt = later(e.seenAt, now)
	return e.block(now)
}

func (e *entry) block(now time.Time) *Block {
	b := &Block{
		crashed:      map[string]bool{},
		incarnations: map[string]bool{},
		completed:    map[string]bool{},
		trial:        len(e.trials) < maxSoftwareTrials && len(e.trials)+len(e.retrials) < maxTrials,
		Trials:       len(e.trials) + len(e.retrials),
	}
	for n, c := range e.crashes {
		b.incarnations[n] = true
		if _, counts := e.counted[n]; counts {
			b.crashed[c.Software] = true
		}
	}
	for s := range e.completedAt {
		b.completed[s] = true
	}
	for n, x := range e.runs {
		if !e.lastAt(n, now).IsZero() {
			b.completed[x.software] = true
		}
	}
	b.trial = b.trial && !now.Before(e.nextSoftwareTrial())
	b.unknown = b.crashed[""]
	next := e.nextRetrial()
	switch {
	case next.IsZero() || b.unknown:
		b.RetryAt = now.Add(Memory)
	case now.Before(next):
		b.RetryAt = next
	default:
		b.RetryAt = now.Add(trialPoll)
		b.retrial = true
	}
	if now.Sub(e.lastTrial()) < trialTime {
		b.RetryAt = now.Add(trialPoll)
	}
	return b
}

// nextSoftwareTrial returns when other software may be tried. What crashed or completed since has
// ended its trial, but was told to all hosts only some time after.
func (e *entry) nextSoftwareTrial() time.Time {
	next := time.Time{}
	for _, t := range e.trials {
		next = later(next, t.Add(trialTime))
	}
	for n, t := range e.retrials {
		if c, crashed := e.crashes[n]; crashed {
			next = later(next, c.At.Add(crashTold))
		} else {
			next = later(next, t.Add(trialTime))
		}
	}
	return next
}

// lastTrial returns when the last trial began, or zero.
func (e *entry) lastTrial() time.Time {
	t := time.Time{}
	for _, m := range []map[string]time.Time{e.trials, e.retrials} {
		for _, x := range m {
			t = later(t, x)
		}
	}
	return t
}

// nextRetrial returns when the software that crashed may be tried again, or zero if there were
// enough trials. Crashes at one moment mostly have one cause, such as the loss of an availability
// zone, so that a trial follows at once.
func (e *entry) nextRetrial() time.Time {
	n := len(e.trials) + len(e.retrials)
	switch {
	case n >= maxTrials:
		return time.Time{}
	case n > 0:
		return e.lastTrial().Add(retrialPauses[n-1])
	}
	first, last := e.crashSpan()
	if last.Sub(first) <= momentLength {
		return last
	}
	return last.Add(crashesTold)
}

// crashSpan returns when the first and the last of the crashes came.
func (e *entry) crashSpan() (first, last time.Time) {
	for _, c := range e.counted {
		if first.IsZero() || c.At.Before(first) {
			first = c.At
		}
		last = later(last, c.At)
	}
	return first, last
}

// Allows reports whether the request may be sent to all endpoints of some software: a run has
// completed there, and none of them crashed since.
func (b *Block) Allows(software string) bool {
	return b.isOther(software) && b.completed[software]
}

// Tries reports whether the request may be sent to one endpoint of some software as a trial.
func (b *Block) Tries(software string) bool {
	return b.isOther(software) && !b.completed[software] && b.trial
}

// TriesAgain reports whether the request may be sent to one endpoint of software that crashed as
// a trial. While software is known that runs it, or may, no other is tried.
func (b *Block) TriesAgain(software string) bool {
	return b.crashed[software] && b.retrial
}

// Crashed reports whether an incarnation of an endpoint crashed under the request, so that it is
// down although it may still be listed.
func (b *Block) Crashed(incarnation string) bool {
	return b.incarnations[incarnation]
}

// isOther reports whether it is certain that some software is none that crashed.
func (b *Block) isOther(software string) bool {
	return software != "" && !b.unknown && !b.crashed[software]
}

// BeginTrial reports whether a blocked request may be sent to an incarnation of an endpoint as
// a trial of its software, and records that it is.
func (l *List) BeginTrial(f Fingerprint, incarnation, software string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[f]
	if e == nil || !e.isBlocked() || !e.block(now).Tries(software) || l.isTrying(f, incarnation, now) {
		return false
	}
	e.trials[incarnation] = now
	e.change(now)
	l.logTrial(f, e, incarnation, software)
	return true
}

// BeginRetrial is BeginTrial for software that crashed.
func (l *List) BeginRetrial(f Fingerprint, incarnation, software string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[f]
	if e == nil || !e.isBlocked() || !e.block(now).TriesAgain(software) || l.isTrying(f, incarnation, now) {
		return false
	}
	e.retrials[incarnation] = now
	e.change(now)
	l.logTrial(f, e, incarnation, software)
	return true
}

// triedAt reports whether the request was blocked and tried at an incarnation at a time or shortly
// before.
func (e *entry) triedAt(incarnation string, at time.Time) bool {
	t := later(e.trials[incarnation], e.retrials[incarnation])
	return e.isBlocked() && at.Sub(t) < trialTime
}

// survivedTrial reports whether an incarnation has completed a run since it tried the request, and
// lives on.
func (e *entry) survivedTrial(incarnation string, now time.Time) bool {
	began := later(e.trials[incarnation], e.retrials[incarnation])
	x := e.runs[incarnation]
	return x != nil && slices.ContainsFunc(x.at, func(t time.Time) bool {
		return t.After(began) && now.Sub(t) >= trialSettle
	})
}

// isTrying reports whether an incarnation tries another request, which would make the outcomes of
// both doubtful. The caller holds mu.
func (l *List) isTrying(f Fingerprint, incarnation string, now time.Time) bool {
	for g, e := range l.entries {
		if g != f && e.triedAt(incarnation, now) && !e.survivedTrial(incarnation, now) {
			return true
		}
	}
	return false
}

func (l *List) logTrial(f Fingerprint, e *entry, incarnation, software string) {
	l.log("quarantine", "fingerprint", f, "state", "trial", "crashes", len(e.counted), "software", software,
		"incarnation", incarnation, "trials", len(e.trials)+len(e.retrials))
}
