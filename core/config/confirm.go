package config

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherford/core/code"
	"heatherford/core/intent"
	"heatherford/core/store"
)

// Confirmation is a request to put a declaration in force.
type Confirmation struct {
	// Base is the version that the declaration was planned against.
	Base        uint64
	Declaration *intent.Declaration
	// Operation identifies the confirmation, so that a retry does not take effect
	// twice.
	Operation string
	// Operator is the name of the operator who confirms.
	Operator string
	// Reason is a short description of why the change is made.
	Reason string
	At     time.Time
}

// Confirmed is the result of a confirmation that took effect.
type Confirmed struct {
	// Number is the version that the confirmation made.
	Number uint64
	// Newest is the newest known version. It is older than Number if the table
	// could not be read again.
	Newest *Bundle
}

const (
	// commitTimeout bounds the commit of a version, including the time to find
	// out its result if the answer is lost.
	commitTimeout = 4 * time.Second
	// shownChanges is the most changes that a version's history entry holds.
	shownChanges = 50
)

// Confirm puts the declaration of c in force as version c.Base+1. have is the
// newest version that the caller has. Confirm may be called again with the same
// operation, which takes effect only once.
//
// It returns PlanStale if Base is no longer in force, ConfirmRefused if the
// confirmation took no effect and never will, and ConfirmUnknown if the
// platform's answer was lost and could not be found out before ctx or
// commitTimeout ended.
func Confirm(ctx context.Context, s *store.Store, have *Bundle, c Confirmation) (*Confirmed, error) {
	have, err := Load(ctx, s, have)
	if err != nil {
		return nil, code.Wrap(code.ConfirmRefused, err, "config: the table cannot be read, nothing was written")
	}
	state, err := readTableState(ctx, s, c)
	if err != nil {
		return nil, code.Wrap(code.ConfirmRefused, err, "config: the table cannot be read, nothing was written")
	}
	if state.ended {
		return endedResult(ctx, s, have, c, state)
	}
	if state.head.Number < have.Number {
		return nil, code.New(code.ConfirmRefused, "config: the table holds version %d, older than version %d, which is in force", state.head.Number, have.Number)
	}
	if state.head.Number != c.Base {
		return nil, staleError(ctx, s, c.Base)
	}
	n, err := prepareVersion(have, c, state)
	if err != nil {
		return nil, err
	}
	if err := stage(ctx, s, n.staged); err != nil {
		return nil, code.Wrap(code.ConfirmRefused, err, "config: the parts cannot be written, nothing is in force")
	}
	last, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err = s.Commit(last, n.transaction)
	switch code.Of(err) {
	case 0:
		if n.staged != nil {
			deletePreviousGeneration(ctx, s, state.head)
		}
		return &Confirmed{
			Number: n.bundle.Number,
			Newest: n.bundle,
		}, nil
	case code.PlatformDown:
		return nil, code.Wrap(code.ConfirmRefused, err, "config: nothing was written")
	case code.PlatformConflict:
		return resolveConflict(last, s, have, c)
	default:
		return resolveLostAnswer(last, s, have, c, err)
	}
}

// tableState is what a confirmation reads from the table before it writes.
type tableState struct {
	head HistoryEntry
	// headRowVersion is the version of the head row, or 0 if there is none.
	headRowVersion uint64
	// ended is true if the operation's row exists; outcome is its value then.
	ended   bool
	outcome outcome
	// expired is the operation of the version that will no longer be kept, or
	// empty.
	expired string
}

func readTableState(ctx context.Context, s *store.Store, c Confirmation) (tableState, error) {
	x := tableState{}
	q := store.Query{
		Keys: []string{headKey, operationPrefix + c.Operation},
	}
	if c.Base >= keptVersions {
		q.Keys = append(q.Keys, historyKey(c.Base+1-keptVersions))
	}
	rows, err := s.Read(ctx, q)
	if err != nil {
		return x, err
	}
	m := newRowSet(rows)
	if _, err := m.decode(headKey, &x.head); err != nil {
		return x, err
	}
	x.headRowVersion = m[headKey].Version
	if x.ended, err = m.decode(operationPrefix+c.Operation, &x.outcome); err != nil {
		return x, err
	}
	old := HistoryEntry{}
	if c.Base >= keptVersions {
		if _, err := m.decode(historyKey(c.Base+1-keptVersions), &old); err != nil {
			return x, err
		}
	}
	x.expired = old.Operation
	return x, nil
}

// nextVersion is a version that is about to be confirmed.
type nextVersion struct {
	bundle *Bundle
	// staged are writes that are committed before the transaction. Without the
	// transaction, no reader uses their rows.
	staged []store.Write
	// transaction puts the version in force.
	transaction store.Transaction
}

