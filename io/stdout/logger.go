package stdout

import (
	"bufio"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
)

const (
	// queueLength is the number of lines that wait for the writer, and kept how
	// many of its places are for urgent lines only.
	queueLength = 2048
	kept        = queueLength / 4
	// gather is how long lines are gathered into one write: a write and a wake-up
	// cost more than many lines.
	gather = 50 * time.Millisecond
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
	closing chan struct{}
	done    chan struct{}
	start   time.Time

	mu sync.Mutex
	// kinds holds the counts of each kind, and those of its urgent lines.
	kinds map[bound]*kind
	// closed is true once no more lines are taken.
	closed bool
	// dropped is the number of lines that found the queue full.
	dropped atomic.Uint64
}

// bound names what is bounded: a kind's lines, or those of them that are urgent.
type bound struct {
	kind   string
	urgent bool
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
		closing: make(chan struct{}),
		done:    make(chan struct{}),
		start:   time.Now(),
		kinds:   map[bound]*kind{},
	}
	go l.write()
	return l
}

// Log writes a line of a kind with pairs of keys and values, unless the kind's
// lines of this second are used up or the writer lags.
func (l *Logger) Log(kind string, pairs ...any) {
	l.log(bound{
		kind: kind,
	}, pairs)
}

// Urgent is Log for lines that tell of a failure. They have a bound of their own, and
// find a place in the queue when other lines no longer do.
func (l *Logger) Urgent(kind string, pairs ...any) {
	l.log(bound{
		kind:   kind,
		urgent: true,
	}, pairs)
}

func (l *Logger) log(k bound, pairs []any) {
	now := time.Now()
	if !l.admit(k, now) {
		return
	}
	const more = 8
	s := make([]any, 0, len(pairs)+more)
	s = append(s, "time", now.UTC(), "host", l.options.Host, "uptime", now.Sub(l.start).Round(time.Millisecond), "kind", k.kind)
	s = append(s, pairs...)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	if !k.urgent && len(l.lines) >= queueLength-kept {
		l.dropped.Add(1)
		return
	}
	select {
	case l.lines <- s:
	default:
		l.dropped.Add(1)
	}
}

func (l *Logger) admit(k bound, now time.Time) bool {
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
	limit, ok := l.options.Limits[k.kind]
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
			m[n.kind] += k.left
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
	close(l.closing)
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
	b := bufio.NewWriter(l.options.Writer)
	w := log.NewLogfmtLogger(b)
	if l.options.Format == "json" {
		w = log.NewJSONLogger(b)
	}
	told := map[string]uint64{}
	next := time.Now().Add(tellInterval)
	for s := range l.lines {
		w.Log(s...)
		n := 1 + l.drain(w)
		if now := time.Now(); now.After(next) {
			next = now.Add(tellInterval)
			l.tell(w, told)
		}
		l.flush(b, n)
		select {
		case <-time.After(gather):
		case <-l.closing:
		}
	}
	l.tell(w, told)
	l.flush(b, 0)
}

// drain writes the lines that wait, and returns their number.
func (l *Logger) drain(w log.Logger) int {
	for n := 0; ; n++ {
		select {
		case s, ok := <-l.lines:
			if !ok {
				return n
			}
			w.Log(s...)
		default:
			return n
		}
	}
}

// flush hands the number of lines over to the reader. Those that it does not take
// count as dropped, as a line on that would be.
func (l *Logger) flush(b *bufio.Writer, lines int) {
	if err := b.Flush(); err != nil {
		l.dropped.Add(uint64(lines))
		b.Reset(l.options.Writer)
	}
}

// tell writes how many lines were left out since the last time.
func (l *Logger) tell(w log.Logger, told map[string]uint64) {
	for k, n := range l.LeftOut() {
		if n > told[k] {
			w.Log("time", time.Now().UTC(), "host", l.options.Host, "kind", "left_out", "of", k, "lines", n-told[k])
			told[k] = n
		}
	}
}
