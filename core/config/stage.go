package config

import (
	"context"

	"golang.org/x/sync/errgroup"

	"heatherford/core/store"
)

const (
	// largeBytes and largeRows are the size from which a change is written
	// beforehand.
	largeBytes = 256 << 10
	largeRows  = 400
	// batchBytes and batchRows bound one of the transactions that do so.
	batchBytes = 256 << 10
	batchRows  = 400
	// stagers is the number of such transactions side by side.
	stagers = 4
)

// large reports whether d is too large for one transaction.
func (d *Delta) large() bool {
	return d.Bytes() > largeBytes || len(d.Parts)+len(d.Removed) > largeRows
}

// partRows returns the rows of all parts in the generation.
func (b *Bundle) partRows(generation string) ([]store.Write, error) {
	d, err := b.DeltaFor(0, nil)
	if err != nil {
		return nil, err
	}
	return partWrites(d, generation), nil
}

// stage writes rows that nobody reads yet, in transactions of a bounded size. A
// transaction whose answer was lost is not repeated: the caller gives up.
func stage(ctx context.Context, s *store.Store, writes []store.Write) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(stagers)
	for len(writes) > 0 {
		n := batch(writes)
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

// batch returns how many of the writes go into one transaction, at least one.
func batch(writes []store.Write) int {
	size := 0
	for i, w := range writes[:min(batchRows, len(writes))] {
		size += len(w.Key) + len(w.Value)
		if size > batchBytes && i > 0 {
			return i
		}
	}
	return min(batchRows, len(writes))
}

// collect deletes the rows of the generation before the one that head, which has
// just been replaced by a newer generation, replaced. A row that stays harms
// nobody.
func collect(ctx context.Context, s *store.Store, head Entry) {
	if head.Generations == 0 {
		return
	}
	rows, err := s.Read(ctx, store.Query{
		Prefixes: []string{partsPrefix(head.Previous)},
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
	// What is left by an error is not tried again.
	_ = stage(ctx, s, w)
}
