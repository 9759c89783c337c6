package config

import (
	"context"
	"strings"

	"heatherford/core/code"
	"heatherford/core/store"
)

const (
	// loadTries is how often Load begins again when versions are confirmed
	// under it.
	loadTries = 4
	// maxSteps is the most versions that Load catches up with one by one.
	maxSteps = 64
)

// Load returns the newest version in the table, given the one that the caller
// has: it reads one small row if that is the newest, and else the parts that
// changed. It returns have if the table holds none or an older one.
func Load(ctx context.Context, s *store.Store, have *Bundle) (*Bundle, error) {
	for range loadTries {
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

func readHead(ctx context.Context, s *store.Store) (Entry, error) {
	e := Entry{}
	rows, err := s.Read(ctx, store.Query{
		Keys: []string{headKey},
	})
	if err != nil {
		return e, err
	}
	_, err = newRowSet(rows).decode(headKey, &e)
	return e, err
}

// catchUp returns the version number, or nil if the table has gone on since.
func catchUp(ctx context.Context, s *store.Store, have *Bundle, number uint64, generation string) (*Bundle, error) {
	changed, ok, err := changedSince(ctx, s, have.Number, number)
	if err != nil {
		return nil, err
	}
	if have.Number == 0 || !ok {
		return loadWhole(ctx, s)
	}
	prefix := partsPrefix(generation)
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
	head := Entry{}
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
		return loadWhole(ctx, s)
	}
	return b, nil
}

// changedSince returns the names of the parts that differ between two versions,
// and whether they are known.
func changedSince(ctx context.Context, s *store.Store, from, to uint64) ([]string, bool, error) {
	if to-from > maxSteps {
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
		e := Entry{}
		if ok, err := m.decode(k, &e); !ok || err != nil || e.Whole {
			return nil, false, err
		}
		for _, n := range append(e.Changed, e.Removed...) {
			set[n] = true
		}
	}
	return names(set), true, nil
}

// loadWhole returns the newest version without what the caller has, or nil if the
// table has gone on meanwhile.
func loadWhole(ctx context.Context, s *store.Store) (*Bundle, error) {
	head, err := readHead(ctx, s)
	if err != nil {
		return nil, err
	}
	rows, err := s.Read(ctx, store.Query{
		Keys:     []string{headKey},
		Prefixes: []string{partsPrefix(head.Generation)},
	})
	if err != nil {
		return nil, err
	}
	now := Entry{}
	if _, err := newRowSet(rows).decode(headKey, &now); err != nil || now.Generation != head.Generation {
		return nil, err
	}
	b, err := Empty().Apply(&Delta{
		Meta:  now.Meta,
		Parts: parts(rows, now.Generation),
	})
	if err != nil {
		return nil, err
	}
	// A whole version is no delta that others could use.
	b.recent = nil
	return b, nil
}

// parts returns the parts of the generation among the rows.
func parts(rows []store.Row, generation string) []Part {
	s := []Part{}
	for _, r := range rows {
		if n, ok := strings.CutPrefix(r.Key, partsPrefix(generation)); ok {
			s = append(s, Part{
				Name: n,
				Data: r.Value,
			})
		}
	}
	return s
}

// History returns the entries of the newest versions, the newest first.
func History(ctx context.Context, s *store.Store, count int) ([]Entry, error) {
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
	entries := []Entry{}
	for _, k := range q.Keys {
		e := Entry{}
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
