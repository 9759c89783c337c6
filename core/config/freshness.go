package config

import (
	"sync"
	"time"
)

// maxCheckGap is the longest time between two calls of CheckPause that does not
// count as a pause of the process.
const maxCheckGap = time.Second

// Quorum is how many other hosts there are that can confirm the version instead
// of the table.
type Quorum struct {
	// Hosts and Zones are the numbers of other live hosts and of their
	// availability zones.
	Hosts int
	Zones int
}

// quorumHosts and quorumZones are the numbers of other hosts and of their zones
// that are enough to confirm the version. If there are fewer, all are needed.
const (
	quorumHosts = 3
	quorumZones = 2
)

// Freshness decides whether a host may serve with the version that it has. It may
// do so after it has compared the version with the table, or with several serving
// hosts in different availability zones. The comparison has to be later than the
// start of the process, the end of its last pause and the last time that it was
// cut off from the others. Freshness is safe for concurrent use.
type Freshness struct {
	mu sync.Mutex
	// resetAt is the start of the process, the end of its last pause or the last
	// call of Reset, whichever is latest.
	resetAt time.Time
	// compared is true once the version was compared after resetAt.
	compared bool
	// lastCheck is the time of the last call of CheckPause.
	lastCheck time.Time
	// zones maps the hosts that were asked after resetAt to their zones.
	zones map[string]string
}

// NewFreshness returns the state of a host that starts at the time now.
func NewFreshness(now time.Time) *Freshness {
	return &Freshness{
		resetAt:   now,
		lastCheck: now,
		zones:     map[string]string{},
	}
}

// CheckPause records that the process runs and reports whether it was paused
// since the last call. It is called several times a second.
func (f *Freshness) CheckPause(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	paused := now.Sub(f.lastCheck) > maxCheckGap
	if paused {
		f.resetLocked(now)
	}
	f.lastCheck = now
	return paused
}

// Reset records that the host may have missed versions until now.
func (f *Freshness) Reset(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resetLocked(now)
}

func (f *Freshness) resetLocked(now time.Time) {
	f.resetAt = now
	f.compared = false
	f.zones = map[string]string{}
}

// RecordTableRead records that the table was read from started on and that the
// host now has the version that was found.
func (f *Freshness) RecordTableRead(started time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.afterReset(started) {
		f.compared = true
	}
}

// RecordPeer records that a serving host in the zone was asked for its version at
// started and that this host now has that version or a newer one.
func (f *Freshness) RecordPeer(host, zone string, started time.Time, q Quorum) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.afterReset(started) {
		return
	}
	f.zones[host] = zone
	zones := map[string]bool{}
	for _, z := range f.zones {
		zones[z] = true
	}
	if len(f.zones) >= min(quorumHosts, q.Hosts) && len(zones) >= min(quorumZones, q.Zones) {
		f.compared = true
	}
}

// afterReset reports whether a question that was asked at started covers
// everything up to resetAt. A question from before a pause does not, even if it
// is answered afterwards.
func (f *Freshness) afterReset(started time.Time) bool {
	return !started.Before(f.resetAt)
}

// MayServe reports whether the host may serve at the time now. It detects a pause
// even before the next call of CheckPause.
func (f *Freshness) MayServe(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.compared && now.Sub(f.lastCheck) <= maxCheckGap
}
