package lookup

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestShiftShares checks that a shift makes its share of one region's look-ups
// name owners in the other region, and that look-ups of other callers are not
// shifted.
func TestShiftShares(t *testing.T) {
	c := qt.New(t)
	o := options(nil)
	o.Shifts = []Shift{
		{
			Upstream: "desk",
			From:     "r0",
			To:       "r1",
			Share:    0.25,
		},
	}
	table := New(o)
	for _, x := range []struct {
		caller string
		share  float64
	}{
		{
			caller: "10.0.0.1",
			share:  0.25,
		},
		{
			caller: "10.1.0.1",
			share:  0.25,
		},
		{
			caller: "10.3.0.1",
			share:  0,
		},
	} {
		const lookups = 20_000
		shifted := 0
		for range lookups {
			d, _ := table.Decide("look", netip.MustParseAddr(x.caller))
			if (d.Host.Region == "r0") != (x.caller != "10.3.0.1") {
				shifted++
			}
		}
		near := table.RegionalOwner("look", netip.MustParseAddr(x.caller))
		c.Assert(near.Region == "r1", qt.Equals, x.caller == "10.3.0.1")
		got := float64(shifted) / lookups
		c.Assert(got >= x.share*0.9 && got <= x.share*1.1, qt.IsTrue, qt.Commentf("%s: %v moved", x.caller, got))
	}
}
