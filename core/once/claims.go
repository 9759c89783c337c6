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
	// writeBurst is how many transactions may follow each other at once.
	writeBurst = 8
	// maxBatch is the most rows in one transaction.
	maxBatch = 128
	// maxCommits is the most transactions in progress.
	maxCommits = 4
	// outcomeDelay is how long an outcome waits for claims to be written with.
	outcomeDelay  = 100 * time.Millisecond
	commitTimeout = 2 * time.Second
	retryDelay    = 50 * time.Millisecond
)

// write is a row that waits to be written.
type write struct {
	key string
	row ticket.Row
	// version is the row's version before the write, 0 if there must be none.
	version  uint64
	deadline time.Time
	// doubtful is true if an earlier attempt's answer was lost, so that the row
	// has to be read before it is written again.
	doubtful bool
	// done takes the result once.
	done chan written
}

// written is the result of a write.
type written struct {
	result ticket.ClaimResult
	// row is the one in the table if the write was lost.
	row ticket.Row
	// version is the row's version after the write.
	version uint64
}

// claims writes rows: all that wait go into one transaction. It is safe for
// concurrent use.
type claims struct {
	store   *store.Store
	health  *health
	now     func() time.Time
	hosts   func() int
	metrics tally.Scope
	// writes is how many writes a second all hosts together use.
	writes  int
	limiter *rate.Limiter
	// slots holds one element for each transaction in progress.
	slots chan struct{}
	// ready has an element if there is something to write.
	ready chan struct{}
	group sync.WaitGroup

	mu sync.Mutex
	// urgent writes have somebody waiting; the others go along.
	urgent []*write
	others []*write
}

func newClaims(o Options, h *health) *claims {
	return &claims{
		store:  o.Store,
		health: h,
		now:    o.Now,
		hosts: func() int {
			return max(1, len(o.Snapshot().Hosts))
		},
		writes:  o.Writes,
		metrics: o.Metrics,
		limiter: rate.NewLimiter(rate.Limit(o.Writes), writeBurst),
		slots:   make(chan struct{}, maxCommits),
		ready:   make(chan struct{}, 1),
	}
}

// put writes a row and waits for the result until the deadline.
func (c *claims) put(key string, row ticket.Row, deadline time.Time) written {
	w := &write{
		key:      key,
		row:      row,
		deadline: deadline,
		done:     make(chan written, 1),
	}
	c.enqueue(w)
	t := time.NewTimer(deadline.Sub(c.now()))
	defer t.Stop()
	select {
	case x := <-w.done:
		return x
	case <-t.C:
		return written{
			result: ticket.Unsettled,
		}
	}
}

// record replaces a row some time later, if it still has the version.
func (c *claims) record(key string, row ticket.Row, version uint64) {
	w := &write{
		key:      key,
		row:      row,
		version:  version,
		deadline: row.ExpiresAt,
		done:     make(chan written, 1),
	}
	c.mu.Lock()
	c.others = append(c.others, w)
	first := len(c.others) == 1
	c.mu.Unlock()
	if first {
		time.AfterFunc(outcomeDelay, c.signal)
	}
}

// enqueue adds writes, which go into one transaction if there is room.
func (c *claims) enqueue(s ...*write) {
	c.mu.Lock()
	for _, w := range s {
		if w.version == 0 {
			c.urgent = append(c.urgent, w)
			continue
		}
		c.others = append(c.others, w)
	}
	c.mu.Unlock()
	c.signal()
}

func (c *claims) signal() {
	select {
	case c.ready <- struct{}{}:
	default:
	}
}

// take returns the writes for one transaction.
func (c *claims) take() []*write {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	s := []*write{}
	for len(c.urgent) > 0 && len(s) < maxBatch {
		if now.Before(c.urgent[0].deadline) {
			s = append(s, c.urgent[0])
		}
		c.urgent = c.urgent[1:]
	}
	for len(c.others) > 0 && len(s) < maxBatch {
		if now.Before(c.others[0].deadline) {
			s = append(s, c.others[0])
		}
		c.others = c.others[1:]
	}
	if len(c.urgent)+len(c.others) > 0 {
		c.signal()
	}
	return s
}

