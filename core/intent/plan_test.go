package intent_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"heatherford/core/code"
	"heatherford/core/intent"
)

// planned returns a declaration with two regions and endpoints of 5 slots each:
// four in the north, two in the south.
func planned() *intent.Declaration {
	d := &intent.Declaration{
		Regions: []intent.Region{
			{
				Name:  "north",
				Zones: []string{"n1"},
				Cap:   20,
			},
			{
				Name:  "south",
				Zones: []string{"s1"},
				Cap:   12,
			},
		},
		Kinds: []intent.Kind{
			{
				Name:     "lookup",
				Upstream: "desk",
			},
		},
	}
	u := intent.Upstream{
		Name: "desk",
	}
	for i, z := range []string{"n1", "n1", "n1", "n1", "s1", "s1"} {
		u.Endpoints = append(u.Endpoints, intent.Endpoint{
			Name:  fmt.Sprintf("desk-%d", i),
			Zone:  z,
			Slots: 5,
		})
	}
	d.Upstreams = []intent.Upstream{u}
	return d
}

func load(n ...int) intent.Load {
	l := intent.Load{
		Endpoints: map[string]float64{},
	}
	for i, x := range n {
		l.Endpoints[fmt.Sprintf("desk-%d", i)] = float64(x)
	}
	return l
}

func drained(c *qt.C, d *intent.Declaration, names ...string) *intent.Declaration {
	for _, n := range names {
		e, err := d.With(intent.Edit{
			Kind:    intent.EditEndpoint,
			Name:    n,
			Leaving: true,
		})
		c.Assert(err, qt.IsNil)
		d = e
	}
	return d
}

func TestPlanSaysWhereWorkGoes(t *testing.T) {
	c := qt.New(t)
	d := planned()
	a := intent.Assess(d, drained(c, d, "desk-0", "desk-1"), load(5, 4, 3, 2, 3, 1))
	c.Assert(a.Overloads, qt.HasLen, 0)
	c.Assert(a.Moves, qt.DeepEquals, []string{"about 4 requests in flight of desk move from north to south"})
	c.Assert(a.Headroom, qt.DeepEquals, []intent.Headroom{
		{
			Region: "north",
			Cap:    20,
			Slots:  10,
			Load:   14,
			After:  10,
		},
		{
			Region: "south",
			Cap:    12,
			Slots:  10,
			Load:   4,
			After:  8,
		},
	})
	// The edit has not modified the original declaration.
	c.Assert(intent.Diff(d, planned()), qt.HasLen, 0)
}

func TestPlanRefusesAnOverload(t *testing.T) {
	c := qt.New(t)
	d := planned()
	l := load(5, 5, 4, 4, 4, 4)
	a := intent.Assess(d, drained(c, d, "desk-0"), l)
	c.Assert(a.Overloads, qt.DeepEquals, []string{
		"upstream desk: 18 requests in flight on average in region north, 1 of them would find no slot anywhere",
	})

	// The cap of the south limits the work there, not only its slots.
	e := planned()
	e.Regions[1].Cap = 8
	a = intent.Assess(e, drained(c, e, "desk-0"), load(5, 5, 4, 2, 4, 4))
	c.Assert(a.Overloads, qt.HasLen, 1)

	s := planned()
	s.Shifts = []intent.Shift{
		{
			Name:     "monday",
			Upstream: "desk",
			From:     "north",
			To:       "south",
			Share:    0.5,
			Cap:      10,
		},
	}
	a = intent.Assess(d, s, l)
	c.Assert(a.Overloads, qt.DeepEquals, []string{"region south would have 17 requests in flight, its limit is 10"})
	c.Assert(intent.Assess(d, s, load(2, 2)).Overloads, qt.HasLen, 0)
	s.Shifts[0].Cap = 11
	a = intent.Assess(d, s, load(2, 2))
	c.Assert(a.Overloads[0], qt.Equals, "shift monday may cause 11 requests in flight in region south, where desk has 10 slots")
}

func TestPlanWarns(t *testing.T) {
	c := qt.New(t)
	d := planned()
	e := planned()
	e.Regions[0].Cap = 3
	a := intent.Assess(d, e, load(2, 2))
	c.Assert(a.Overloads, qt.HasLen, 0)
	c.Assert(a.Warnings, qt.DeepEquals, []string{"cap 3 of region north is below its load of 4: the excess goes elsewhere or is refused"})

	// An endpoint that itself reports that it is leaving has no slots.
	l := load(0, 0, 0, 0, 5, 5)
	l.Leaving = map[string]bool{
		"desk-4": true,
	}
	a = intent.Assess(d, planned(), l)
	c.Assert(a.Moves, qt.DeepEquals, []string{"about 5 requests in flight of desk move from south to north"})

	a = intent.Assess(drained(c, d, "desk-0"), d, intent.Load{
		MissingHosts: []string{"h7"},
	})
	c.Assert(a.Warnings, qt.DeepEquals, []string{
		"endpoint desk-0 was leaving and takes work again",
		"host h7 sent no report: the load may be greater than shown",
	})
	a = intent.Assess(d, drained(c, d, "desk-0", "desk-1", "desk-2", "desk-3", "desk-4", "desk-5"), load())
	c.Assert(a.Warnings, qt.DeepEquals, []string{"no endpoint of desk takes work: every request of kind lookup will be refused"})
}

func TestPlanOfAnUnknownEndpoint(t *testing.T) {
	c := qt.New(t)
	_, err := planned().With(intent.Edit{
		Kind: intent.EditEndpoint,
		Name: "desk-9",
	})
	c.Assert(code.Of(err), qt.Equals, code.OperatorInput)
}
