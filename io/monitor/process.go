package monitor

import (
	"runtime/metrics"
	"sync"
	"time"
)

const (
	// minLoggedDelay is the least delay of a step that is logged.
	minLoggedDelay = 10 * time.Millisecond
	// loggedMemoryShare is the part of the memory limit from which on the use of memory is
	// logged.
	loggedMemoryShare = 0.7
)

// The metrics of the Go runtime that tell how much memory the process has.
const (
	mappedMemory   = "/memory/classes/total:bytes"
	returnedMemory = "/memory/classes/heap/released:bytes"
)

// delays holds the late steps since the last line on them. It is safe for concurrent use.
type delays struct {
	mu      sync.Mutex
	longest time.Duration
	// endedAt is when the longest delay ended.
	endedAt time.Time
	steps   int
}

// add records a step that was late at the time now.
func (d *delays) add(delay time.Duration, now time.Time) {
	if delay < minLoggedDelay {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.steps++
	if delay > d.longest {
		d.longest = delay
		d.endedAt = now
	}
}

// log writes a line on the late steps, if there are any, and forgets them.
func (d *delays) log(log func(kind string, pairs ...any), now time.Time) {
	d.mu.Lock()
	longest, endedAt, steps := d.longest, d.endedAt, d.steps
	d.longest, d.endedAt, d.steps = 0, time.Time{}, 0
	d.mu.Unlock()
	if steps > 0 {
		log("delay", "longest", longest, "ago", now.Sub(endedAt), "steps", steps)
	}
}

// usedMemory returns the bytes that the Go runtime has of the system. Not counted are the
// stacks of threads.
func usedMemory() int64 {
	s := []metrics.Sample{
		{
			Name: mappedMemory,
		},
		{
			Name: returnedMemory,
		},
	}
	metrics.Read(s)
	return int64(s[0].Value.Uint64() - s[1].Value.Uint64())
}

// logMemory writes a line if the process uses much of its limit, of which zero stands for
// none.
func logMemory(log func(kind string, pairs ...any), used, limit int64) {
	if limit > 0 && float64(used) >= loggedMemoryShare*float64(limit) {
		log("memory", "used", used, "limit", limit)
	}
}
