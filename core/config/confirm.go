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

// Confirmation asks for a declaration to be put in force.
type Confirmation struct {
	// Base is the version that the declaration was planned against.
	Base        uint64
	Declaration *intent.Declaration
	// Operation identifies the confirmation when it is tried again.
	Operation string
	// Operator is the name of who confirms.
	Operator string
	// Reason says why, in a few words.
	Reason string
	At     time.Time
}

// Confirmed is the result of a confirmation that took effect.
type Confirmed struct {
	// Number is the version that the confirmation made.
	Number uint64
	// Newest is the newest version that is known now. It is older than Number
	// if the table could not be read again.
	Newest *Bundle
}

const (
	// commitTimeout bounds the commit of a version and the settling of its
	// answer if that is lost.
	commitTimeout = 4 * time.Second
	// shownChanges bounds the changes that the history keeps of a version.
	shownChanges = 50
)

// Confirm makes the confirmation's declaration the version after Base. Have is the newest version that the caller has. It is safe to
// call again with the same operation, which takes effect once.
//
// It returns PlanStale if Base is not in force any more, ConfirmRefused if the
// confirmation took no effect and never will, and ConfirmUnknown if the
// platform's answer was lost and cannot be read until ctx ends.
func Confirm(ctx context.Context, s *store.Store, have *Bundle, c Confirmation) (*Confirmed, error) {
	have, err := Load(ctx, s, have)
	if err != nil {
		return nil, code.Wrap(code.ConfirmRefused, err, "config: the table cannot be read, nothing was written")
	}
	state, err := read(ctx, s, c)
	if err != nil {
		return nil, code.Wrap(code.ConfirmRefused, err, "config: the table cannot be read, nothing was written")
	}
	if state.ended {
		return settled(ctx, s, have, c, state)
	}
	if state.head.Number < have.Number {
		return nil, code.New(code.ConfirmRefused, "config: the table holds version %d, older than version %d, which is in force", state.head.Number, have.Number)
	}
	if state.head.Number != c.Base {
		return nil, stale(ctx, s, c.Base)
	}
	n, err := prepare(have, c, state)
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
			collect(ctx, s, state.head)
		}
		return &Confirmed{
			Number: n.bundle.Number,
			Newest: n.bundle,
		}, nil
	case code.PlatformDown:
		return nil, code.Wrap(code.ConfirmRefused, err, "config: nothing was written")
	case code.PlatformConflict:
		return afterConflict(last, s, have, c)
	default:
		return settle(last, s, have, c, err)
	}
}

// readState is what the table says before a confirmation.
type readState struct {
	head Entry
	// headRow is the version of the head's row, or 0.
	headRow uint64
	// ended is true if the operation's row exists, which operation then holds.
	ended     bool
	operation operation
	// expired is the operation that falls out of the kept versions, or empty.
	expired string
}

func read(ctx context.Context, s *store.Store, c Confirmation) (readState, error) {
	x := readState{}
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
	x.headRow = m[headKey].Version
	if x.ended, err = m.decode(operationPrefix+c.Operation, &x.operation); err != nil {
		return x, err
	}
	old := Entry{}
	if c.Base >= keptVersions {
		if _, err := m.decode(historyKey(c.Base+1-keptVersions), &old); err != nil {
			return x, err
		}
	}
	x.expired = old.Operation
	return x, nil
}

// next is a version that is to be confirmed.
type next struct {
	bundle *Bundle
	// staged are the writes that go before the transaction and harm nobody
	// without it.
	staged []store.Write
	// transaction makes the version.
	transaction store.Transaction
}

// prepare returns the next version and what is to be written for it.
func prepare(have *Bundle, c Confirmation, x readState) (*next, error) {
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
	n := &next{}
	if n.bundle, err = have.Apply(d); err != nil {
		return nil, err
	}
	e := entry(have, n.bundle, d, c)
	e.Generation = x.head.Generation
	e.Generations = x.head.Generations
	e.Previous = x.head.Previous
	u := undo{}
	if d.large() {
		e.begin()
		u.Whole = true
		u.Generation = x.head.Generation
		n.staged, err = b.partRows(e.Generation)
	} else {
		u, err = undoOf(have, b)
	}
	if err != nil {
		return nil, err
	}
	n.transaction, err = transaction(c, x, e, u)
	if !e.Whole {
		n.transaction.Writes = append(n.transaction.Writes, partWrites(d, e.Generation)...)
	}
	return n, err
}

// undoOf returns what leads from b back to have.
func undoOf(have, b *Bundle) (undo, error) {
	d, err := have.DeltaFor(0, b.digests)
	if err != nil {
		return undo{}, err
	}
	return undo{
		Parts: d.Parts,
		Added: d.Removed,
	}, nil
}

// begin makes the entry's version begin a generation of its own.
func (e *Entry) begin() {
	e.Generations++
	e.Previous = e.Generation
	e.Generation = fmt.Sprintf("%d-%016x", e.Number, xxhash.Sum64String(e.Operation))
	e.Whole = true
	e.Changed = nil
	e.Removed = nil
}

// transaction returns the rows of a version besides its parts, with the
// conditions under which they are written.
func transaction(c Confirmation, x readState, e Entry, u undo) (store.Transaction, error) {
	t := store.Transaction{
		Conditions: []store.Condition{
			{
				Key:     headKey,
				Version: x.headRow,
			},
			{
				Key: operationPrefix + c.Operation,
			},
		},
	}
	o := operation{
		Number: e.Number,
	}
	for key, v := range map[string]any{
		headKey:                       e,
		historyKey(e.Number):          e,
		undoKey(e.Number):             u,
		operationPrefix + c.Operation: o,
	} {
		w, err := write(key, v)
		if err != nil {
			return t, err
		}
		t.Writes = append(t.Writes, w)
	}
	t.Writes = append(t.Writes, expire(e.Number, x.expired)...)
	return t, nil
}

func partWrites(d *Delta, generation string) []store.Write {
	prefix := partsPrefix(generation)
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

// expire deletes the rows of the version that is not kept any more.
func expire(number uint64, operation string) []store.Write {
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

func entry(have, next *Bundle, d *Delta, c Confirmation) Entry {
	e := Entry{
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

// stale returns the refusal of a plan against base, which says who confirmed
// what since.
func stale(ctx context.Context, s *store.Store, base uint64) error {
	const shown = 5
	entries, err := History(ctx, s, shown)
	if err != nil {
		return code.Wrap(code.PlanStale, err, "config: version %d is not in force any more", base)
	}
	said := []string{}
	for _, e := range entries {
		if e.Number > base {
			said = append(said, e.summary())
		}
	}
	return code.New(code.PlanStale, "config: the plan was made against version %d; since then %s", base, strings.Join(said, "; "))
}

// summary says in one sentence what the version changed.
func (e Entry) summary() string {
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
