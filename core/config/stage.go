package config

import (
	"context"

	"golang.org/x/sync/errgroup"

	"heatherford/core/store"
)

const (
	// A change of more than largeBytes bytes or largeRows rows is written before
	// the transaction that puts it in force.
	largeBytes = 256 << 10
	largeRows  = 400
	// batchBytes and batchRows bound each of the transactions that write it.
	batchBytes = 256 << 10
	batchRows  = 400
	// stageWorkers is the number of these transactions that run concurrently.
	stageWorkers = 4
)

// isLarge reports whether d is too large for one transaction.
func (d *Delta) isLarge() bool {
	return d.Bytes() > largeBytes || len(d.Parts)+len(d.Removed) > largeRows
}

// partRows returns the writes of all parts of b to the generation.
func (b *Bundle) partRows(generation string) ([]store.Write, error) {
	d, err := b.DeltaFor(0, nil)
	if err != nil {
		return nil, err
	}
	return partWrites(d, generation), nil
}

// stage commits rows that no reader uses yet, in transactions of bounded size. It
// does not retry a transaction whose answer was lost; the caller then returns an
// error.
func stage(ctx context.Context, s *store.Store, writes []store.Write) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(stageWorkers)
	for len(writes) > 0 {
		n := batchSize(writes)
		w := writes[:n]
		writes = writes[n:]
		g.Go(func() error {
			_, err := s.Commit(ctx, store.Transaction{
				Writes: w,
			})
			return err
		})
	}
	return g.Wait()
}

// batchSize returns how many of the writes go into the next transaction, at least
// one.
func batchSize(writes []store.Write) int {
	size := 0
	for i, w := range writes[:min(batchRows, len(writes))] {
		size += len(w.Key) + len(w.Value)
		if size > batchBytes && i > 0 {
			return i
		}
	}
	return min(batchRows, len(writes))
}

// deletePreviousGeneration deletes the rows of the generation before head's. head
// is the entry that a version with a new generation has just replaced. Rows that
// are left over do no harm, because no reader uses them.
func deletePreviousGeneration(ctx context.Context, s *store.Store, head HistoryEntry) {
	if head.Generations == 0 {
		return
	}
	rows, err := s.Read(ctx, store.Query{
		Prefixes: []string{generationPrefix(head.Previous)},
	})
	if err != nil {
		return
	}
	w := []store.Write{}
	for _, r := range rows {
		w = append(w, store.Write{
			Key:    r.Key,
			Delete: true,
		})
	}
	// Rows that an error leaves behind are not deleted later.
	_ = stage(ctx, s, w)
}
