package config

import (
	"sync"
	"time"
)

// pauseLimit is the longest gap between pulses that is no pause.
const pauseLimit = time.Second

// Quorum is how many other daemons together stand in for the table.
type Quorum struct {
	// Hosts and Zones are the other live hosts and their availability zones.
	Hosts int
	Zones int
}

const (
	quorumHosts = 3
	quorumZones = 2
)

// Freshness decides whether a daemon may serve by the version that it has. It
// may once it has compared it, since it started or came back from a pause or
// from being cut off, with the table or with several serving daemons in
// different zones. It is safe for concurrent use.
type Freshness struct {
	mu sync.Mutex
	// since is the start, or the end of the last pause.
	since time.Time
	// learnt is true once the version was compared after since.
	learnt bool
	// pulse is the time of the last pulse.
	pulse time.Time
	// zones maps the hosts that were asked after since to their zones.
	zones map[string]string
}

// NewFreshness returns the state of a daemon that starts at the time now.
func NewFreshness(now time.Time) *Freshness {
	return &Freshness{
		since: now,
		pulse: now,
		zones: map[string]string{},
	}
}

// Pulse notes that the daemon runs. It reports whether it was paused.
func (f *Freshness) Pulse(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	paused := now.Sub(f.pulse) > pauseLimit
	if paused {
		f.reset(now)
	}
	f.pulse = now
	return paused
}

// Reset says that the daemon may have missed versions until now.
func (f *Freshness) Reset(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reset(now)
}

func (f *Freshness) reset(now time.Time) {
	f.since = now
	f.learnt = false
	f.zones = map[string]string{}
}

// Table says that the table was read, beginning at started, and that the
// version found is in force.
func (f *Freshness) Table(started time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts(started) {
		f.learnt = true
	}
}

// Peer says that a serving host in the zone was asked at started and that its
// version, if newer, is in force.
func (f *Freshness) Peer(host, zone string, started time.Time, q Quorum) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.counts(started) {
		return
	}
	f.zones[host] = zone
	zones := map[string]bool{}
	for _, z := range f.zones {
		zones[z] = true
	}
	if len(f.zones) >= min(quorumHosts, q.Hosts) && len(zones) >= min(quorumZones, q.Zones) {
		f.learnt = true
	}
}

// counts reports whether what was asked at started tells of all that happened
// until since. A question that was asked before a pause does not.
func (f *Freshness) counts(started time.Time) bool {
	return !started.Before(f.since)
}

// Serving reports whether the daemon may serve at the time now. It sees a pause
// also before the next pulse does.
func (f *Freshness) Serving(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.learnt && now.Sub(f.pulse) <= pauseLimit
}
