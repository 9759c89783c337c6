package config

import (
	"context"
	"encoding/json"
	"fmt"

	"heatherford/core/code"
	"heatherford/core/intent"
	"heatherford/core/store"
)

// HeadKey is the key of the row that holds the version in force.
const HeadKey = "config/head"

// HistoryPrefix starts the keys of all versions.
const HistoryPrefix = "config/history/"

// Head returns the version in force and the row's version, or nil and 0 if
// nothing was ever confirmed.
func Head(ctx context.Context, s *store.Store) (*intent.Version, uint64, error) {
	rows, err := s.Read(ctx, store.Query{
		Keys: []string{HeadKey},
	})
	if err != nil {
		return nil, 0, err
	}
	if len(rows) == 0 {
		return nil, 0, nil
	}
	v, err := Decode(rows[0].Value)
	return v, rows[0].Version, err
}

// Confirm makes d the version after base. It returns PlanStale if base is not
// in force any more.
func Confirm(ctx context.Context, s *store.Store, base uint64, d *intent.Declaration, operation string) (*intent.Version, error) {
	head, row, err := Head(ctx, s)
	if err != nil {
		return nil, err
	}
	if head != nil && head.Operation == operation {
		return head, nil
	}
	number := uint64(0)
	if head != nil {
		number = head.Number
	}
	if number != base {
		return nil, code.New(code.PlanStale, "config: version %d is in force, the plan was made against %d", number, base)
	}
	v := &intent.Version{
		Number:      base + 1,
		Declaration: d,
		Operation:   operation,
	}
	b, err := json.Marshal(v)
	if err != nil {
		return nil, code.Wrap(code.DeclarationInvalid, err, "config: cannot encode the declaration")
	}
	_, err = s.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{
			{
				Key:     HeadKey,
				Version: row,
			},
		},
		Writes: []store.Write{
			{
				Key:   HeadKey,
				Value: b,
			},
			{
				Key:   fmt.Sprintf("%s%012d", HistoryPrefix, v.Number),
				Value: b,
			},
		},
	})
	if code.Of(err) == code.PlatformConflict {
		return nil, code.Wrap(code.PlanStale, err, "config: another operator confirmed first")
	}
	if err != nil {
		return nil, err
	}
	return v, nil
}

// Decode parses a row's value.
func Decode(b []byte) (*intent.Version, error) {
	v := &intent.Version{}
	if err := json.Unmarshal(b, v); err != nil {
		return nil, code.Wrap(code.DeclarationInvalid, err, "config: cannot decode a version")
	}
	return v, nil
}
