package once

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherford/core/store"
	"heatherford/core/ticket"
)

const (
	sweepInterval = time.Minute
	sweepTimeout  = 10 * time.Second
	// sweepBuckets is how many minutes of expired tickets are looked at again.
	sweepBuckets = 3
	// ownPrefixes is the number of prefixes that own keys are spread over.
	ownPrefixes = 1 << 12
)

// sweep deletes expired rows: those of tickets minute by minute, each by one
// host, and those of callers' own keys by prefixes drawn at random.
func (o *Once) sweep(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := o.options.Now()
		for i := range sweepBuckets {
			b := ticket.BucketPrefix(now.Add(-ticket.Keep - time.Duration(i+3)*sweepInterval))
			if o.sweeps(b) {
				o.sweepPrefix(ctx, b)
			}
		}
		o.sweepPrefix(ctx, fmt.Sprintf("%s%03x/", ticket.KeyPrefix, rand.IntN(ownPrefixes)))
	}
}

// sweeps reports whether this host is the one to sweep the bucket by its view
// of the hosts. Hosts with different views at worst sweep it twice, or later.
func (o *Once) sweeps(bucket string) bool {
	best := ""
	sum := uint64(0)
	for n := range o.options.Snapshot().Hosts {
		if s := xxhash.Sum64String(n + "\x00" + bucket); best == "" || s > sum {
			best, sum = n, s
		}
	}
	return best == o.options.Self
}

// sweepPrefix deletes the expired rows under the prefix.
func (o *Once) sweepPrefix(ctx context.Context, prefix string) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	rows, err := o.options.Store.Read(ctx, store.Query{
		Prefixes: []string{prefix},
	})
	if err != nil {
		return
	}
	now := o.options.Now()
	t := store.Transaction{}
	for _, f := range rows {
		r, err := ticket.DecodeRow(f.Value)
		if err != nil || now.Before(r.ExpiresAt) {
			continue
		}
		t.Conditions = append(t.Conditions, store.Condition{
			Key:     f.Key,
			Version: f.Version,
		})
		t.Writes = append(t.Writes, store.Write{
			Key:    f.Key,
			Delete: true,
		})
		if len(t.Writes) == maxBatch {
			o.commitSweep(ctx, t)
			t = store.Transaction{}
		}
	}
	o.commitSweep(ctx, t)
}

// commitSweep deletes rows. What fails is left to the next sweep.
func (o *Once) commitSweep(ctx context.Context, t store.Transaction) {
	if len(t.Writes) == 0 || o.claims.limiter.Wait(ctx) != nil {
		return
	}
	_, _ = o.options.Store.Commit(ctx, t)
}
