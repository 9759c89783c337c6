package config_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/code"
	"heatherford/core/config"
	"heatherford/core/intent"
)

var at = time.Date(2026, 12, 4, 18, 0, 0, 0, time.UTC)

func confirmation(base uint64, d *intent.Declaration, operation string) config.Confirmation {
	return config.Confirmation{
		Base:        base,
		Declaration: d,
		Operation:   operation,
		Operator:    "ann",
		Reason:      "test",
		At:          at,
	}
}

func confirm(f *fake, have *config.Bundle, x config.Confirmation) (*config.Confirmed, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 250*time.Millisecond)
	defer cancel()
	return config.Confirm(ctx, f.store(), have, x)
}

func TestConfigRaceOfTwoOperators(t *testing.T) {
	c := qt.New(t)
	f := newFake()
	first, err := confirm(f, config.Empty(), confirmation(0, declaration(0, 2), "one"))
	c.Assert(err, qt.IsNil)
	c.Assert(first.Number, qt.Equals, uint64(1))

	d := declaration(0, 2)
	d.Upstreams[0].Endpoints[1].Leaving = true
	a, err := confirm(f, first.Newest, confirmation(1, d, "two"))
	c.Assert(err, qt.IsNil)
	c.Assert(a.Number, qt.Equals, uint64(2))
	_, err = confirm(f, first.Newest, confirmation(1, declaration(0, 3), "three"))
	c.Assert(code.Of(err), qt.Equals, code.PlanStale)
	c.Assert(err, qt.ErrorMatches, `.*ann confirmed version 2 \(endpoint "desk/main/desk-1" leaving false becomes true\).*`)

	// Confirming the winning operation again returns the version that it made.
	again, err := confirm(f, first.Newest, confirmation(1, d, "two"))
	c.Assert(err, qt.IsNil)
	c.Assert(again.Number, qt.Equals, uint64(2))
	c.Assert(again.Newest.Number, qt.Equals, uint64(2))
}

func TestConfigConfirmWithLostAnswer(t *testing.T) {
	tests := []struct {
		name      string
		commits   []fault
		downReads int
		code      code.Code
		// number is the version in the table afterwards.
		number uint64
		// retryCode is the code returned when the same confirmation is tried
		// after the faults.
		retryCode code.Code
	}{
		{
			name:    "write took effect",
			commits: []fault{loseAnswer},
			number:  1,
		},
		{
			name:      "write took no effect",
			commits:   []fault{delayCommit},
			code:      code.ConfirmRefused,
			retryCode: code.ConfirmRefused,
		},
		{
			name:      "answer of the tombstone is lost as well",
			commits:   []fault{delayCommit, loseAnswer},
			code:      code.ConfirmRefused,
			retryCode: code.ConfirmRefused,
		},
		{
			name:      "platform is down before the write",
			commits:   []fault{down},
			code:      code.ConfirmRefused,
			retryCode: 0,
		},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFake()
			f.commits = x.commits
			_, err := confirm(f, config.Empty(), confirmation(0, declaration(0, 1), "one"))
			c.Assert(code.Of(err), qt.Equals, x.code)
			// The delayed commits arrive after the confirmation has been
			// resolved.
			for _, h := range f.delayed {
				f.table.Commit(h)
			}
			b, err := config.Load(context.Background(), f.store(), config.Empty())
			c.Assert(err, qt.IsNil)
			c.Assert(b.Number, qt.Equals, x.number)
			_, err = confirm(f, config.Empty(), confirmation(0, declaration(0, 1), "one"))
			c.Assert(code.Of(err), qt.Equals, x.retryCode)
		})
	}
}

func TestConfigConfirmNotKnownYet(t *testing.T) {
	c := qt.New(t)
	f := newFake()
	f.commits = []fault{loseAnswer}
	s := f.store()
	commit := s.Commit
	reads := s.Read
	s.Commit = commit
	// The table cannot be read after the commit.
	const readsBefore = 2
	n := 0
	s.Read = reads
	calls := func() {
		n++
		if n > readsBefore {
			f.downReads = 1
		}
	}
	s.Read = beforeRead(reads, calls)
	ctx, cancel := context.WithTimeout(context.Background(), 250*time.Millisecond)
	defer cancel()
	x := confirmation(0, declaration(0, 1), "one")
	_, err := config.Confirm(ctx, s, config.Empty(), x)
	c.Assert(code.Of(err), qt.Equals, code.ConfirmUnknown)
	c.Assert(err, qt.ErrorMatches, `.*confirm again with operation "one" or look at the history.*`)

	// Confirmed again after the outage, the operation has taken effect exactly
	// once.
	f.downReads = 0
	a, err := confirm(f, config.Empty(), x)
	c.Assert(err, qt.IsNil)
	c.Assert(a.Number, qt.Equals, uint64(1))
}

func TestConfigRefusesATableThatWentBack(t *testing.T) {
	c := qt.New(t)
	f := newFake()
	a, err := confirm(f, config.Empty(), confirmation(0, declaration(0, 1), "one"))
	c.Assert(err, qt.IsNil)
	_, err = confirm(newFake(), a.Newest, confirmation(1, declaration(0, 2), "two"))
	c.Assert(code.Of(err), qt.Equals, code.ConfirmRefused)
}

