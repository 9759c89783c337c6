package core

import (
	"strconv"

	"github.com/go-kit/log/level"

	"heatherford/core/intent"
	"heatherford/core/lookup"
	"heatherford/core/timeline"
)

// offerVersion takes v if it is newer than the version in force.
func (c *control) offerVersion(v *intent.Version) {
	if c.version != nil && v.Number <= c.version.Number {
		return
	}
	c.version = v
	c.grants.SetVersion(v)
	c.blocks = lookup.NewBlocks(v.Declaration)
	c.changed = true
	level.Info(c.kernel.Log).Log("msg", "config: version in force", "version", v.Number)
	c.kernel.Record(timeline.Event{
		Kind:    timeline.KindConfig,
		Phase:   timeline.PhaseEnded,
		Subject: strconv.FormatUint(v.Number, 10),
		Text:    "version in force",
	})
}
