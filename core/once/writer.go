package once

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"heatherford/core/code"
	"heatherford/core/store"
	"heatherford/core/ticket"
)

const (
	// commitBurst is how many transactions the rate limit lets through at once.
	commitBurst = 8
	// maxBatchRows bounds the rows of one transaction.
	maxBatchRows = 128
	// maxConcurrentCommits bounds the transactions in progress.
	maxConcurrentCommits = 4
	// outcomeBatchDelay is how long an outcome waits, so that it shares a
	// transaction with claims and other outcomes.
	outcomeBatchDelay = 100 * time.Millisecond
	commitTimeout     = 2 * time.Second
	retryDelay        = 50 * time.Millisecond
)

// pendingWrite is a row in the queue of a rowWriter.
type pendingWrite struct {
	key string
	row ticket.Row
	// version is the version that the row must have, or 0 if there must be no
	// row yet.
	version  uint64
	deadline time.Time
	// uncertain is true if an earlier commit may have taken effect, since its
	// response was lost. The row has to be read before it is written again.
	uncertain bool
	// done has a buffer of one and receives the result once.
	done chan writeResult
}

// writeResult is the result of a write.
type writeResult struct {
	result ticket.ClaimResult
	// row is the row in the table if the result is a conflict. It is empty if
	// that row is gone.
	row ticket.Row
	// version is the row's version after the write.
	version uint64
}

// rowWriter writes claims, tombstones and outcomes. It batches the rows that
// wait into one transaction. It is safe for concurrent use.
type rowWriter struct {
	store   *store.Store
	health  *health
	now     func() time.Time
	hosts   func() int
	metrics tally.Scope
	// commitRate is how many transactions a second all hosts together may
	// commit.
	commitRate int
	limiter    *rate.Limiter
	// slots holds one element for each transaction in progress.
	slots chan struct{}
	// ready has an element if rows may be waiting.
	ready chan struct{}
	group sync.WaitGroup

	mu sync.Mutex
	// inserts are claims and tombstones. They go first since a caller waits for
	// them.
	inserts []*pendingWrite
	// updates record outcomes in rows that exist.
	updates []*pendingWrite
}

func newRowWriter(o Options, h *health) *rowWriter {
	return &rowWriter{
		store:  o.Store,
		health: h,
		now:    o.Now,
		hosts: func() int {
			return max(1, len(o.Snapshot().Hosts))
		},
		commitRate: o.CommitRate,
		metrics:    o.Metrics,
		limiter:    rate.NewLimiter(rate.Limit(o.CommitRate), commitBurst),
		slots:      make(chan struct{}, maxConcurrentCommits),
		ready:      make(chan struct{}, 1),
	}
}

// insert writes a new row and waits for the result. At the deadline it returns
// Uncertain; the row may then still be written.
func (c *rowWriter) insert(key string, row ticket.Row, deadline time.Time) writeResult {
	w := &pendingWrite{
		key:      key,
		row:      row,
		deadline: deadline,
		done:     make(chan writeResult, 1),
	}
	c.enqueue(w)
	t := time.NewTimer(deadline.Sub(c.now()))
	defer t.Stop()
	select {
	case x := <-w.done:
		return x
	case <-t.C:
		return writeResult{
			result: ticket.Uncertain,
		}
	}
}

// recordOutcome queues the replacement of a row, which happens only if the row
// still has the version. It doesn't wait for the result.
func (c *rowWriter) recordOutcome(key string, row ticket.Row, version uint64) {
	w := &pendingWrite{
		key:      key,
		row:      row,
		version:  version,
		deadline: row.ExpiresAt,
		done:     make(chan writeResult, 1),
	}
	c.mu.Lock()
	c.updates = append(c.updates, w)
	first := len(c.updates) == 1
	c.mu.Unlock()
	if first {
		time.AfterFunc(outcomeBatchDelay, c.signal)
	}
}

// enqueue adds writes to the queues and wakes run.
func (c *rowWriter) enqueue(s ...*pendingWrite) {
	c.mu.Lock()
	for _, w := range s {
		if w.version == 0 {
			c.inserts = append(c.inserts, w)
			continue
		}
		c.updates = append(c.updates, w)
	}
	c.mu.Unlock()
	c.signal()
}

// signal makes ready receive an element unless it has one.
func (c *rowWriter) signal() {
	select {
	case c.ready <- struct{}{}:
	default:
	}
}

// nextBatch removes the writes for one transaction from the queues. It drops
// those whose deadline has passed.
func (c *rowWriter) nextBatch() []*pendingWrite {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	s := []*pendingWrite{}
	for len(c.inserts) > 0 && len(s) < maxBatchRows {
		if now.Before(c.inserts[0].deadline) {
			s = append(s, c.inserts[0])
		}
		c.inserts = c.inserts[1:]
	}
	for len(c.updates) > 0 && len(s) < maxBatchRows {
		if now.Before(c.updates[0].deadline) {
			s = append(s, c.updates[0])
		}
		c.updates = c.updates[1:]
	}
	if len(c.inserts)+len(c.updates) > 0 {
		c.signal()
	}
	return s
}

