package core

import (
	"fmt"

	"heatherford/core/intent"
	"heatherford/core/timeline"
)

// recordShifts records which shifts begin, change or end when the declaration d replaces
// old. For the first declaration, old is nil.
func (c *control) recordShifts(old, d *intent.Declaration) {
	before := map[string]intent.Shift{}
	if old != nil {
		for _, f := range old.Shifts {
			before[f.Name] = f
		}
	}
	for _, f := range d.Shifts {
		o, ok := before[f.Name]
		delete(before, f.Name)
		switch {
		case !ok:
			c.recordShift(f, timeline.PhaseBegun, shiftText(f))
		case o != f:
			c.recordShift(f, "", "becomes "+shiftText(f))
		}
	}
	for _, f := range before {
		c.recordShift(f, timeline.PhaseEnded, "no longer declared: "+shiftText(f))
	}
}

func (c *control) recordShift(f intent.Shift, p timeline.Phase, text string) {
	c.kernel.Record(timeline.Event{
		Kind:    timeline.KindShift,
		Phase:   p,
		Subject: f.Name,
		Text:    text,
	})
}

func shiftText(f intent.Shift) string {
	return fmt.Sprintf("share %g of %s from %s to %s, at most %d in flight", f.Share, f.Upstream, f.From, f.To, f.Cap)
}
