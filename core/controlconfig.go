package core

import (
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"heatherford/core/code"
	"heatherford/core/config"
	"heatherford/core/intent"
	"heatherford/core/lookup"
	"heatherford/core/timeline"
)

// offerBundle puts b in force if it is newer than the version in force.
func (c *control) offerBundle(b *config.Bundle) {
	if b.Number <= c.bundle.Number {
		if b.Number == c.bundle.Number && b.Checksum != c.bundle.Checksum {
			level.Error(c.kernel.Log).Log("msg", "config: two bundles with the same version have different contents", "version", b.Number)
		}
		return
	}
	old := (*intent.Declaration)(nil)
	if c.version != nil {
		old = c.version.Declaration
	}
	c.recordShifts(old, b.Version.Declaration)
	c.bundle = b
	c.version = b.Version
	c.inForceSince = c.kernel.Now()
	c.blocks = lookup.NewBlocks(b.Version.Declaration)
	c.grants.SetVersion(b.Version)
	c.changed = true
	c.publish()
	level.Info(c.kernel.Log).Log("msg", "config: version in force", "version", b.Number)
	c.kernel.Record(timeline.Event{
		Kind:    timeline.KindConfig,
		Phase:   timeline.PhaseEnded,
		Subject: strconv.FormatUint(b.Number, 10),
		Text:    "version in force",
	})
	for _, f := range c.kernel.onVersion {
		f(b)
	}
}

// declaration returns the declaration in force, with the endpoints marked as leaving
// for which there is a notice.
func (c *control) declaration() *intent.Declaration {
	d := *c.version.Declaration
	d.Upstreams = make([]intent.Upstream, len(c.version.Declaration.Upstreams))
	for i, u := range c.version.Declaration.Upstreams {
		d.Upstreams[i] = c.withLeaving(u)
	}
	return &d
}

// OfferBundle puts b in force if it is newer than the version in force. It returns
// after the snapshot with the result was published.
func (k *Kernel) OfferBundle(b *config.Bundle) {
	k.post(func(c *control) {
		c.offerBundle(b)
	})
	k.flush()
}

// OfferDeltas applies deltas to the version in force, in order, and puts the result
// in force. It reports whether all deltas applied; if one did not, nothing changes.
// Deltas that are not newer than the version in force are skipped.
func (k *Kernel) OfferDeltas(deltas []*config.Delta) bool {
	fit := queryOrZero(k, func(c *control) bool {
		return c.offerDeltas(deltas)
	})
	k.flush()
	return fit
}

func (c *control) offerDeltas(deltas []*config.Delta) bool {
	b := c.bundle
	for _, d := range deltas {
		if d.Number <= b.Number {
			continue
		}
		next, err := b.Apply(d)
		if err != nil {
			return false
		}
		b = next
	}
	c.offerBundle(b)
	return true
}

// OfferVersion is OfferBundle for a version that was just read from the platform's
// table. It also records that read in Freshness.
func (k *Kernel) OfferVersion(v *intent.Version) {
	started := time.Now()
	b, err := config.New(v)
	if err != nil {
		level.Error(k.Log).Log("msg", "config: cannot build the bundle of a version", "version", v.Number, "err", err)
		return
	}
	k.OfferBundle(b)
	k.Freshness.RecordTableRead(started)
}

// OnVersion registers f to be called with each version that comes into force. f runs
// on the control goroutine and must not block. OnVersion is called from Attach.
func (k *Kernel) OnVersion(f func(b *config.Bundle)) {
	k.onVersion = append(k.onVersion, f)
}

// CheckServing returns an error with the code HostBehind while this daemon may not serve:
// it knows no declaration, or it has not compared its version with the platform's or
// with other hosts' since it started, was paused or was cut off. It is safe for
// concurrent use.
func (k *Kernel) CheckServing() error {
	if k.Snapshot().Version == nil {
		return code.New(code.HostBehind, "core: this host knows no declaration yet")
	}
	if !k.Freshness.MayServe(time.Now()) {
		return code.New(code.HostBehind, "core: this host does not know yet whether its version is the newest")
	}
	return nil
}
