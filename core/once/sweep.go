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
	// sweepBuckets is how many buckets, of a minute each, every sweep reads. A
	// bucket is thus swept several times.
	sweepBuckets = 3
	// callerKeyPrefixes is the number of prefixes that the rows of caller keys
	// are spread over.
	callerKeyPrefixes = 1 << 12
)

// sweep deletes expired rows until ctx ends. The rows of tickets are in buckets of
// a minute, each of which one host sweeps. For the rows of caller keys every host
// sweeps one random prefix at a time.
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
			b := ticket.BucketPrefix(now.Add(-ticket.Retention - time.Duration(i+3)*sweepInterval))
			if o.sweepsBucket(b) {
				o.sweepPrefix(ctx, b)
			}
		}
		o.sweepPrefix(ctx, fmt.Sprintf("%s%03x/", ticket.KeyRowPrefix, rand.IntN(callerKeyPrefixes)))
	}
}

// sweepsBucket reports whether this host is the one that sweeps the bucket, by
// rendezvous hash over the hosts in its view. With different views, at worst two
// hosts sweep a bucket, or none does until a later sweep.
func (o *Once) sweepsBucket(bucket string) bool {
	best := ""
	sum := uint64(0)
	for n := range o.options.Snapshot().Hosts {
		if s := xxhash.Sum64String(n + "\x00" + bucket); best == "" || s > sum {
			best, sum = n, s
		}
	}
	return best == o.options.Host
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
		if len(t.Writes) == maxBatchRows {
			o.commitDeletes(ctx, t)
			t = store.Transaction{}
		}
	}
	o.commitDeletes(ctx, t)
}

// commitDeletes deletes rows. A later sweep deletes those of a failed transaction.
func (o *Once) commitDeletes(ctx context.Context, t store.Transaction) {
	if len(t.Writes) == 0 || o.rowWriter.limiter.Wait(ctx) != nil {
		return
	}
	_, _ = o.options.Store.Commit(ctx, t)
}
