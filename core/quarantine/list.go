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
	// maxEntries bounds the requests that are remembered, maxCrashes the crashes, and
	// maxSoftware the software with completed runs, that are remembered of each.
	maxEntries  = 1024
	maxCrashes  = 8
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
}

// Crash is the crash of an incarnation of an endpoint.
type Crash struct {
	Incarnation string
	// Software names the upstream and the version of its software, or is empty if that is
	// not known.
	Software string
	At       time.Time
}

// entry is what is known of a request.
type entry struct {
	// crashes holds, by incarnation, the crashes that had the request in flight. All are
	// after the last completed run of their software.
	crashes map[string]Crash
	// completedAt is when a run of the request last completed, by software. The empty
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
		completedAt: map[string]time.Time{},
		trials:      map[string]time.Time{},
		retrials:    map[string]time.Time{},
	}
}

// isBlocked reports whether the request must not be sent to endpoints whose software crashed.
func (e *entry) isBlocked() bool {
	return len(e.crashes) >= BlockAfter
}

// lastRun returns when a run of the request last completed that shows that an earlier crash
// of the software had another cause, or zero.
func (e *entry) lastRun(software string) time.Time {
	if software != "" {
		return later(e.completedAt[software], e.completedAt[""])
	}
	t := time.Time{}
	for _, x := range e.completedAt {
		t = later(t, x)
	}
	return t
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

// RecordCrash records a crash of an endpoint with the requests in flight.
func (l *List) RecordCrash(c Crash, requests []Fingerprint) {
	if len(c.Software) > maxNameBytes {
		c.Software = ""
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range requests {
		l.addCrash(f, c)
	}
}

// addCrash adds a crash to the entry of a request. The caller holds mu.
func (l *List) addCrash(f Fingerprint, c Crash) {
	e := l.entry(f)
	if !c.At.After(e.lastRun(c.Software)) {
		return
	}
	if _, known := e.crashes[c.Incarnation]; known || len(e.crashes) >= maxCrashes {
		return
	}
	if len(e.crashes) == 0 {
		e.most = 0
	}
	e.crashes[c.Incarnation] = c
	e.most = max(e.most, len(e.crashes))
	e.change(c.At)
	e.seenAt = later(e.seenAt, c.At)
	if len(e.crashes) >= BlockAfter {
		l.log("quarantine", "fingerprint", f, "state", "blocked", "crashes", len(e.crashes), "software", c.Software)
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
		if w == nil || len(e.crashes) < len(w.crashes) || (len(e.crashes) == len(w.crashes) && e.seenAt.Before(w.seenAt)) {
			worst, w = f, e
		}
	}
	delete(l.entries, worst)
}

// RecordRun records that a run of a request completed on some software. That clears it of all
// crashes of this software before. It reports whether the request was blocked and is not any more.
// Requests that are not on the list are ignored.
func (l *List) RecordRun(f Fingerprint, software string, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[f]
	if e == nil {
		return false
	}
	blocked := e.isBlocked()
	l.clear(f, e, software, at)
	return blocked && !e.isBlocked()
}

// clear drops the crashes of an entry up to a completed run of their software. The caller holds
// mu.
func (l *List) clear(f Fingerprint, e *entry, software string, at time.Time) {
	if _, known := e.completedAt[software]; !known && len(e.completedAt) >= maxSoftware {
		return
	}
	blocked := e.isBlocked()
	e.completedAt[software] = later(e.completedAt[software], at)
	for n, c := range e.crashes {
		if !c.At.After(e.lastRun(c.Software)) {
			delete(e.crashes, n)
			e.change(at)
		}
	}
	if blocked && !e.isBlocked() {
		// A request that crashes endpoints again is judged anew.
		e.clearedAt = later(e.clearedAt, at)
		e.dropTrials()
		l.log("quarantine", "fingerprint", f, "state", "cleared", "crashes", len(e.crashes), "software", software)
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

// Crashes returns the number of endpoints that crashed with a request in flight since its
// last completed run.
func (l *List) Crashes(f Fingerprint) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[f]; e != nil {
		return len(e.crashes)
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
	for f, e := range l.entries {
		if now.Sub(later(e.seenAt, e.lastRun(""))) > Memory {
			if e.isBlocked() {
				l.log("quarantine", "fingerprint", f, "state", "expired", "crashes", len(e.crashes))
			}
			delete(l.entries, f)
		}
	}
	l.size.Store(int32(len(l.entries)))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
