package core

import (
	"time"

	"github.com/go-kit/log/level"

	"heatherford/core/timeline"
)

// watchdogInterval is the time between the watchdog's checks, by which a daemon detects
// that it was paused, and between calls of tick.
const watchdogInterval = 100 * time.Millisecond

// watchdog checks for pauses of the daemon and posts tick, until the daemon ends.
func (k *Kernel) watchdog() error {
	t := time.NewTicker(watchdogInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-k.tomb.Dying():
			return nil
		}
		if k.Freshness.CheckPause(time.Now()) {
			k.handlePause()
		}
		// If the control goroutine is busy, this tick is skipped: a wait for it
		// here would be taken for a pause.
		select {
		case k.events <- tick:
		default:
		}
	}
}

// tick does the periodic work on the control state: it expires suspicions and notices
// and updates the drains.
func tick(c *control) {
	now := c.kernel.Now()
	c.view.Expire(now)
	if c.notices.Expire(now) {
		c.changed = true
	}
	c.updateHosts()
	c.updateDrains(now)
}

// handlePause records that this daemon was paused and calls the functions registered by
// OnPause.
func (k *Kernel) handlePause() {
	level.Warn(k.Log).Log("msg", "config: this host was paused and learns the newest version again")
	k.Record(timeline.Event{
		Kind:    timeline.KindConfig,
		Subject: k.Settings.Host,
		Text:    "was paused and learns the newest version again",
	})
	for _, f := range k.onPause {
		f()
	}
}

// OnPause registers f to be called after this daemon was paused. f must not block.
// OnPause is called from Attach.
func (k *Kernel) OnPause(f func()) {
	k.onPause = append(k.onPause, f)
}

// PlatformAnswered reports that the platform answered.
func (k *Kernel) PlatformAnswered() {
	k.post(func(c *control) {
		c.view.RecordContact(c.kernel.Now())
	})
}
