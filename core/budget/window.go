package budget

import (
	"sync"
	"time"
)

const (
	// buckets is the number of steps in which a window slides.
	buckets = 20
	// spare is the part of the bound that is used, since hosts' windows do not
	// begin at the same time.
	spare = 0.8
)

// WindowOptions describe a Window.
type WindowOptions struct {
	// Ratio is the number of repeats that each request allows.
	Ratio float64
	// Slack is the number of repeats that are allowed besides, over all hosts.
	Slack float64
	// Length is the time over which both are counted.
	Length time.Duration
}

// Window bounds the repeats for one upstream over a sliding window, as this
// host's part of a bound over all hosts: each host counts its own requests and
// has an equal part of the slack, so that the parts keep the bound together
// without a word between hosts. A host has no part of the slack for one length
// after its start: the run before may have used it. Window is safe for
// concurrent use.
type Window struct {
	options WindowOptions

	mu       sync.Mutex
	requests [buckets]int
	repeats  [buckets]int
	// step is the number of the newest bucket since the beginning.
	step  int64
	begun time.Time
}

// NewWindow returns a window of a host that started at the time, in which nothing
// was counted.
func NewWindow(o WindowOptions, started time.Time) *Window {
	return &Window{
		options: o,
		begun:   started,
	}
}

// Count counts a request.
func (w *Window) Count(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now)
	w.requests[w.step%buckets]++
}

// Take takes one repeat and reports whether it is allowed while so many hosts
// have a part of the slack.
func (w *Window) Take(now time.Time, hosts int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now)
	if float64(sum(w.repeats)+1) > w.bound(now, hosts) {
		return false
	}
	w.repeats[w.step%buckets]++
	return true
}

// Return gives back a repeat that was taken and not sent.
func (w *Window) Return(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now)
	if i := w.step % buckets; w.repeats[i] > 0 {
		w.repeats[i]--
	}
}

// Left returns the number of repeats that are allowed now.
func (w *Window) Left(now time.Time, hosts int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now)
	return max(0, int(w.bound(now, hosts))-sum(w.repeats))
}

// bound returns the most repeats that the window may hold.
func (w *Window) bound(now time.Time, hosts int) float64 {
	slack := 0.0
	if now.Sub(w.begun) >= w.options.Length {
		slack = w.options.Slack / float64(max(1, hosts))
	}
	return spare * (w.options.Ratio*float64(sum(w.requests)) + slack)
}

// slide empties the buckets that the window has left.
func (w *Window) slide(now time.Time) {
	n := int64(now.Sub(w.begun) / (w.options.Length / buckets))
	for w.step < n {
		w.step++
		if n-w.step >= buckets {
			w.step = n - buckets
		}
		w.requests[w.step%buckets] = 0
		w.repeats[w.step%buckets] = 0
	}
}

func sum(s [buckets]int) int {
	n := 0
	for _, x := range s {
		n += x
	}
	return n
}
