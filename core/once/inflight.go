package once

import "sync"

// inFlight counts the rounds in progress. It is safe for concurrent use.
type inFlight struct {
	mu     sync.Mutex
	active int
	// drained is nil before drain is called, and closed once active is 0.
	drained chan struct{}
}

// begin counts a round, which end ends. It reports false after drain.
func (d *inFlight) begin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.drained != nil {
		return false
	}
	d.active++
	return true
}

func (d *inFlight) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active--
	if d.drained != nil && d.active == 0 {
		close(d.drained)
	}
}

// drain makes begin fail from now on. The channel is closed once no round is in
// progress.
func (d *inFlight) drain() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.drained == nil {
		d.drained = make(chan struct{})
		if d.active == 0 {
			close(d.drained)
		}
	}
	return d.drained
}
