package config_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"

	"heatherford/core/code"
	"heatherford/core/intent"
	"heatherford/core/store"
	"heatherford/standin/platform"
)

// fake is the platform's table with injected faults.
type fake struct {
	table *platform.Table
	// commits are the faults of the next commits, in order.
	commits []fault
	// delayed are commits that were not applied and may arrive later.
	delayed []store.Transaction
	// downReads is the number of the next reads that fail.
	downReads int
	// readBytes is the total size of the values that were read.
	readBytes int
	// written is the total size of the values that were written.
	written int
	// largest is the size in bytes of the largest transaction, mostRows the most
	// rows in one.
	largest  int
	mostRows int

	mu sync.Mutex
}

type fault int

const (
	// loseAnswer applies the commit and loses the answer.
	loseAnswer fault = iota + 1
	// delayCommit loses the answer and adds the commit to delayed.
	delayCommit
	// down fails the commit without effect.
	down
)

func newFake() *fake {
	return &fake{
		table: platform.NewTable(),
	}
}

func (f *fake) store() *store.Store {
	return &store.Store{
		Commit: f.commit,
		Read:   f.read,
	}
}

func (f *fake) read(_ context.Context, q store.Query) ([]store.Row, error) {
	if f.downReads > 0 {
		f.downReads--
		return nil, code.New(code.PlatformDown, "fake: down")
	}
	rows := f.table.Read(q)
	for _, r := range rows {
		f.readBytes += len(r.Value)
	}
	return rows, nil
}

func (f *fake) commit(_ context.Context, t store.Transaction) (store.Committed, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := fault(0)
	if len(f.commits) > 0 {
		next, f.commits = f.commits[0], f.commits[1:]
	}
	if next == down {
		return store.Committed{}, code.New(code.PlatformDown, "fake: down")
	}
	if next == delayCommit {
		f.delayed = append(f.delayed, t)
		return store.Committed{}, code.New(code.PlatformUnknown, "fake: lost")
	}
	a, ok := f.table.Commit(t)
	switch {
	case next == loseAnswer:
		return store.Committed{}, code.New(code.PlatformUnknown, "fake: lost")
	case !ok:
		return store.Committed{}, code.New(code.PlatformConflict, "fake: conflict")
	}
	size := 0
	for _, w := range t.Writes {
		size += len(w.Value)
	}
	f.written += size
	f.largest = max(f.largest, size)
	f.mostRows = max(f.mostRows, len(t.Writes))
	return a, nil
}

// declaration returns a declaration with the given numbers of blocks and
// endpoints.
func declaration(blocks, endpoints int) *intent.Declaration {
	d := &intent.Declaration{
		Format: intent.Format,
		Name:   "test",
		Ranks: []intent.Rank{
			{
				Name:    "urgent",
				Planned: 0.5,
				Floor:   0.25,
			},
		},
		Regions: []intent.Region{
			{
				Name:  "north",
				Zones: []string{"n1"},
				Cap:   endpoints + 1,
			},
		},
	}
	u := intent.Upstream{
		Name: "desk/main",
	}
	for i := range endpoints {
		u.Endpoints = append(u.Endpoints, intent.Endpoint{
			Name:        fmt.Sprintf("desk-%d", i),
			Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(i+1)),
			Zone:        "n1",
			Slots:       1,
			Connections: 10,
		})
	}
	d.Upstreams = append(d.Upstreams, u)
	for i := range blocks {
		d.Blocks = append(d.Blocks, intent.Block{
			Prefix: netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(i >> 16), byte(i >> 8), byte(i), 0}), 24),
			Site:   fmt.Sprintf("site-%d", i%500),
		})
	}
	return d
}
