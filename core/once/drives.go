package once

import "sync"

// drives counts the runs in progress. It is safe for concurrent use.
type drives struct {
	mu     sync.Mutex
	active int
	closed bool
	// ended is closed once closed is true and active is 0; it is nil before
	// close.
	ended chan struct{}
}

// enter reports whether a run may begin, which leave ends.
func (d *drives) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.active++
	return true
}

func (d *drives) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active--
	if d.closed && d.active == 0 {
		close(d.ended)
	}
}

// close lets no more runs begin and waits for those in progress.
func (d *drives) close() {
	d.mu.Lock()
	d.closed = true
	d.ended = make(chan struct{})
	if d.active == 0 {
		close(d.ended)
	}
	c := d.ended
	d.mu.Unlock()
	<-c
}
