package budget

import (
	"sync"
	"time"
)

const (
	// bucketCount is the number of buckets of a window. All but the newest one, which
	// has only begun, make up its length.
	bucketCount = 20
	// usedPart is the part of the bound that is used, since the windows of the
	// hosts do not begin at the same time.
	usedPart = 0.8
)

// WindowOptions configure a Window.
type WindowOptions struct {
	// Ratio is the number of retries and hedges that each request allows.
	Ratio float64
	// Slack is the number of retries and hedges that all hosts together may send
	// in addition.
	Slack float64
	// Length is the length of the window in which both are counted.
	Length time.Duration
}

// Window is a retry budget: it bounds the retries and hedges for one upstream
// over a sliding window. It is this host's part of a bound over all hosts. Each
// host counts its own requests and has an equal part of the slack, so that the
// hosts keep the bound without exchanging messages. A host gets no slack for one
// length after its start, since the process that ran before it may have used that
// already. Window is safe for concurrent use.
type Window struct {
	options WindowOptions

	mu       sync.Mutex
	requests [bucketCount]int
	retries  [bucketCount]int
	// step is the number of the newest bucket, counted from the start.
	step      int64
	startedAt time.Time
}

// NewWindow returns an empty window of a host that started at the given time.
func NewWindow(o WindowOptions, started time.Time) *Window {
	return &Window{
		options:   o,
		startedAt: started,
	}
}

// CountRequest counts a request.
func (w *Window) CountRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now)
	w.requests[w.step%bucketCount]++
}

// Take takes one retry or hedge and reports whether it is allowed. Hosts is the
// number of hosts that share the slack.
func (w *Window) Take(now time.Time, hosts int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now)
	if float64(sum(w.retries)+1) > w.bound(now, hosts) {
		return false
	}
	w.retries[w.step%bucketCount]++
	return true
}

// Return gives back a retry or hedge that was taken and not sent.
func (w *Window) Return(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now)
	if i := w.step % bucketCount; w.retries[i] > 0 {
		w.retries[i]--
	}
}

// Remaining returns the number of retries and hedges that are allowed now.
func (w *Window) Remaining(now time.Time, hosts int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now)
	return max(0, int(w.bound(now, hosts))-sum(w.retries))
}

// bound returns the most retries and hedges that the window may hold.
func (w *Window) bound(now time.Time, hosts int) float64 {
	slack := 0.0
	if now.Sub(w.startedAt) >= w.options.Length {
		slack = w.options.Slack / float64(max(1, hosts))
	}
	return usedPart * (w.options.Ratio*float64(sum(w.requests)) + slack)
}

// slide clears the buckets that have left the window.
func (w *Window) slide(now time.Time) {
	n := int64(now.Sub(w.startedAt) / (w.options.Length / (bucketCount - 1)))
	for w.step < n {
		w.step++
		if n-w.step >= bucketCount {
			w.step = n - bucketCount
		}
		w.requests[w.step%bucketCount] = 0
		w.retries[w.step%bucketCount] = 0
	}
}

func sum(s [bucketCount]int) int {
	n := 0
	for _, x := range s {
		n += x
	}
	return n
}
