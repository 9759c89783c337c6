package config

import (
	"context"

	"heatherford/core/code"
	"heatherford/core/intent"
	"heatherford/core/store"
)

// At returns the declaration of an earlier version than have, which is in
// force.
func At(ctx context.Context, s *store.Store, have *Bundle, number uint64) (*intent.Declaration, error) {
	if number == 0 || number > have.Number {
		return nil, code.New(code.OperatorInput, "config: there is no version %d", number)
	}
	q := store.Query{}
	for n := have.Number; n > number; n-- {
		q.Keys = append(q.Keys, undoKey(n))
	}
	rows, err := s.Read(ctx, q)
	if err != nil {
		return nil, err
	}
	m := newRowSet(rows)
	pieces := map[string]*piece{}
	for n, p := range have.pieces {
		pieces[n] = p
	}
	for _, k := range q.Keys {
		u := undo{}
		ok, err := m.decode(k, &u)
		if err != nil {
			return nil, err
		}
		if !ok {
			return nil, code.New(code.OperatorInput, "config: version %d is not kept any more", number)
		}
		if u.Whole {
			pieces, err = generationPieces(ctx, s, u.Generation)
		} else {
			err = u.apply(pieces)
		}
		if err != nil {
			return nil, err
		}
	}
	d, err := join(pieces)
	if err != nil {
		return nil, err
	}
	d.Blocks = joinBlocks(pieces)
	return d, nil
}

func (u undo) apply(pieces map[string]*piece) error {
	for _, n := range u.Added {
		delete(pieces, n)
	}
	for _, p := range u.Parts {
		q, err := decode(p)
		if err != nil {
			return err
		}
		pieces[p.Name] = q
	}
	return nil
}

// generationPieces returns the pieces of a generation that has ended, which are
// those of its last version.
func generationPieces(ctx context.Context, s *store.Store, generation string) (map[string]*piece, error) {
	rows, err := s.Read(ctx, store.Query{
		Prefixes: []string{partsPrefix(generation)},
	})
	if err != nil {
		return nil, err
	}
	if len(rows) == 0 {
		return nil, code.New(code.OperatorInput, "config: the versions before that many changes are not kept any more")
	}
	m := map[string]*piece{}
	for _, p := range parts(rows, generation) {
		if m[p.Name], err = decode(p); err != nil {
			return nil, err
		}
	}
	return m, nil
}
