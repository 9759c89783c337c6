package edge

import "time"

// latenessAge is how long a late step counts.
const latenessAge = time.Second

// lateness is by how much the steps of the control goroutine came too late of late. What
// reaches a host whose steps are late waits for a processor as well, so that it is older
// than it seems. Only the control goroutine uses it.
type lateness struct {
	worst time.Duration
	// until is when worst no longer counts.
	until time.Time
}

// observe records that a step at now came too late by d.
func (l *lateness) observe(d time.Duration, now time.Time) {
	if d >= l.worst || !now.Before(l.until) {
		l.worst = d
		l.until = now.Add(latenessAge)
	}
}

// at returns the lateness as of now.
func (l *lateness) at(now time.Time) time.Duration {
	if !now.Before(l.until) {
		return 0
	}
	return l.worst
}