// run writes until ctx ends, and then once more what is left.
func (c *claims) run(ctx context.Context) {
	for c.next(ctx) {
		if s := c.take(); len(s) > 0 {
			c.begin(context.WithoutCancel(ctx), s)
		}
	}
	c.group.Wait()
	if s := c.take(); len(s) > 0 {
		c.begin(context.WithoutCancel(ctx), s)
	}
	c.group.Wait()
}

// next waits until a transaction may begin.
func (c *claims) next(ctx context.Context) bool {
	select {
	case <-c.ready:
	case <-ctx.Done():
		return false
	}
	c.limiter.SetLimit(rate.Limit(float64(c.writes) / float64(c.hosts())))
	return c.limiter.Wait(ctx) == nil
}

func (c *claims) begin(ctx context.Context, s []*write) {
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

// commit writes all rows of s in one transaction. Those whose earlier answer
// was lost are read instead.
func (c *claims) commit(ctx context.Context, s []*write) {
	doubtful := []*write{}
	certain := []*write{}
	for _, w := range s {
		if w.doubtful {
			doubtful = append(doubtful, w)
			continue
		}
		certain = append(certain, w)
	}
	if len(doubtful) > 0 {
		c.settle(ctx, doubtful)
	}
	if len(certain) == 0 {
		return
	}
	start := c.now()
	a, err := c.store.Commit(ctx, transaction(certain))
	n := code.Of(err)
	c.health.observe(c.now().Sub(start), err == nil || n == code.PlatformConflict)
	c.count(1, len(certain), 0)
	switch n {
	case 0:
		for _, w := range certain {
			w.done <- written{
				result:  ticket.Won,
				version: a.Version,
			}
		}
	case code.PlatformConflict:
		c.settle(ctx, certain)
	case code.PlatformDown:
		c.later(certain)
	default:
		for _, w := range certain {
			w.doubtful = true
		}
		c.later(certain)
	}
}

func transaction(s []*write) store.Transaction {
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

// settle reads the rows of writes that conflicted, or whose answer was lost,
// and tells those that are decided. The others are tried again under the same
// operation.
func (c *claims) settle(ctx context.Context, s []*write) {
	q := store.Query{}
	for _, w := range s {
		q.Keys = append(q.Keys, w.key)
	}
	start := c.now()
	rows, err := c.store.Read(ctx, q)
	c.health.observe(c.now().Sub(start), err == nil)
	c.count(0, 0, 1)
	if err != nil {
		for _, w := range s {
			w.doubtful = true
		}
		c.later(s)
		return
	}
	found := map[string]store.Row{}
	for _, r := range rows {
		found[r.Key] = r
	}
	again := []*write{}
	for _, w := range s {
		if !w.decide(found) {
			w.doubtful = false
			again = append(again, w)
		}
	}
	if len(again) > 0 {
		c.enqueue(again...)
	}
}

// decide tells the result by the rows in the table, if they show it.
func (w *write) decide(found map[string]store.Row) bool {
	f, ok := found[w.key]
	if !ok {
		if w.version != 0 {
			w.done <- written{
				result: ticket.Lost,
			}
		}
		return w.version != 0
	}
	r, err := ticket.DecodeRow(f.Value)
	if err != nil || r.Operation != w.row.Operation {
		w.done <- written{
			result: ticket.Lost,
			row:    r,
		}
		return true
	}
	if w.version != 0 && r.Outcome == nil {
		w.version = f.Version
		return false
	}
	w.done <- written{
		result:  ticket.Won,
		version: f.Version,
	}
	return true
}

// later tries again after a pause.
func (c *claims) later(s []*write) {
	time.AfterFunc(retryDelay, func() {
		c.enqueue(s...)
	})
}

// count counts what claims cost the platform.
func (c *claims) count(commits, rows, reads int) {
	c.metrics.Counter("once_commits").Inc(int64(commits))
	c.metrics.Counter("once_rows").Inc(int64(rows))
	c.metrics.Counter("once_reads").Inc(int64(reads))
}
