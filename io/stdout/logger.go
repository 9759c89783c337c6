package stdout

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// queueLength is the number of lines that wait for the writer.
	queueLength = 2048
	// tellInterval is how often left out lines are told.
	tellInterval = time.Second
)

// Options describe a Logger.
type Options struct {
	Writer io.Writer
	// Host is written on every line.
	Host string
	// Format is logfmt or json; empty stands for logfmt.
	Format string
	// Limits is the most lines a second of each kind; kinds that it does not
	// name have Default.
	Limits  map[string]int
	Default int
}

// Logger writes lines. It is safe for concurrent use, and none of its functions
// blocks but Close.
type Logger struct {
	options Options
	lines   chan []any
	done    chan struct{}
	start   time.Time

	mu    sync.Mutex
	kinds map[string]*kind
	// closed is true once no more lines are taken.
	closed bool
	// dropped is the number of lines that found the queue full.
	dropped atomic.Uint64
}

// kind counts the lines of a kind in the current second.
type kind struct {
	second int64
	lines  int
	left   uint64
}

// New returns a logger that writes in a goroutine of its own until Close.
func New(o Options) *Logger {
	l := &Logger{
		options: o,
		lines:   make(chan []any, queueLength),
		done:    make(chan struct{}),
		start:   time.Now(),
		kinds:   map[string]*kind{},
	}
	go l.write()
	return l
}

// Log writes a line of a kind with pairs of keys and values, unless the kind's
// lines of this second are used up or the writer lags.
func (l *Logger) Log(k string, pairs ...any) {
	now := time.Now()
	if !l.admit(k, now) {
		return
	}
	s := make([]any, 0, len(pairs)+4)
	s = append(s, "uptime", now.Sub(l.start).Round(time.Millisecond), "kind", k)
	s = append(s, pairs...)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	select {
	case l.lines <- s:
	default:
		l.dropped.Add(1)
	}
}

func (l *Logger) admit(k string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.kinds[k]
	if x == nil {
		x = &kind{}
		l.kinds[k] = x
	}
	if s := now.Unix(); s != x.second {
		x.second = s
		x.lines = 0
	}
	limit, ok := l.options.Limits[k]
	if !ok {
		limit = l.options.Default
	}
	if x.lines >= limit {
		x.left++
		return false
	}
	x.lines++
	return true
}

// LeftOut returns the number of lines of each kind that were left out for their
// bound, and of those that found the queue full under the empty name.
func (l *Logger) LeftOut() map[string]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := map[string]uint64{}
	for n, k := range l.kinds {
		if k.left > 0 {
			m[n] = k.left
		}
	}
	if n := l.dropped.Load(); n > 0 {
		m[""] = n
	}
	return m
}

// Close writes what waits, for up to the given time.
func (l *Logger) Close(most time.Duration) {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	close(l.lines)
	l.mu.Unlock()
	select {
	case <-l.done:
	case <-time.After(most):
	}
}

// write writes lines until Close.
func (l *Logger) write() {
	defer close(l.done)
	w := log.NewLogfmtLogger(l.options.Writer)
	if l.options.Format == "json" {
		w = log.NewJSONLogger(l.options.Writer)
	}
	w = log.With(w, "time", log.DefaultTimestampUTC, "host", l.options.Host)
	told := map[string]uint64{}
	next := time.Now().Add(tellInterval)
	for s := range l.lines {
		w.Log(s...)
		if now := time.Now(); now.After(next) {
			next = now.Add(tellInterval)
			l.tell(w, told)
		}
	}
	l.tell(w, told)
}

// tell writes how many lines were left out since the last time.
func (l *Logger) tell(w log.Logger, told map[string]uint64) {
	for k, n := range l.LeftOut() {
		if n > told[k] {
			level.Warn(w).Log("kind", "left_out", "of", k, "lines", n-told[k])
			told[k] = n
		}
	}
}
