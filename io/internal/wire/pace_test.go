package wire

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPaceOfASlowPeer has a peer that takes longer than the shortest silence
// from its first answer on.
func TestPaceOfASlowPeer(t *testing.T) {
	c := qt.New(t)
	p := &pace{}
	now := time.Unix(1_000_000, 0)
	slow := 2 * minHeadSilence
	c.Assert(p.silence(now, now.Add(time.Minute)).Sub(now) > slow, qt.IsTrue)
	c.Assert(p.silence(now, now.Add(2*slow)).Sub(now) > slow, qt.IsTrue)
	p.observe(slow)
	c.Assert(p.silence(now, now.Add(time.Minute)).Sub(now) > slow, qt.IsTrue)
	c.Assert(p.silence(now, now.Add(2*slow)).Sub(now) > slow, qt.IsTrue)
}
