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
