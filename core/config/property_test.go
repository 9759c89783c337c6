package config_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"heatherford/core/code"
	"heatherford/core/config"
	"heatherford/core/intent"
	"heatherford/core/store"
)

var cmpAddresses = cmp.Options{
	cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }),
	cmp.Comparer(func(a, b netip.Prefix) bool { return a == b }),
}

// beforeRead returns a function that calls f and then read.
func beforeRead(read func(context.Context, store.Query) ([]store.Row, error), f func()) func(context.Context, store.Query) ([]store.Row, error) {
	return func(ctx context.Context, q store.Query) ([]store.Row, error) {
		f()
		return read(ctx, q)
	}
}

// Readers catch up in random order through the table, deltas or digests. Each
// must end with the declaration that was confirmed, whatever changed in between.
func TestConfigReadersAgree(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := qt.New(trial{
			TB:    t,
			rapid: r,
		})
		f := newFake()
		versions := []*config.Bundle{config.Empty()}
		readers := []*config.Bundle{config.Empty(), config.Empty(), config.Empty()}
		steps := rapid.IntRange(1, 8).Draw(r, "steps")
		for i := range steps {
			d := declaration(rapid.IntRange(0, 80).Draw(r, "blocks"), rapid.IntRange(0, 70).Draw(r, "endpoints"))
			d.Name = string(rune('a' + i))
			a, err := confirm(f, versions[i], confirmation(uint64(i), d, d.Name))
			c.Assert(err, qt.IsNil)
			versions = append(versions, a.Newest)
			n := rapid.IntRange(0, len(readers)-1).Draw(r, "reader")
			readers[n] = catchUp(c, r, f, readers[n], a.Newest)
			c.Assert(readers[n].Checksum, qt.Equals, a.Newest.Checksum)
			c.Assert(intent.Diff(readers[n].Version.Declaration, d), qt.HasLen, 0)
		}
	})
}

func catchUp(c *qt.C, r *rapid.T, f *fake, have, newest *config.Bundle) *config.Bundle {
	switch rapid.IntRange(0, 2).Draw(r, "way") {
	case 0:
		b, err := config.Load(context.Background(), f.store(), have)
		c.Assert(err, qt.IsNil)
		return b
	case 1:
		if s, ok := newest.DeltasSince(have.Number); ok {
			for _, d := range s {
				b, err := have.Apply(d)
				c.Assert(err, qt.IsNil)
				have = b
			}
			return have
		}
	}
	d, err := newest.DeltaFor(have.Number, have.Digests())
	c.Assert(err, qt.IsNil)
	b, err := have.Apply(d)
	c.Assert(err, qt.IsNil)
	return b
}

// A delta that does not fit the version is refused; it must not yield another
// declaration.
func TestConfigRefusesAForeignDelta(t *testing.T) {
	c := qt.New(t)
	f := newFake()
	a, err := confirm(f, config.Empty(), confirmation(0, declaration(50, 3), "one"))
	c.Assert(err, qt.IsNil)
	b, err := confirm(f, a.Newest, confirmation(1, declaration(50, 4), "two"))
	c.Assert(err, qt.IsNil)
	s, ok := b.Newest.DeltasSince(1)
	c.Assert(ok, qt.IsTrue)
	_, err = config.Empty().Apply(s[0])
	c.Assert(code.Of(err), qt.Equals, code.DeclarationInvalid)
	_, err = b.Newest.Apply(s[0])
	c.Assert(code.Of(err), qt.Equals, code.DeclarationInvalid)
}

// A host may serve only after it has asked the table or a quorum since its start
// and since the end of the last pause.
func TestConfigFreshnessAfterPauses(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := qt.New(trial{
			TB:    t,
			rapid: r,
		})
		now := time.Unix(1000, 0)
		f := config.NewFreshness(now)
		q := config.Quorum{
			Hosts: rapid.IntRange(1, 5).Draw(r, "hosts"),
			Zones: 1,
		}
		if q.Hosts > 1 {
			q.Zones = 2
		}
		asked := now
		compared := false
		peers := map[int]bool{}
		for range rapid.IntRange(1, 60).Draw(r, "events") {
			switch rapid.IntRange(0, 4).Draw(r, "event") {
			case 0:
				now = now.Add(100 * time.Millisecond)
				f.CheckPause(now)
			case 1:
				now = now.Add(5 * time.Second)
				compared = false
				peers = map[int]bool{}
				c.Assert(f.MayServe(now), qt.IsFalse)
				c.Assert(f.CheckPause(now), qt.IsTrue)
				// The answer to a question from before the pause arrives.
				f.RecordTableRead(asked)
			case 2:
				asked = now
			case 3:
				asked = now
				f.RecordTableRead(now)
				compared = true
			case 4:
				i := rapid.IntRange(0, q.Hosts-1).Draw(r, "peer")
				peers[i] = true
				f.RecordPeer(string(rune('a'+i)), string(rune('a'+min(i, 1))), now, q)
				compared = compared || (len(peers) >= min(3, q.Hosts) && (q.Zones == 1 || peers[0]))
			}
			c.Assert(f.MayServe(now), qt.Equals, compared)
		}
	})
}
