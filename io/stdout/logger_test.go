package stdout_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"heatherford/io/stdout"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// stalled is a reader that reads nothing until it is released.
type stalled struct {
	release chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

// Write implements io.Writer.
func (s *stalled) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(b)
}

// TestStalledReader costs nobody any time: what finds no place is left out and told
// later.
func TestStalledReader(t *testing.T) {
	c := qt.New(t)
	s := &stalled{
		release: make(chan struct{}),
	}
	l := stdout.New(stdout.Options{
		Writer:  s,
		Host:    "a",
		Default: 1 << 30,
	})
	const lines = 20_000
	began := time.Now()
	for i := range lines {
		l.Log("request", "n", i)
	}
	c.Check(time.Since(began) < time.Second, qt.IsTrue)
	left := l.LeftOut()[""]
	c.Check(left > 0, qt.IsTrue)
	close(s.release)
	l.Close(5 * time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	n := strings.Count(s.buffer.String(), "kind=request")
	c.Check(uint64(n)+left, qt.Equals, uint64(lines))
	c.Check(s.buffer.String(), qt.Contains, "kind=left_out")
}

// TestBoundOfAKind writes no more lines a second of a kind than its bound, and others
// all the same.
func TestBoundOfAKind(t *testing.T) {
	c := qt.New(t)
	b := &bytes.Buffer{}
	l := stdout.New(stdout.Options{
		Writer:  b,
		Host:    "a",
		Format:  "json",
		Default: 1000,
		Limits: map[string]int{
			"request": 10,
		},
	})
	const lines = 500
	for range lines {
		l.Log("request")
	}
	l.Log("stop", "err", nil, "took", time.Second)
	l.Close(time.Second)
	n := strings.Count(b.String(), `"kind":"request"`)
	// The lines may fall into two seconds.
	c.Check(n >= 10 && n <= 20, qt.IsTrue, qt.Commentf("%d", n))
	c.Check(b.String(), qt.Contains, `"kind":"stop"`)
	c.Check(l.LeftOut()["request"], qt.Equals, uint64(lines-n))
	l.Log("late")
	l.Close(time.Second)
}

// TestFailuresLast leaves out lines of successes while those of failures are written:
// by the bound of a kind, and in a queue that nobody empties.
func TestFailuresLast(t *testing.T) {
	c := qt.New(t)
	s := &stalled{
		release: make(chan struct{}),
	}
	l := stdout.New(stdout.Options{
		Writer:  s,
		Host:    "a",
		Default: 10_000,
		Limits: map[string]int{
			"bounded": 5,
		},
	})
	for range 50 {
		l.Log("bounded", "outcome", "answered")
	}
	l.Urgent("bounded", "outcome", "refused")
	for range 5000 {
		l.Log("request", "outcome", "answered")
	}
	const failures = 100
	for range failures {
		l.Urgent("request", "outcome", "broken")
	}
	close(s.release)
	l.Close(5 * time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Check(strings.Count(s.buffer.String(), "kind=request outcome=broken"), qt.Equals, failures)
	c.Check(strings.Count(s.buffer.String(), "kind=bounded outcome=refused"), qt.Equals, 1)
}

// TestGathered writes many lines at once, each with the time at which it was logged.
func TestGathered(t *testing.T) {
	c := qt.New(t)
	w := &counting{}
	l := stdout.New(stdout.Options{
		Writer:  w,
		Host:    "a",
		Default: 1000,
	})
	const lines = 60
	first := time.Now().UTC()
	for range lines {
		l.Log("request")
		<-time.After(2 * time.Millisecond)
	}
	last := time.Now().UTC()
	l.Close(time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	c.Check(w.writes < lines/4, qt.IsTrue, qt.Commentf("%d writes", w.writes))
	s := strings.Split(strings.TrimSpace(w.buffer.String()), "\n")
	c.Assert(s, qt.HasLen, lines)
	at := func(line string) time.Time {
		v, _, _ := strings.Cut(strings.TrimPrefix(line, "time="), " ")
		x, err := time.Parse(time.RFC3339Nano, v)
		c.Assert(err, qt.IsNil)
		return x
	}
	c.Check(at(s[0]).Before(first), qt.IsFalse)
	c.Check(at(s[lines-1]).After(last), qt.IsFalse)
	c.Check(at(s[lines-1]).Sub(at(s[0])) > lines*time.Millisecond, qt.IsTrue)
}

// counting counts the calls of Write.
type counting struct {
	mu     sync.Mutex
	writes int
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (w *counting) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writes++
	return w.buffer.Write(b)
}
