package core

import (
	"sort"
	"sync"
	"time"

	"heatherford/core/lookup"
)

// HostLoad is the load that a host reported for its endpoints of one upstream.
type HostLoad struct {
	Source lookup.Source
	// Sequence orders the reports of one host, also across restarts.
	Sequence uint64
	Load     lookup.Load
}

// loads holds the newest load of each source. Only the control goroutine changes it;
// it is safe for concurrent use.
type loads struct {
	mu     sync.Mutex
	newest map[lookup.Source]HostLoad
	// updateOrder holds, for each source, the value of updates at its last update.
	updateOrder map[lookup.Source]uint64
	// updates counts the updates of all sources.
	updates uint64
	// updatedAt holds, for each source, the time of its last update.
	updatedAt map[lookup.Source]time.Time
	now       func() time.Time
}

func newLoads(now func() time.Time) *loads {
	return &loads{
		newest:      map[lookup.Source]HostLoad{},
		updateOrder: map[lookup.Source]uint64{},
		updatedAt:   map[lookup.Source]time.Time{},
		now:         now,
	}
}

// offerLoads keeps the loads that are newer than the known ones.
func (c *control) offerLoads(s []HostLoad) {
	for _, l := range s {
		if c.kernel.loads.update(l) {
			c.changed = true
		}
	}
}

// update keeps l and returns true if l is newer than the known load of its source.
func (x *loads) update(l HostLoad) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if old, ok := x.newest[l.Source]; ok && old.Sequence >= l.Sequence {
		return false
	}
	x.newest[l.Source] = l
	x.updates++
	x.updateOrder[l.Source] = x.updates
	x.updatedAt[l.Source] = x.now()
	return true
}

// get returns the newest load of a source and the time of its update. The time is zero
// if no load is known.
func (x *loads) get(s lookup.Source) (lookup.Load, time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.newest[s].Load, x.updatedAt[s]
}

// updateCount returns the number of updates so far.
func (x *loads) updateCount() uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.updates
}

// all returns a copy of the newest loads, in the form that look-up tables need.
func (x *loads) all() lookup.Loads {
	x.mu.Lock()
	defer x.mu.Unlock()
	m := make(lookup.Loads, len(x.newest))
	for s, l := range x.newest {
		m[s] = l.Load
	}
	return m
}

// retain drops the loads of hosts for which keep returns false.
func (x *loads) retain(keep func(host string) bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for s := range x.newest {
		if !keep(s.Host) {
			delete(x.newest, s)
			delete(x.updateOrder, s)
			delete(x.updatedAt, s)
		}
	}
}

// latest returns the loads of the host own and up to n others, the most recently updated
// first.
func (x *loads) latest(own string, n int) []HostLoad {
	x.mu.Lock()
	defer x.mu.Unlock()
	ownLoads, s := []HostLoad{}, make([]HostLoad, 0, len(x.newest))
	for _, l := range x.newest {
		if l.Source.Host == own {
			ownLoads = append(ownLoads, l)
			continue
		}
		s = append(s, l)
	}
	sort.Slice(s, func(i, j int) bool {
		return x.updateOrder[s[i].Source] > x.updateOrder[s[j].Source]
	})
	return append(ownLoads, s[:min(n, len(s))]...)
}

// LatestLoads returns the loads of the host own and up to n others, the most recently
// updated first. It is safe for concurrent use.
func (k *Kernel) LatestLoads(own string, n int) []HostLoad {
	return k.loads.latest(own, n)
}
