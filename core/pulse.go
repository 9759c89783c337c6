package core

import (
	"time"

	"github.com/go-kit/log/level"

	"heatherford/core/timeline"
)

// pulseInterval is the time between pulses, by which a daemon notices that it
// was paused, and between looks at what has come due.
const pulseInterval = 100 * time.Millisecond

// pulse runs until the daemon ends.
func (k *Kernel) pulse() error {
	t := time.NewTicker(pulseInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-k.tomb.Dying():
			return nil
		}
		if k.Fresh.Pulse(time.Now()) {
			k.paused()
		}
		// A busy control goroutine looks later: waiting for it here would be
		// taken for a pause.
		select {
		case k.events <- tick:
		default:
		}
	}
}

// tick brings about what has come due.
func tick(c *control) {
	now := c.kernel.Now()
	c.view.Tick(now)
	if c.signs.Tick(now) {
		c.changed = true
	}
	c.updateHosts()
	c.observeDrains(now)
}

func (k *Kernel) paused() {
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

// OnPause registers f to be called when this daemon was paused. It is called
// from Attach and must not block.
func (k *Kernel) OnPause(f func()) {
	k.onPause = append(k.onPause, f)
}

// Contact says that the platform answered.
func (k *Kernel) Contact() {
	k.post(func(c *control) {
		c.view.Contact(c.kernel.Now())
	})
}
