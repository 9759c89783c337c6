package once

import "sync"

// drives counts the runs in progress. It is safe for concurrent use.
type drives struct {
	mu     sync.Mutex
	active int
	// ended is made by seal, and closed once active is 0.
	ended chan struct{}
}

// enter reports whether a run may begin, which leave ends.
func (d *drives) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended != nil {
		return false
	}
	d.active++
	return true
}

func (d *drives) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active--
	if d.ended != nil && d.active == 0 {
		close(d.ended)
	}
}

// seal lets no more runs begin. The channel is closed once none is in progress.
func (d *drives) seal() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended == nil {
		d.ended = make(chan struct{})
		if d.active == 0 {
			close(d.ended)
		}
	}
	return d.ended
}
