package core

import (
	"sort"
	"sync"
	"time"

	"heatherford/core/lookup"
)

// HostLoad is what a host told of its endpoints of one upstream.
type HostLoad struct {
	Source lookup.Source
	// Sequence orders what one host told, also over its restarts.
	Sequence uint64
	Load     lookup.Load
}

// loads holds the newest load of each source. The control goroutine changes it;
// others may read it.
type loads struct {
	mu     sync.Mutex
	newest map[lookup.Source]HostLoad
	// learned is the order in which sources were learned last.
	learned map[lookup.Source]uint64
	count   uint64
	// at is when sources were learned last.
	at  map[lookup.Source]time.Time
	now func() time.Time
}

func newLoads(now func() time.Time) *loads {
	return &loads{
		newest:  map[lookup.Source]HostLoad{},
		learned: map[lookup.Source]uint64{},
		at:      map[lookup.Source]time.Time{},
		now:     now,
	}
}

// offerLoads takes the loads that are newer than those known.
func (c *control) offerLoads(s []HostLoad) {
	for _, l := range s {
		if c.kernel.loads.take(l) {
			c.changed = true
		}
	}
}

func (x *loads) take(l HostLoad) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if old, ok := x.newest[l.Source]; ok && old.Sequence >= l.Sequence {
		return false
	}
	x.newest[l.Source] = l
	x.count++
	x.learned[l.Source] = x.count
	x.at[l.Source] = x.now()
	return true
}

// get returns the newest load of a source and when it was learned, which is the
// zero time if there is none.
func (x *loads) get(s lookup.Source) (lookup.Load, time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.newest[s].Load, x.at[s]
}

// learnedSoFar returns the number of loads that were ever learned.
func (x *loads) learnedSoFar() uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.count
}

// table returns the loads as a look-up table needs them.
func (x *loads) table() lookup.Loads {
	x.mu.Lock()
	defer x.mu.Unlock()
	m := make(lookup.Loads, len(x.newest))
	for s, l := range x.newest {
		m[s] = l.Load
	}
	return m
}

// forget drops the loads of hosts for which keep returns false.
func (x *loads) forget(keep func(host string) bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for s := range x.newest {
		if !keep(s.Host) {
			delete(x.newest, s)
			delete(x.learned, s)
			delete(x.at, s)
		}
	}
}

// latest returns the loads of the host own and up to n others, those learned
// last first.
func (x *loads) latest(own string, n int) []HostLoad {
	x.mu.Lock()
	defer x.mu.Unlock()
	mine, s := []HostLoad{}, make([]HostLoad, 0, len(x.newest))
	for _, l := range x.newest {
		if l.Source.Host == own {
			mine = append(mine, l)
			continue
		}
		s = append(s, l)
	}
	sort.Slice(s, func(i, j int) bool {
		return x.learned[s[i].Source] > x.learned[s[j].Source]
	})
	return append(mine, s[:min(n, len(s))]...)
}

// LatestLoads returns the loads of the host own and up to n others, those
// learned last first. It is safe for concurrent use.
func (k *Kernel) LatestLoads(own string, n int) []HostLoad {
	return k.loads.latest(own, n)
}
