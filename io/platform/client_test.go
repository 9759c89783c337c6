package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"heatherford/core/code"
	"heatherford/core/store"
	"heatherford/io/platform"
	standin "heatherford/standin/platform"
)

// open returns a store on a stand-in that the test may fault.
func open(c *qt.C) (store.Store, *standin.Platform) {
	p := standin.New(nil)
	s := httptest.NewServer(p.Handler())
	c.Cleanup(s.Close)
	return platform.New(s.URL), p
}

func put(key, value string, condition uint64) store.Transaction {
	return store.Transaction{
		Conditions: []store.Condition{
			{
				Key:     key,
				Version: condition,
			},
		},
		Writes: []store.Write{
			{
				Key:   key,
				Value: []byte(value),
			},
		},
	}
}

// readA returns the value and version of the row "a".
func readA(c *qt.C, s store.Store) (string, uint64) {
	rows, err := s.Read(context.Background(), store.Query{
		Keys: []string{"a"},
	})
	c.Assert(err, qt.IsNil)
	if len(rows) == 0 {
		return "", 0
	}
	return string(rows[0].Value), rows[0].Version
}

func TestCommitHoldsItsConditions(t *testing.T) {
	c := qt.New(t)
	s, _ := open(c)
	ctx := context.Background()
	first, err := s.Commit(ctx, put("a", "1", 0))
	c.Assert(err, qt.IsNil)
	_, err = s.Commit(ctx, put("a", "2", 0))
	c.Assert(code.Of(err), qt.Equals, code.PlatformConflict)
	_, err = s.Commit(ctx, put("a", "3", first.Version))
	c.Assert(err, qt.IsNil)
	_, err = s.Commit(ctx, put("a", "4", first.Version))
	c.Assert(code.Of(err), qt.Equals, code.PlatformConflict)
	v, _ := readA(c, s)
	c.Assert(v, qt.Equals, "3")
}

func TestCommitIsWholeOrNothing(t *testing.T) {
	c := qt.New(t)
	s, _ := open(c)
	x := put("a", "1", 0)
	x.Conditions = append(x.Conditions, store.Condition{
		Key:     "b",
		Version: 7,
	})
	_, err := s.Commit(context.Background(), x)
	c.Assert(code.Of(err), qt.Equals, code.PlatformConflict)
	_, n := readA(c, s)
	c.Assert(n, qt.Equals, uint64(0))
}

func TestVersionGrowsOverADeletion(t *testing.T) {
	c := qt.New(t)
	s, _ := open(c)
	ctx := context.Background()
	first, err := s.Commit(ctx, put("a", "1", 0))
	c.Assert(err, qt.IsNil)
	_, err = s.Commit(ctx, store.Transaction{
		Writes: []store.Write{
			{
				Key:    "a",
				Delete: true,
			},
		},
	})
	c.Assert(err, qt.IsNil)
	again, err := s.Commit(ctx, put("a", "1", 0))
	c.Assert(err, qt.IsNil)
	c.Assert(again.Version > first.Version, qt.IsTrue)
}

func TestReadReturnsPrefixesInOrder(t *testing.T) {
	c := qt.New(t)
	s, _ := open(c)
	ctx := context.Background()
	for _, k := range []string{"g/b", "h/a", "g/a"} {
		_, err := s.Commit(ctx, put(k, k, 0))
		c.Assert(err, qt.IsNil)
	}
	rows, err := s.Read(ctx, store.Query{
		Prefixes: []string{"g/"},
	})
	c.Assert(err, qt.IsNil)
	c.Assert(rows, qt.HasLen, 2)
	c.Assert(rows[0].Key, qt.Equals, "g/a")
	c.Assert(rows[1].Key, qt.Equals, "g/b")
}

func TestObjectsAreReplacedAndListed(t *testing.T) {
	c := qt.New(t)
	s, _ := open(c)
	ctx := context.Background()
	_, err := s.GetObject(ctx, "day/1")
	c.Assert(code.Of(err), qt.Equals, code.ObjectMissing)
	c.Assert(s.PutObject(ctx, "day/1", []byte("a")), qt.IsNil)
	c.Assert(s.PutObject(ctx, "day/1", []byte("b")), qt.IsNil)
	b, err := s.GetObject(ctx, "day/1")
	c.Assert(err, qt.IsNil)
	c.Assert(string(b), qt.Equals, "b")
	names, err := s.ListObjects(ctx, "day/")
	c.Assert(err, qt.IsNil)
	c.Assert(names, qt.DeepEquals, []string{"day/1"})
}

func TestLostAnswerIsUnknownAndTookEffect(t *testing.T) {
	c := qt.New(t)
	s, p := open(c)
	ctx := context.Background()
	p.SetFaults(standin.Faults{
		LoseAnswers: true,
	})
	_, err := s.Commit(ctx, put("a", "1", 0))
	c.Assert(code.Of(err), qt.Equals, code.PlatformUnknown)
	p.SetFaults(standin.Faults{})
	v, _ := readA(c, s)
	c.Assert(v, qt.Equals, "1")
}

func TestDownPlatformWritesNothing(t *testing.T) {
	c := qt.New(t)
	s, p := open(c)
	ctx := context.Background()
	p.SetFaults(standin.Faults{
		Down: true,
	})
	_, err := s.Commit(ctx, put("a", "1", 0))
	c.Assert(code.Of(err), qt.Equals, code.PlatformDown)
	p.SetFaults(standin.Faults{})
	_, n := readA(c, s)
	c.Assert(n, qt.Equals, uint64(0))
}

func TestClosedPlatformIsDown(t *testing.T) {
	c := qt.New(t)
	h := httptest.NewServer(http.NotFoundHandler())
	h.Close()
	s := platform.New(h.URL)
	_, err := s.Commit(context.Background(), put("a", "1", 0))
	c.Assert(code.Of(err), qt.Equals, code.PlatformDown)
}
