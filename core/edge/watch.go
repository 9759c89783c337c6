package edge

import "time"

const (
	// watchInterval is the interval at which the control goroutine is checked.
	watchInterval = time.Second
	// overdueAfter is how late the control goroutine's periodic work has to be for a log line.
	overdueAfter = 3 * time.Second
)

// watch logs when the control goroutine has not done its periodic work for long: what this host
// knows ages until then. A process that was paused is late with everything, which is not logged.
func (e *Edge) watch() error {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	last, logged := time.Now(), false
	for {
		select {
		case <-t.C:
		case <-e.tomb.Dying():
			return nil
		}
		now := time.Now()
		paused := now.Sub(last) > 2*watchInterval
		last = now
		stepped := e.steppedAt.Load()
		overdue := stepped != nil && !paused && now.Sub(*stepped) > overdueAfter
		if overdue && !logged {
			e.options.Log("overdue", "last_step", now.Sub(*stepped), "events", len(e.events))
		}
		logged = overdue
	}
}
