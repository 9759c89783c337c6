package report_test

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/report"
	"heatherford/core/rollup"
	"heatherford/core/timeline"
)

// golden compares got with a file under testdata, which UPDATE_GOLDEN rewrites.
func golden(c *qt.C, name string, got []byte) {
	p := filepath.Join("testdata", name)
	if os.Getenv("UPDATE_GOLDEN") != "" {
		const mode = 0o644
		c.Assert(os.WriteFile(p, got, mode), qt.IsNil)
	}
	want, err := os.ReadFile(p)
	c.Assert(err, qt.IsNil)
	if bytes.Equal(got, want) {
		return
	}
	g := strings.Split(string(got), "\n")
	w := strings.Split(string(want), "\n")
	for i := range min(len(g), len(w)) {
		c.Assert(g[i], qt.Equals, w[i], qt.Commentf("%s:%d", name, i+1))
	}
	c.Fatalf("%s: %d lines, expected %d", name, len(g), len(w))
}

func TestReportGolden(t *testing.T) {
	for name, d := range map[string]*day{
		"good": goodDay(),
		"bad":  badDay(),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := d.report()
			b := &bytes.Buffer{}
			c.Assert(report.Text(b, r), qt.IsNil)
			golden(c, name+".txt", b.Bytes())
			b.Reset()
			c.Assert(report.HTML(b, r), qt.IsNil)
			golden(c, name+".html", b.Bytes())
			j, err := json.MarshalIndent(r, "", " ")
			c.Assert(err, qt.IsNil)
			golden(c, name+".json", append(j, '\n'))
		})
	}
}

var outside = regexp.MustCompile(`(?i)<script|<link|<img|<iframe|@import|url\(|\bsrc=|\bhref=|\bon[a-z]+=`)

// TestReportPageStandsAlone checks that the page loads nothing and that its
// charts are whole XML.
func TestReportPageStandsAlone(t *testing.T) {
	c := qt.New(t)
	b := &bytes.Buffer{}
	c.Assert(report.HTML(b, badDay().report()), qt.IsNil)
	c.Assert(outside.FindString(b.String()), qt.Equals, "")
	c.Assert(b.String(), qt.Contains, `name="viewport" content="width=device-width`)
	c.Assert(b.String(), qt.Contains, "@media print")
	charts := regexp.MustCompile(`(?s)<svg .*?</svg>`).FindAllString(b.String(), -1)
	c.Assert(charts, qt.HasLen, 4)
	for _, s := range charts {
		c.Assert(s, qt.Contains, "viewBox")
		d := xml.NewDecoder(strings.NewReader(s))
		for {
			_, err := d.Token()
			if errors.Is(err, io.EOF) {
				break
			}
			c.Assert(err, qt.IsNil)
		}
	}
}

// TestReportEscapes puts markup into every text that others choose.
func TestReportEscapes(t *testing.T) {
	c := qt.New(t)
	d := newDay()
	d.start("h1", "a")
	x := d.lookup(time.Millisecond)
	x.Kind, x.Rank = "<script>kind", "<script>rank"
	d.hosts["h1"].Result(x)
	d.hosts["h1"].Sample([]rollup.Load{
		{
			Bound: rollup.BoundRegion,
			Name:  "<script>region",
			Cap:   1,
		},
	})
	d.event("h1", timeline.KindDrain, timeline.PhaseFailed, "<script>subject", "<script>text")
	d.write("h1")
	b := &bytes.Buffer{}
	c.Assert(report.HTML(b, d.report()), qt.IsNil)
	c.Assert(b.String(), qt.Not(qt.Contains), "<script")
	c.Assert(b.String(), qt.Contains, "&lt;script&gt;region")
}

// TestReportNothingKnown has no roll-ups: nothing is praised.
func TestReportNothingKnown(t *testing.T) {
	c := qt.New(t)
	d := newDay()
	r := d.report()
	c.Assert(r.Verdict, qt.Equals, report.NotKnown)
	c.Assert(r.Headline, qt.Equals, "Whether 2026-12-04 went well is not known: no host's counts can be read.")
}

