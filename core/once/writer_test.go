package once

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"heatherford/core/code"
	"heatherford/core/snapshot"
	"heatherford/core/store"
	"heatherford/core/ticket"
	"heatherford/standin/platform"
)

// newTestOnce returns a Once that is not run, and the number of its commits to the
// table.
func newTestOnce(p *platform.Table, now time.Time) (*Once, *int) {
	commits := 0
	s := store.Store{
		Commit: func(_ context.Context, t store.Transaction) (store.Committed, error) {
			commits++
			a, ok := p.Commit(t)
			if !ok {
				return a, code.New(code.PlatformConflict, "test: conflict")
			}
			return a, nil
		},
		Read: func(_ context.Context, q store.Query) ([]store.Row, error) {
			return p.Read(q), nil
		},
	}
	return New(Options{
		Host:       "h1",
		CommitRate: 250,
		Metrics:    tally.NoopScope,
		Store:      &s,
		Snapshot: func() *snapshot.Snapshot {
			return &snapshot.Snapshot{}
		},
		Now: func() time.Time {
			return now
		},
	}), &commits
}

func claimKey(i int) string {
	return fmt.Sprintf("%s1/%d", ticket.TicketRowPrefix, i)
}

// TestClaimGroup queues many claims, some of them for rows that exist. The first
// transaction conflicts as a whole; the second writes all that can be claimed.
func TestClaimGroup(t *testing.T) {
	c := qt.New(t)
	const claims, taken = 100, 3
	now := time.Unix(1_000_000, 0)
	p := platform.NewTable()
	o, commits := newTestOnce(p, now)
	for i := range taken {
		p.Commit(store.Transaction{
			Writes: []store.Write{
				{
					Key: claimKey(i),
					Value: ticket.Row{
						Operation: "other",
						Tombstone: true,
					}.Encode(),
				},
			},
		})
	}
	group := sync.WaitGroup{}
	for i := range claims {
		group.Go(func() {
			w := o.rowWriter.insert(claimKey(i), ticket.Row{
				Operation: claimKey(i),
			}, now.Add(time.Minute))
			if i < taken {
				c.Check(w.result, qt.Equals, ticket.Conflicted)
				c.Check(w.row.Tombstone, qt.IsTrue)
				return
			}
			c.Check(w.result, qt.Equals, ticket.Committed)
			c.Check(w.version, qt.Not(qt.Equals), uint64(0))
		})
	}
	for o.rowWriter.pendingInserts() < claims {
		<-time.After(time.Millisecond)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		o.rowWriter.run(ctx)
	}()
	group.Wait()
	cancel()
	<-done
	c.Assert(*commits, qt.Equals, 2)
	c.Assert(p.Read(store.Query{
		Prefixes: []string{ticket.TicketRowPrefix},
	}), qt.HasLen, claims)
}

func (c *rowWriter) pendingInserts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.inserts)
}
