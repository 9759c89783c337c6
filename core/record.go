package core

import (
	"heatherford/core/code"
	"heatherford/core/timeline"
)

// Record adds an event to the timeline with a new stamp, and to the roll-up if it has a
// phase. It is safe for concurrent use.
func (k *Kernel) Record(e timeline.Event) {
	e.At = k.Clock.Now()
	e.Host = k.Settings.Host
	k.Ring.Add(e)
	k.RollUps.Event(e)
}

// PlatformDown reports whether the platform did not answer this host's last
// call. It is safe for concurrent use.
func (k *Kernel) PlatformDown() bool {
	return k.platformDown.Load()
}

// platformChanged records the start of an outage of the platform as this host sees it,
// or its end if err is nil.
func (k *Kernel) platformChanged(err error) {
	k.platformDown.Store(err != nil)
	e := timeline.Event{
		Kind:  timeline.KindPlatform,
		Phase: timeline.PhaseEnded,
		Text:  "the platform answers again",
	}
	if err != nil {
		e.Phase = timeline.PhaseBegun
		e.Text = "the platform does not answer: " + code.Text(err)
	}
	k.Record(e)
}