func TestConfigCostsBytesInProportion(t *testing.T) {
	c := qt.New(t)
	f := newFake()
	const blocks = 20000
	d := declaration(blocks, 40)
	a, err := confirm(f, config.Empty(), confirmation(0, d, "one"))
	c.Assert(err, qt.IsNil)
	whole := f.written

	f.written = 0
	d = declaration(blocks, 40)
	d.Blocks[77].Site = "site-0"
	b, err := confirm(f, a.Newest, confirmation(1, d, "two"))
	c.Assert(err, qt.IsNil)
	c.Logf("first version %d bytes, one block changed %d bytes", whole, f.written)
	c.Assert(f.written < whole/100, qt.IsTrue)

	// A reader that has version 1 reads a similarly small amount, and so is one
	// delta.
	f.readBytes = 0
	r, err := config.Load(context.Background(), f.store(), a.Newest)
	c.Assert(err, qt.IsNil)
	c.Assert(r.Checksum, qt.Equals, b.Newest.Checksum)
	c.Assert(f.readBytes < whole/100, qt.IsTrue)
	s, ok := r.DeltasSince(1)
	c.Assert(ok, qt.IsTrue)
	e, err := a.Newest.Apply(s[0])
	c.Assert(err, qt.IsNil)
	c.Assert(e.Checksum, qt.Equals, b.Newest.Checksum)

	// A reader that has nothing reads all parts and gets the same declaration.
	w, err := config.Load(context.Background(), f.store(), config.Empty())
	c.Assert(err, qt.IsNil)
	c.Assert(w.Version.Declaration, qt.CmpEquals(cmpAddresses), r.Version.Declaration)
}

func TestConfigRollbackIsAnEarlierDeclaration(t *testing.T) {
	c := qt.New(t)
	f := newFake()
	have := config.Empty()
	for i := range 5 {
		a, err := confirm(f, have, confirmation(uint64(i), declaration(i*10, 5-i), fmt.Sprint(i)))
		c.Assert(err, qt.IsNil)
		have = a.Newest
	}
	for i := range 5 {
		d, err := config.DeclarationAt(context.Background(), f.store(), have, uint64(i+1))
		c.Assert(err, qt.IsNil)
		c.Assert(intent.Diff(d, declaration(i*10, 5-i)), qt.HasLen, 0)
	}
	h, err := config.History(context.Background(), f.store(), 2)
	c.Assert(err, qt.IsNil)
	c.Assert(h, qt.HasLen, 2)
	c.Assert(h[0].Number, qt.Equals, uint64(5))
	c.Assert(h[0].Operator, qt.Equals, "ann")
	c.Assert(h[0].ConfirmedAt.Equal(at), qt.IsTrue)
}

// A change that is too large for one transaction has its parts written first.
// Until the head row names them, readers get the previous version.
func TestConfigLargeChanges(t *testing.T) {
	c := qt.New(t)
	f := newFake()
	load := func(have *config.Bundle) *config.Bundle {
		b, err := config.Load(context.Background(), f.store(), have)
		c.Assert(err, qt.IsNil)
		return b
	}
	a, err := confirm(f, config.Empty(), confirmation(0, declaration(10, 2), "one"))
	c.Assert(err, qt.IsNil)
	first := a.Newest

	// If the platform goes down between these writes, the previous version stays
	// in force.
	const blocks = 8000
	large := confirmation(1, declaration(blocks, 2), "two")
	f.commits = []fault{0, 0, down}
	_, err = confirm(f, first, large)
	c.Assert(code.Of(err), qt.Equals, code.ConfirmRefused)
	c.Assert(load(config.Empty()).Checksum, qt.Equals, first.Checksum)
	f.commits = nil

	b, err := confirm(f, first, large)
	c.Assert(err, qt.IsNil)
	c.Assert(b.Number, qt.Equals, uint64(2))
	const bound = 300 << 10
	c.Assert(f.largest < bound, qt.IsTrue, qt.Commentf("%d bytes", f.largest))
	c.Assert(f.mostRows <= 400, qt.IsTrue, qt.Commentf("%d rows", f.mostRows))
	c.Assert(load(first).Checksum, qt.Equals, b.Newest.Checksum)

	// The next change is small again, and both versions can be reached from it.
	f.written = 0
	d, err := confirm(f, b.Newest, confirmation(2, declaration(blocks, 3), "three"))
	c.Assert(err, qt.IsNil)
	c.Assert(f.written < 20<<10, qt.IsTrue, qt.Commentf("%d bytes", f.written))
	c.Assert(load(b.Newest).Checksum, qt.Equals, d.Newest.Checksum)
	c.Assert(load(first).Checksum, qt.Equals, d.Newest.Checksum)
	for n, want := range []*intent.Declaration{declaration(10, 2), declaration(blocks, 2), declaration(blocks, 3)} {
		got, err := config.DeclarationAt(context.Background(), f.store(), d.Newest, uint64(n+1))
		c.Assert(err, qt.IsNil)
		c.Assert(intent.Diff(got, want), qt.HasLen, 0)
	}

	// Two generations of rows are kept. When a third begins, the oldest is
	// deleted.
	e, err := confirm(f, d.Newest, confirmation(3, declaration(2*blocks, 3), "four"))
	c.Assert(err, qt.IsNil)
	c.Assert(load(first).Checksum, qt.Equals, e.Newest.Checksum)
	got, err := config.DeclarationAt(context.Background(), f.store(), e.Newest, 2)
	c.Assert(err, qt.IsNil)
	c.Assert(intent.Diff(got, declaration(blocks, 2)), qt.HasLen, 0)
	_, err = config.DeclarationAt(context.Background(), f.store(), e.Newest, 1)
	c.Assert(code.Of(err), qt.Equals, code.OperatorInput)
}
