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
	// maxEntries bounds the requests that are remembered, and maxCrashes the crashes
	// that are remembered of each.
	maxEntries = 256
	maxCrashes = 8
	// maxIncarnationBytes is the longest name of an endpoint's incarnation that is
	// taken from another host.
	maxIncarnationBytes = 128
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

// entry is what is known of a request.
type entry struct {
	// crashes holds when each incarnation of an endpoint crashed that had the request
	// in flight. All are after completedAt.
	crashes map[string]time.Time
	// completedAt is when a run of the request last completed, or zero.
	completedAt time.Time
	// seenAt is when the request last came or crashed an endpoint.
	seenAt time.Time
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

// RecordCrash records that an incarnation of an endpoint crashed at a time with the
// requests in flight.
func (l *List) RecordCrash(incarnation string, requests []Fingerprint, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range requests {
		l.addCrash(f, incarnation, at)
	}
}

// addCrash adds a crash to the entry of a request. The caller holds mu.
func (l *List) addCrash(f Fingerprint, incarnation string, at time.Time) {
	e := l.entry(f)
	if !at.After(e.completedAt) {
		return
	}
	if _, known := e.crashes[incarnation]; known || len(e.crashes) >= maxCrashes {
		return
	}
	e.crashes[incarnation] = at
	e.seenAt = later(e.seenAt, at)
	if len(e.crashes) == BlockAfter {
		l.log("quarantine", "fingerprint", f, "state", "blocked", "crashes", len(e.crashes))
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
		e = &entry{
			crashes: map[string]time.Time{},
		}
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

// RecordRun records that a run of a request completed. That clears it of all crashes
// before. Requests that are not on the list are ignored.
func (l *List) RecordRun(f Fingerprint, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[f]; e != nil {
		l.clear(f, e, at)
	}
}

// clear drops the crashes of an entry up to a completed run. The caller holds mu.
func (l *List) clear(f Fingerprint, e *entry, at time.Time) {
	blocked := len(e.crashes) >= BlockAfter
	e.completedAt = later(e.completedAt, at)
	for n, t := range e.crashes {
		if !t.After(e.completedAt) {
			delete(e.crashes, n)
		}
	}
	if blocked && len(e.crashes) < BlockAfter {
		l.log("quarantine", "fingerprint", f, "state", "cleared", "crashes", len(e.crashes))
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

// Blocks reports whether a request that came at now must not be sent.
func (l *List) Blocks(f Fingerprint, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[f]
	if e == nil || len(e.crashes) < BlockAfter {
		return false
	}
	e.seenAt = later(e.seenAt, now)
	return true
}

// Expire drops the requests that did not come for Memory.
func (l *List) Expire(now time.Time) {
	if l.Empty() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for f, e := range l.entries {
		if now.Sub(later(e.seenAt, e.completedAt)) > Memory {
			if len(e.crashes) >= BlockAfter {
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
