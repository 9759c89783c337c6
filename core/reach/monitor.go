package reach

import (
	"sync"
	"time"
)

const (
	// Silence is how long a request may wait for its answer, while no endpoint answers
	// any other, before the host suspects that it is cut off.
	Silence = 400 * time.Millisecond
	// roundInterval is the least time between two rounds of probes, but for the one that
	// confirms a failed one. It bounds the probes on days on which endpoints fail.
	roundInterval = 500 * time.Millisecond
	// isolatingRounds is the number of rounds in a row that have to fail before a host
	// counts as cut off: in a flood many endpoints reset new connections.
	isolatingRounds = 2
	// minProbes is the number of endpoints that a round has to try before it can show
	// that the host is cut off.
	minProbes = 2
	// returnTime is how long the rounds of a host that is cut off have to succeed until
	// it counts as back. It doubles with each further cut, up to maxReturnTime, so that
	// endpoints do not change their owners at each turn of a link that comes and goes.
	returnTime    = 400 * time.Millisecond
	maxReturnTime = 4 * time.Second
	// cutMemory is how long a cut counts for the next one's return time.
	cutMemory = 30 * time.Second
)

// Monitor is what a host knows of its own way to the endpoints. It is safe for concurrent
// use.
type Monitor struct {
	mu sync.Mutex
	// lastAnswer is when an endpoint last answered a request, and lastFailure when a
	// connection to one last failed.
	lastAnswer  time.Time
	lastFailure time.Time
	// probing is true during a round, and nextRound the earliest time of the next one.
	probing   bool
	nextRound time.Time
	// checkedAt is when the last round began.
	checkedAt time.Time
	// failedRounds is the number of rounds in a row in which no endpoint accepted.
	failedRounds int
	// isolatedSince is when the host was found to be cut off, or zero.
	isolatedSince time.Time
	// backSince is since when all rounds of a host that is cut off have succeeded, or
	// zero.
	backSince time.Time
	// returnTime is how long that has to last.
	returnTime time.Duration
	// returnedAt is when the last cut ended, or zero.
	returnedAt time.Time
}

// RecordAnswer records that an endpoint answered a request.
func (m *Monitor) RecordAnswer(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastAnswer = now
}

// RecordFailure records that a connection to an endpoint could not be opened, or broke.
func (m *Monitor) RecordFailure(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastFailure = now
}

// LastAnswer returns when an endpoint last answered a request, or zero.
func (m *Monitor) LastAnswer() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastAnswer
}

// IsolatedSince returns since when the host reaches no endpoint, or zero if it does.
func (m *Monitor) IsolatedSince() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isolatedSince
}

// Begin reports whether a round of probes is due, and begins it; EndRound ends it. The
// oldest request without an answer was sent at waitingSince, or none if that is zero.
func (m *Monitor) Begin(waitingSince, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	due := m.isIsolated() || m.failedRounds > 0 || m.suspects(waitingSince, now)
	if m.probing || now.Before(m.nextRound) || !due {
		return false
	}
	m.probing = true
	m.checkedAt = now
	m.nextRound = now.Add(roundInterval)
	return true
}

func (m *Monitor) isIsolated() bool {
	return !m.isolatedSince.IsZero()
}

// suspects reports whether the host may be cut off: a connection has failed since the last
// round, whether or not older ones still carry answers, or no endpoint answers.
func (m *Monitor) suspects(waitingSince, now time.Time) bool {
	if m.lastFailure.After(m.checkedAt) {
		return true
	}
	return !waitingSince.IsZero() && now.Sub(waitingSince) > Silence && now.Sub(m.lastAnswer) > Silence
}

// EndRound ends a round in which so many endpoints were probed, of which some accepted a
// connection. It reports whether that changed what IsolatedSince returns. A round of too few
// probes shows nothing.
func (m *Monitor) EndRound(probed, accepted int, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.probing = false
	failed := accepted == 0
	switch {
	case failed && probed < minProbes:
		return false
	case m.isIsolated() && failed:
		m.backSince = time.Time{}
		return false
	case m.isIsolated():
		return m.recordReturn(now)
	case failed:
		return m.recordFailedRound(now)
	default:
		m.failedRounds = 0
		return false
	}
}

// recordFailedRound takes in a round in which no endpoint accepted, and reports whether the
// host counts as cut off now. The first one is confirmed at once.
func (m *Monitor) recordFailedRound(now time.Time) bool {
	m.failedRounds++
	if m.failedRounds < isolatingRounds {
		m.nextRound = now
		return false
	}
	m.failedRounds = 0
	m.isolate(now)
	return true
}

func (m *Monitor) isolate(now time.Time) {
	m.isolatedSince = now
	m.backSince = time.Time{}
	if m.returnedAt.IsZero() || now.Sub(m.returnedAt) > cutMemory {
		m.returnTime = returnTime
		return
	}
	m.returnTime = min(maxReturnTime, 2*m.returnTime)
}

// recordReturn takes in a round that succeeded and reports whether the cut has ended.
func (m *Monitor) recordReturn(now time.Time) bool {
	if m.backSince.IsZero() {
		m.backSince = now
	}
	if now.Sub(m.backSince) < m.returnTime {
		return false
	}
	m.isolatedSince = time.Time{}
	m.returnedAt = now
	return true
}