// prepareVersion returns the next version and the writes that put it in force.
func prepareVersion(have *Bundle, c Confirmation, x tableState) (*nextVersion, error) {
	b, err := New(&intent.Version{
		Number:      c.Base + 1,
		Declaration: c.Declaration,
		Operation:   c.Operation,
		Operator:    c.Operator,
		ConfirmedAt: c.At,
	})
	if err != nil {
		return nil, err
	}
	d, err := b.DeltaFor(c.Base, have.digests)
	if err != nil {
		return nil, err
	}
	n := &nextVersion{}
	if n.bundle, err = have.Apply(d); err != nil {
		return nil, err
	}
	e := newEntry(have, n.bundle, d, c)
	e.Generation = x.head.Generation
	e.Generations = x.head.Generations
	e.Previous = x.head.Previous
	u := undo{}
	if d.isLarge() {
		e.beginGeneration()
		u.Full = true
		u.Generation = x.head.Generation
		n.staged, err = b.partRows(e.Generation)
	} else {
		u, err = newUndo(have, b)
	}
	if err != nil {
		return nil, err
	}
	n.transaction, err = transaction(c, x, e, u)
	if !e.Full {
		n.transaction.Writes = append(n.transaction.Writes, partWrites(d, e.Generation)...)
	}
	return n, err
}

// newUndo returns the row that restores have from b.
func newUndo(have, b *Bundle) (undo, error) {
	d, err := have.DeltaFor(0, b.digests)
	if err != nil {
		return undo{}, err
	}
	return undo{
		Parts: d.Parts,
		Added: d.Removed,
	}, nil
}

// beginGeneration gives the entry's version a new generation of rows.
func (e *HistoryEntry) beginGeneration() {
	e.Generations++
	e.Previous = e.Generation
	e.Generation = fmt.Sprintf("%d-%016x", e.Number, xxhash.Sum64String(e.Operation))
	e.Full = true
	e.Changed = nil
	e.Removed = nil
}

// transaction returns the writes of a version except those of its parts,
// with the conditions for all of them.
func transaction(c Confirmation, x tableState, e HistoryEntry, u undo) (store.Transaction, error) {
	t := store.Transaction{
		Conditions: []store.Condition{
			{
				Key:     headKey,
				Version: x.headRowVersion,
			},
			{
				Key: operationPrefix + c.Operation,
			},
		},
	}
	o := outcome{
		Number: e.Number,
	}
	for key, v := range map[string]any{
		headKey:                       e,
		historyKey(e.Number):          e,
		undoKey(e.Number):             u,
		operationPrefix + c.Operation: o,
	} {
		w, err := newWrite(key, v)
		if err != nil {
			return t, err
		}
		t.Writes = append(t.Writes, w)
	}
	t.Writes = append(t.Writes, expiredWrites(e.Number, x.expired)...)
	return t, nil
}

func partWrites(d *Delta, generation string) []store.Write {
	prefix := generationPrefix(generation)
	s := []store.Write{}
	for _, p := range d.Parts {
		s = append(s, store.Write{
			Key:   prefix + p.Name,
			Value: p.Data,
		})
	}
	for _, n := range d.Removed {
		s = append(s, store.Write{
			Key:    prefix + n,
			Delete: true,
		})
	}
	return s
}

// expiredWrites deletes the rows of the version that is no longer kept.
func expiredWrites(number uint64, operation string) []store.Write {
	if number <= keptVersions || operation == "" {
		return nil
	}
	s := []store.Write{}
	for _, k := range []string{historyKey(number - keptVersions), undoKey(number - keptVersions), operationPrefix + operation} {
		s = append(s, store.Write{
			Key:    k,
			Delete: true,
		})
	}
	return s
}

func newEntry(have, next *Bundle, d *Delta, c Confirmation) HistoryEntry {
	e := HistoryEntry{
		Meta:    next.Meta,
		Reason:  c.Reason,
		Removed: d.Removed,
	}
	for _, p := range d.Parts {
		e.Changed = append(e.Changed, p.Name)
	}
	old := (*intent.Declaration)(nil)
	if have.Version != nil {
		old = have.Version.Declaration
	}
	e.Changes = intent.Diff(old, next.Version.Declaration)
	if n := len(e.Changes); n > shownChanges {
		e.Changes = e.Changes[:shownChanges]
		e.More = n - shownChanges
	}
	return e
}

// staleError returns the error for a plan against base, which is no longer in
// force. It lists what was confirmed since, and by whom.
func staleError(ctx context.Context, s *store.Store, base uint64) error {
	const shown = 5
	entries, err := History(ctx, s, shown)
	if err != nil {
		return code.Wrap(code.PlanStale, err, "config: version %d is no longer in force", base)
	}
	summaries := []string{}
	for _, e := range entries {
		if e.Number > base {
			summaries = append(summaries, e.summary())
		}
	}
	return code.New(code.PlanStale, "config: the plan was made against version %d; since then %s", base, strings.Join(summaries, "; "))
}

// summary describes in one line what the version changed.
func (e HistoryEntry) summary() string {
	const shown = 3
	s := []string{}
	for _, c := range e.Changes[:min(shown, len(e.Changes))] {
		s = append(s, c.Path+" "+c.Text)
	}
	if n := len(e.Changes) + e.More - len(s); n > 0 {
		s = append(s, fmt.Sprintf("%d more", n))
	}
	return fmt.Sprintf("%s confirmed version %d (%s)", e.Operator, e.Number, strings.Join(s, ", "))
}