// run commits batches until ctx ends, then one last batch of what is left.
func (c *rowWriter) run(ctx context.Context) {
	for c.waitReady(ctx) {
		if s := c.nextBatch(); len(s) > 0 {
			c.startCommit(context.WithoutCancel(ctx), s)
		}
	}
	c.group.Wait()
	if s := c.nextBatch(); len(s) > 0 {
		c.startCommit(context.WithoutCancel(ctx), s)
	}
	c.group.Wait()
}

// waitReady waits until rows are queued and the rate limit lets a transaction
// begin; all hosts share the rate equally. It reports false once ctx has ended.
func (c *rowWriter) waitReady(ctx context.Context) bool {
	select {
	case <-c.ready:
	case <-ctx.Done():
		return false
	}
	c.limiter.SetLimit(rate.Limit(float64(c.commitRate) / float64(c.hosts())))
	return c.limiter.Wait(ctx) == nil
}

// startCommit commits s in its own goroutine. It blocks while
// maxConcurrentCommits are in progress.
func (c *rowWriter) startCommit(ctx context.Context, s []*pendingWrite) {
	c.slots <- struct{}{}
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		defer func() {
			<-c.slots
		}()
		ctx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		c.commit(ctx, s)
	}()
}

// commit writes the rows of s in one transaction. Those that an earlier commit
// may have written are read instead.
func (c *rowWriter) commit(ctx context.Context, s []*pendingWrite) {
	uncertain := []*pendingWrite{}
	certain := []*pendingWrite{}
	for _, w := range s {
		if w.uncertain {
			uncertain = append(uncertain, w)
			continue
		}
		certain = append(certain, w)
	}
	if len(uncertain) > 0 {
		c.resolve(ctx, uncertain)
	}
	if len(certain) == 0 {
		return
	}
	start := c.now()
	a, err := c.store.Commit(ctx, transaction(certain))
	n := code.Of(err)
	c.health.observe(c.now().Sub(start), err == nil || n == code.PlatformConflict)
	c.countCalls(1, len(certain), 0)
	switch n {
	case 0:
		for _, w := range certain {
			w.done <- writeResult{
				result:  ticket.Committed,
				version: a.Version,
			}
		}
	case code.PlatformConflict:
		c.resolve(ctx, certain)
	case code.PlatformDown:
		c.retryLater(certain)
	default:
		for _, w := range certain {
			w.uncertain = true
		}
		c.retryLater(certain)
	}
}

func transaction(s []*pendingWrite) store.Transaction {
	t := store.Transaction{}
	for _, w := range s {
		t.Conditions = append(t.Conditions, store.Condition{
			Key:     w.key,
			Version: w.version,
		})
		t.Writes = append(t.Writes, store.Write{
			Key:   w.key,
			Value: w.row.Encode(),
		})
	}
	return t
}

// resolve reads the rows of writes that conflicted or whose response was lost,
// and completes those whose result the rows show. One conflict fails the whole
// transaction, so the others are written again under the same operation.
func (c *rowWriter) resolve(ctx context.Context, s []*pendingWrite) {
	q := store.Query{}
	for _, w := range s {
		q.Keys = append(q.Keys, w.key)
	}
	start := c.now()
	rows, err := c.store.Read(ctx, q)
	c.health.observe(c.now().Sub(start), err == nil)
	c.countCalls(0, 0, 1)
	if err != nil {
		for _, w := range s {
			w.uncertain = true
		}
		c.retryLater(s)
		return
	}
	found := map[string]store.Row{}
	for _, r := range rows {
		found[r.Key] = r
	}
	retry := []*pendingWrite{}
	for _, w := range s {
		if !w.resolveFrom(found) {
			w.uncertain = false
			retry = append(retry, w)
		}
	}
	if len(retry) > 0 {
		c.enqueue(retry...)
	}
}

// resolveFrom sends the result if the rows in the table show it, and reports
// whether it did. A row with the write's own operation shows that it succeeded.
// An update is written again while its row holds no outcome.
func (w *pendingWrite) resolveFrom(found map[string]store.Row) bool {
	f, ok := found[w.key]
	if !ok {
		if w.version != 0 {
			w.done <- writeResult{
				result: ticket.Conflicted,
			}
		}
		return w.version != 0
	}
	r, err := ticket.DecodeRow(f.Value)
	if err != nil || r.Operation != w.row.Operation {
		w.done <- writeResult{
			result: ticket.Conflicted,
			row:    r,
		}
		return true
	}
	if w.version != 0 && r.Outcome == nil {
		w.version = f.Version
		return false
	}
	w.done <- writeResult{
		result:  ticket.Committed,
		version: f.Version,
	}
	return true
}

// retryLater enqueues s again after retryDelay.
func (c *rowWriter) retryLater(s []*pendingWrite) {
	time.AfterFunc(retryDelay, func() {
		c.enqueue(s...)
	})
}

// countCalls counts the platform's load: transactions, rows written and reads.
func (c *rowWriter) countCalls(commits, rows, reads int) {
	c.metrics.Counter("once_commits").Inc(int64(commits))
	c.metrics.Counter("once_rows").Inc(int64(rows))
	c.metrics.Counter("once_reads").Inc(int64(reads))
}
