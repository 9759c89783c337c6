package config

import (
	"context"

	"heatherford/core/code"
	"heatherford/core/intent"
	"heatherford/core/store"
)

// DeclarationAt returns the declaration of version number, which is at most that
// of have. have is the version in force.
func DeclarationAt(ctx context.Context, s *store.Store, have *Bundle, number uint64) (*intent.Declaration, error) {
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
	contents := map[string]*content{}
	for n, p := range have.contents {
		contents[n] = p
	}
	for _, k := range q.Keys {
		u := undo{}
		ok, err := m.decode(k, &u)
		if err != nil {
			return nil, err
		}
		if !ok {
			return nil, code.New(code.OperatorInput, "config: version %d is no longer kept", number)
		}
		if u.Full {
			contents, err = generationContents(ctx, s, u.Generation)
		} else {
			err = u.apply(contents)
		}
		if err != nil {
			return nil, err
		}
	}
	d, err := join(contents)
	if err != nil {
		return nil, err
	}
	d.Blocks = joinBlocks(contents)
	return d, nil
}

func (u undo) apply(pieces map[string]*content) error {
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

// generationContents returns the contents of the parts of an earlier generation.
// They are those of its last version.
func generationContents(ctx context.Context, s *store.Store, generation string) (map[string]*content, error) {
	rows, err := s.Read(ctx, store.Query{
		Prefixes: []string{generationPrefix(generation)},
	})
	if err != nil {
		return nil, err
	}
	if len(rows) == 0 {
		return nil, code.New(code.OperatorInput, "config: the parts of that version are no longer kept")
	}
	m := map[string]*content{}
	for _, p := range generationParts(rows, generation) {
		if m[p.Name], err = decode(p); err != nil {
			return nil, err
		}
	}
	return m, nil
}
