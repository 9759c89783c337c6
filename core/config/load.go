package config

import (
	"context"
	"strings"

	"heatherford/core/code"
	"heatherford/core/store"
)

const (
	// loadAttempts is how many times Load tries to read a consistent version
	// while others are being confirmed.
	loadAttempts = 4
	// maxCatchUp is the most versions by which Load catches up through the
	// history. Beyond that, it reads all parts.
	maxCatchUp = 64
)

// Load returns the newest version in the table. have is the version that the
// caller has: if it is the newest, Load reads one small row, otherwise the parts
// that changed. Load returns have if the table is empty or holds an older
// version.
func Load(ctx context.Context, s *store.Store, have *Bundle) (*Bundle, error) {
	for range loadAttempts {
		head, err := readHead(ctx, s)
		if err != nil {
			return nil, err
		}
		if head.Number <= have.Number {
			return have, nil
		}
		b, err := catchUp(ctx, s, have, head.Number, head.Generation)
		if err != nil || b != nil {
			return b, err
		}
	}
	return nil, code.New(code.PlatformConflict, "config: versions are confirmed faster than they can be read")
}

func readHead(ctx context.Context, s *store.Store) (HistoryEntry, error) {
	e := HistoryEntry{}
	rows, err := s.Read(ctx, store.Query{
		Keys: []string{headKey},
	})
	if err != nil {
		return e, err
	}
	_, err = newRowSet(rows).decode(headKey, &e)
	return e, err
}

// catchUp returns version number or, if it has to read all parts, the newest
// version. It returns nil if the table has changed in the meantime.
func catchUp(ctx context.Context, s *store.Store, have *Bundle, number uint64, generation string) (*Bundle, error) {
	changed, ok, err := changedSince(ctx, s, have.Number, number)
	if err != nil {
		return nil, err
	}
	if have.Number == 0 || !ok {
		return loadFull(ctx, s)
	}
	prefix := generationPrefix(generation)
	q := store.Query{
		Keys: []string{headKey},
	}
	for _, n := range changed {
		q.Keys = append(q.Keys, prefix+n)
	}
	rows, err := s.Read(ctx, q)
	if err != nil {
		return nil, err
	}
	m := newRowSet(rows)
	head := HistoryEntry{}
	if _, err := m.decode(headKey, &head); err != nil || head.Number != number {
		return nil, err
	}
	d := &Delta{
		Meta: head.Meta,
		Base: have.Number,
	}
	for _, n := range changed {
		r, ok := m[prefix+n]
		if !ok {
			d.Removed = append(d.Removed, n)
			continue
		}
		d.Parts = append(d.Parts, Part{
			Name: n,
			Data: r.Value,
		})
	}
	b, err := have.Apply(d)
	if err != nil {
		return loadFull(ctx, s)
	}
	return b, nil
}

// changedSince returns the names of the parts that differ between two versions.
// It returns false if they cannot be told from the history.
func changedSince(ctx context.Context, s *store.Store, from, to uint64) ([]string, bool, error) {
	if to-from > maxCatchUp {
		return nil, false, nil
	}
	q := store.Query{}
	for n := from + 1; n <= to; n++ {
		q.Keys = append(q.Keys, historyKey(n))
	}
	rows, err := s.Read(ctx, q)
	if err != nil {
		return nil, false, err
	}
	m := newRowSet(rows)
	set := map[string]bool{}
	for _, k := range q.Keys {
		e := HistoryEntry{}
		if ok, err := m.decode(k, &e); !ok || err != nil || e.Full {
			return nil, false, err
		}
		for _, n := range append(e.Changed, e.Removed...) {
			set[n] = true
		}
	}
	return sortedKeys(set), true, nil
}

// loadFull reads all parts and returns the newest version, or nil if a new
// generation has begun in the meantime.
func loadFull(ctx context.Context, s *store.Store) (*Bundle, error) {
	head, err := readHead(ctx, s)
	if err != nil {
		return nil, err
	}
	rows, err := s.Read(ctx, store.Query{
		Keys:     []string{headKey},
		Prefixes: []string{generationPrefix(head.Generation)},
	})
	if err != nil {
		return nil, err
	}
	now := HistoryEntry{}
	if _, err := newRowSet(rows).decode(headKey, &now); err != nil || now.Generation != head.Generation {
		return nil, err
	}
	b, err := Empty().Apply(&Delta{
		Meta:  now.Meta,
		Parts: generationParts(rows, now.Generation),
	})
	if err != nil {
		return nil, err
	}
	// The delta from version 0 lists no removed parts, so that hosts with an
	// older version could not apply it.
	b.recentDeltas = nil
	return b, nil
}

// generationParts returns the parts of the generation among the rows.
func generationParts(rows []store.Row, generation string) []Part {
	s := []Part{}
	for _, r := range rows {
		if n, ok := strings.CutPrefix(r.Key, generationPrefix(generation)); ok {
			s = append(s, Part{
				Name: n,
				Data: r.Value,
			})
		}
	}
	return s
}

// History returns the history entries of the newest versions, the newest first,
// and at most count of them.
func History(ctx context.Context, s *store.Store, count int) ([]HistoryEntry, error) {
	head, err := readHead(ctx, s)
	if err != nil {
		return nil, err
	}
	q := store.Query{}
	for n := head.Number; n > 0 && len(q.Keys) < count; n-- {
		q.Keys = append(q.Keys, historyKey(n))
	}
	rows, err := s.Read(ctx, q)
	if err != nil {
		return nil, err
	}
	m := newRowSet(rows)
	entries := []HistoryEntry{}
	for _, k := range q.Keys {
		e := HistoryEntry{}
		ok, err := m.decode(k, &e)
		if err != nil {
			return nil, err
		}
		if ok {
			entries = append(entries, e)
		}
	}
	return entries, nil
}
