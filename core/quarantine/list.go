package quarantine

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// BlockAfter is the number of endpoints that have to crash while a request is in
	// flight at each of them, without any completed run since, before it is blocked.
	BlockAfter = 3
	// Memory is how long a request is remembered after it last came or crashed an
	// endpoint.
	Memory = 10 * time.Minute
	// maxEntries bounds the requests that are remembered, maxCrashes the crashes, maxRuns the
	// incarnations and maxSoftware the software with completed runs, that are remembered of each,
	// and maxRunTimes the runs at an incarnation.
	maxEntries  = 1024
	maxCrashes  = 16
	maxRuns     = 8
	maxRunTimes = 8
	maxSoftware = 8
	// maxNameBytes is the longest name of an endpoint's incarnation or software that is
	// kept.
	maxNameBytes = 128
)

// List holds the requests that were in flight when endpoints crashed. It is safe for
// concurrent use.
type List struct {
	log func(kind string, pairs ...any)
	// size is the number of entries.
	size atomic.Int32

	mu      sync.Mutex
	entries map[Fingerprint]*entry
	// now is the newest time that the list was told.
	now time.Time
}

// Crash is the crash of an incarnation of an endpoint.
type Crash struct {
	Incarnation string
	// Software names the upstream and the version of its software, or is empty if that is
	// not known.
	Software string
	At       time.Time
}

// Run is a run of a request that an incarnation of an endpoint completed.
type Run struct {
	Incarnation string
	Software    string
	At          time.Time
}

// entry is what is known of a request.
type entry struct {
	// crashes holds, by incarnation, the crashes at which the request was present, and counted
	// those of them that are after the last completed run of their software.
	crashes map[string]Crash
	counted map[string]Crash
	// runs holds the runs at each incarnation that ran the request within abandonedMemory. One
	// right before the crash of its incarnation shows nothing, however late the crash is known.
	runs map[string]*runsAt
	// completedAt is when an earlier run of the request last completed, by software. The empty
	// name stands for software that is not known.
	completedAt map[string]time.Time
	// trials is when the request was sent to an incarnation of other software although it
	// was blocked, and retrials is the same for software that crashed.
	trials   map[string]time.Time
	retrials map[string]time.Time
	// clearedAt is when the run completed that last ended the block. Trials up to then do not
	// count.
	clearedAt time.Time
	// seenAt is when the request last came or crashed an endpoint.
	seenAt time.Time
	// most is the largest number of crashes since the last one that came after none.
	most int
	// changedAt is when the crashes or trials last changed, and told counts the heartbeats to
	// each audience since that had the request.
	changedAt time.Time
	told      [numAudiences]int
}

func newEntry() *entry {
	return &entry{
		crashes:     map[string]Crash{},
		counted:     map[string]Crash{},
		runs:        map[string]*runsAt{},
		completedAt: map[string]time.Time{},
		trials:      map[string]time.Time{},
		retrials:    map[string]time.Time{},
	}
}

// isBlocked reports whether the request must not be sent to endpoints whose software crashed.
func (e *entry) isBlocked() bool {
	return len(e.counted) >= BlockAfter
}

// New returns an empty list that logs which requests it blocks.
func New(log func(kind string, pairs ...any)) *List {
	return &List{
		log:     log,
		entries: map[Fingerprint]*entry{},
	}
}

// Empty reports whether the list holds no request. It costs less than to compute a
// fingerprint.
func (l *List) Empty() bool {
	return l.size.Load() == 0
}

// RecordCrash records a crash of an endpoint with the requests that it may have been at work on.
// Those that it was trying count, too.
func (l *List) RecordCrash(c Crash, requests []Fingerprint) {
	if len(c.Software) > maxNameBytes {
		c.Software = ""
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range requests {
		l.addCrash(f, c)
	}
	for f, e := range l.entries {
		if e.triedAt(c.Incarnation, c.At) {
			l.addCrash(f, c)
		}
	}
}

// addCrash adds a crash to the entry of a request. The caller holds mu.
func (l *List) addCrash(f Fingerprint, c Crash) {
	e := l.entry(f)
	now := l.tick(c.At)
	l.refresh(f, e, now)
	if _, known := e.crashes[c.Incarnation]; known || !e.makeRoom() {
		return
	}
	e.crashes[c.Incarnation] = c
	if l.judge(f, e, now); len(e.counted) > 0 {
		e.seenAt = later(e.seenAt, c.At)
	}
}

// entry returns the entry of a request, and makes it if there is none. The caller holds
// mu.
func (l *List) entry(f Fingerprint) *entry {
	e := l.entries[f]
	if e == nil {
		if len(l.entries) >= maxEntries {
			l.evict()
		}
		e = newEntry()
		l.entries[f] = e
		l.size.Store(int32(len(l.entries)))
	}
	return e
}

// evict drops the entry with the fewest crashes, of several the one that was not seen for
// longest. The caller holds mu.
func (l *List) evict() {
	worst := Fingerprint{}
	w := (*entry)(nil)
	for f, e := range l.entries {
		if w == nil || len(e.counted) < len(w.counted) || (len(e.counted) == len(w.counted) && e.seenAt.Before(w.seenAt)) {
			worst, w = f, e
		}
	}
	delete(l.entries, worst)
}

// Crashes returns the number of endpoints that crashed with a request in flight since its
// last completed run.
func (l *List) Crashes(f Fingerprint) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[f]; e != nil {
		return len(e.counted)
	}
	return 0
}

// Expire drops the requests that did not come for Memory.
func (l *List) Expire(now time.Time) {
	if l.Empty() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now = l.tick(now)
	for f, e := range l.entries {
		l.refresh(f, e, now)
		if now.Sub(later(e.seenAt, e.lastRun("", now))) > Memory {
			if e.isBlocked() {
				l.log("quarantine", "fingerprint", f, "state", "expired", "crashes", len(e.counted))
			}
			delete(l.entries, f)
		}
	}
	l.size.Store(int32(len(l.entries)))
}

// tick returns the newest time that the list was told, at which it judges. The caller holds mu.
func (l *List) tick(now time.Time) time.Time {
	l.now = later(l.now, now)
	return l.now
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
