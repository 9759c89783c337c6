package edge

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"heatherford/core/fleet"
	"heatherford/core/registry"
)

// fakePlatform holds a platform's records in memory and simulates faults.
type fakePlatform struct {
	mu      sync.Mutex
	changed chan struct{}
	version uint64
	// records holds the newest record of each subject, by part.
	records [registry.NumParts]map[string]registry.Record
	members []fleet.Member
	// refused holds the hosts whose calls the platform refuses; the empty name stands
	// for all.
	refused map[string]bool
	// historyStart is the version before which no history is left.
	historyStart uint64
	reads        atomic.Int64
}

func newFakePlatform() *fakePlatform {
	t := &fakePlatform{
		changed: make(chan struct{}),
		refused: map[string]bool{},
	}
	for p := range t.records {
		t.records[p] = map[string]registry.Record{}
	}
	return t
}

func (t *fakePlatform) put(p registry.Part, subject string, r registry.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	r.Version = t.version
	t.records[p][subject] = r
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *fakePlatform) setRefused(host string, on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refused[host] = on
}

func (t *fakePlatform) loseHistory() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	t.historyStart = t.version
}

// platformCopy is the content of a platform at some moment.
type platformCopy struct {
	version uint64
	records [registry.NumParts]map[string]registry.Record
}

func (t *fakePlatform) copy() *platformCopy {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := &platformCopy{
		version: t.version,
	}
	for p := range t.records {
		x.records[p] = maps.Clone(t.records[p])
	}
	return x
}

// restore has the platform return from a copy: what was written since is gone, and its
// versions are given out again.
func (t *fakePlatform) restore(x *platformCopy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version = x.version
	for p := range x.records {
		t.records[p] = maps.Clone(x.records[p])
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// read returns Transport.Read of a host.
func (t *fakePlatform) read(host string) func(context.Context, registry.Part, uint64, time.Duration) (registry.Update, error) {
	return func(ctx context.Context, p registry.Part, since uint64, wait time.Duration) (registry.Update, error) {
		t.reads.Add(1)
		timeout := time.After(wait)
		for {
			u, changed, err := t.readOnce(host, p, since)
			if err != nil || len(u.Records) > 0 || since == 0 {
				return u, err
			}
			select {
			case <-changed:
			case <-timeout:
				return u, nil
			case <-ctx.Done():
				return u, ctx.Err()
			}
		}
	}
}

func (t *fakePlatform) readOnce(host string, p registry.Part, since uint64) (registry.Update, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := registry.Update{
		Part:    p,
		Full:    since == 0,
		Version: t.version,
	}
	switch {
	case t.refused[host] || t.refused[""]:
		return u, t.changed, errPlatform
	case since > t.version, since > 0 && since < t.historyStart:
		return u, t.changed, errHistoryLost
	}
	for _, r := range t.records[p] {
		if r.Version > since && (!u.Full || !r.Removed) {
			u.Records = append(u.Records, r)
		}
	}
	return u, t.changed, nil
}

func (t *fakePlatform) join(host string) func(context.Context, fleet.Member) ([]fleet.Member, error) {
	return func(_ context.Context, m fleet.Member) ([]fleet.Member, error) {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.refused[host] || t.refused[""] {
			return nil, errPlatform
		}
		t.members = append(t.members, m)
		return append([]fleet.Member{}, t.members...), nil
	}
}