// TestReportTakesTheNewest has a roll-up twice: an older copy, from the platform,
// adds nothing to the newer one from a host's memory.
func TestReportTakesTheNewest(t *testing.T) {
	c := qt.New(t)
	d := newDay()
	d.start("h1", "a")
	rolls := []*rollup.Roll{}
	for range 3 {
		d.hosts["h1"].Result(d.lookup(time.Millisecond))
		s, err := d.hosts["h1"].Objects()
		c.Assert(err, qt.IsNil)
		r, err := rollup.Decode(s[0].Data)
		c.Assert(err, qt.IsNil)
		rolls = append([]*rollup.Roll{r}, rolls...)
	}
	rolls = append(rolls, rolls[2])
	r := report.Build(report.Input{
		From:     noon,
		To:       noon.Add(time.Hour),
		Now:      d.now,
		Location: time.UTC,
		Rolls:    rolls,
	})
	c.Assert(r.Kinds[0].Asked, qt.Equals, uint64(3))
}

// TestReportListedHostWithoutRollUp has a host that died before it wrote
// anything: that the platform listed it is enough to miss it.
func TestReportListedHostWithoutRollUp(t *testing.T) {
	c := qt.New(t)
	d := newDay()
	d.start("h1", "a")
	d.listed = []string{"h1", "h2", "h3"}
	d.run(90 * time.Minute)
	r := d.report()
	c.Assert(r.Verdict, qt.Equals, report.NotKnown)
	c.Assert(r.Missing, qt.DeepEquals, []string{
		"Host h2: nothing is known from 12:00:00 to 13:00:00: the platform listed it, but it wrote no roll-up. What it counted then is missing here, not zero.",
		"Host h3: nothing is known from 12:00:00 to 13:00:00: the platform listed it, but it wrote no roll-up. What it counted then is missing here, not zero.",
	})
}

// TestReportPeakIsOfOneTime moves all of a region's load from one host to another
// within five minutes, as a hand-over does: the peak is no higher than before.
func TestReportPeakIsOfOneTime(t *testing.T) {
	c := qt.New(t)
	d := newDay()
	d.start("h1", "a")
	d.start("h2", "b")
	const limit, steps, half = 9, 20, 10
	for i := range steps {
		d.now = d.now.Add(rollup.SampleLength)
		for h, busy := range map[string]bool{
			"h1": i < half,
			"h2": i >= half,
		} {
			l := rollup.Load{
				Bound: rollup.BoundRegion,
				Name:  "ulaanbaatar",
				Cap:   limit,
			}
			if busy {
				l.InFlight = limit
			}
			d.hosts[h].Sample([]rollup.Load{l})
		}
	}
	d.write("h1")
	d.write("h2")
	r := d.report()
	c.Assert(r.Regions[0].Peak, qt.Equals, limit)
	c.Assert(r.Regions[0].Headroom, qt.Equals, 0)
	c.Assert(r.Verdict, qt.Equals, report.WentWell)
}

// TestReportOfManyChanges keeps the page short on a day of the plan's 1,500
// changes: their number, the median and the slowest ones are shown.
func TestReportOfManyChanges(t *testing.T) {
	c := qt.New(t)
	d := newDay()
	d.start("h1", "a")
	d.start("h2", "b")
	const changes, one = 1500, 700
	d.run(2 * time.Minute)
	for n := 1; n <= changes; n++ {
		v := fmt.Sprint(n)
		d.event("h1", timeline.KindConfig, timeline.PhaseBegun, v, "version confirmed")
		d.event("h2", timeline.KindConfig, timeline.PhaseEnded, v, "version in force")
		d.now = d.now.Add(time.Duration(n) * time.Millisecond)
		d.event("h1", timeline.KindConfig, timeline.PhaseEnded, v, "version in force")
		d.now = d.now.Add(20 * time.Second)
	}
	d.write("h1")
	d.write("h2")
	r := d.report()
	c.Assert(r.Changes, qt.HasLen, changes)
	took, ok := r.Changes[one-1].Took()
	c.Assert(ok, qt.IsTrue)
	c.Assert(took, qt.Equals, one*time.Millisecond)
	b := &bytes.Buffer{}
	c.Assert(report.Text(b, r), qt.IsNil)
	c.Assert(b.String(), qt.Contains, "1500 changes; until everywhere: median 751ms, longest 1.5s.")
	c.Assert(b.String(), qt.Contains, "  And 1450 more, which the JSON file has.")
	c.Assert(strings.Count(b.String(), "\n") < 120, qt.IsTrue)
}
