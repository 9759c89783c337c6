package report

import (
	"fmt"
	"html/template"
	"time"

	"github.com/go-analyze/charts"

	"heatherford/core/rollup"
)

const (
	// The charts are small and their letters large, so that they can be read
	// on a phone 360 pixels wide.
	chartWidth    = 480
	chartHeight   = 280
	chartFontSize = 13
	// percentTicks is the number of labels on an axis of percent, timeTicks that
	// of steps between labels on the axis of time.
	percentTicks = 5
	timeTicks    = 4
)

// lineColors differ in lightness too, for paper without colours and for readers
// who do not tell them apart.
var lineColors = []charts.Color{
	charts.ColorRGB(0x1b, 0x2a, 0x5c),
	charts.ColorRGB(0xd9, 0x5f, 0x02),
	charts.ColorRGB(0x66, 0xa6, 0xd9),
	charts.ColorRGB(0x1b, 0x7f, 0x3b),
	charts.ColorRGB(0xa0, 0x4b, 0xb5),
}

// chart is one SVG image with a caption that says the same in words.
type chart struct {
	caption string
	names   []string
	// values holds a line for each name, with a value for each slot of the day.
	values [][]float64
	// most is the end of the vertical axis, or 0 to fit the values.
	most float64
}

// dayLine returns a line for all slots of the day, with gaps where get knows
// nothing.
func (r *Report) dayLine() []float64 {
	// One more than there are slots, so that the axis ends with the day.
	n := int(r.To.Sub(r.From)/rollup.SlotLength) + 1
	s := make([]float64, n)
	for i := range s {
		s[i] = charts.GetNullValue()
	}
	return s
}

// slotOf returns the position of the slot that begins at t.
func (r *Report) slotOf(t time.Time) int {
	return int(t.Sub(r.From) / rollup.SlotLength)
}

func (r *Report) rankCharts() []chart {
	if len(r.Slots) == 0 {
		return nil
	}
	share := chart{
		caption: "Correct answers in time, in percent of the requests, by rank. A break in a line: nothing was asked, or nothing is known.",
		most:    percent,
	}
	asked := chart{
		caption: "Requests in five minutes, by rank. A break in a line: nothing was asked, or nothing is known.",
	}
	for _, k := range r.Ranks {
		x := r.dayLine()
		y := r.dayLine()
		for _, s := range r.Slots {
			for _, c := range s.Ranks {
				if c.Rank != k.Name || c.Asked == 0 {
					continue
				}
				x[r.slotOf(s.Start)] = percent * float64(c.Correct) / float64(c.Asked)
				y[r.slotOf(s.Start)] = float64(c.Asked)
			}
		}
		share.add(k.Name, x)
		asked.add(k.Name, y)
	}
	return []chart{share, asked}
}

// maxLoadCharts bounds the charts of one section.
const maxLoadCharts = 20

func (r *Report) loadCharts(what string, loads []Load) []chart {
	s := []chart{}
	for _, g := range loads[:min(len(loads), maxLoadCharts)] {
		limit := r.dayLine()
		peak := r.dayLine()
		mean := r.dayLine()
		for _, x := range g.Slots {
			i := r.slotOf(x.Start)
			limit[i] = float64(x.Cap)
			peak[i] = float64(x.Peak)
			mean[i] = x.Mean
		}
		c := chart{
			caption: fmt.Sprintf("The %s %s: requests in flight, peak and mean in five minutes, and the cap. A break in a line: nothing is known.", what, g.Name),
		}
		c.add("cap", limit)
		c.add("peak", peak)
		c.add("mean", mean)
		s = append(s, c)
	}
	return s
}

func (c *chart) add(name string, values []float64) {
	c.names = append(c.names, name)
	c.values = append(c.values, values)
}

// svg draws c for the report's day.
func (c *chart) svg(r *Report) (template.HTML, error) {
	p := charts.NewPainter(charts.PainterOptions{
		OutputFormat: charts.ChartOutputSVG,
		Width:        chartWidth,
		Height:       chartHeight,
	})
	f := charts.FontStyle{
		FontSize: chartFontSize,
	}
	o := charts.NewLineChartOptionWithData(c.values)
	o.Theme = charts.GetTheme(charts.ThemeLight).WithSeriesColors(lineColors)
	o.Legend = charts.LegendOption{
		SeriesNames: c.names,
		FontStyle:   f,
	}
	o.XAxis.Labels = r.slotLabels()
	o.XAxis.LabelCount = timeTicks
	o.XAxis.LabelFontStyle = f
	o.YAxis[0].LabelFontStyle = f
	o.YAxis[0].Min = charts.Ptr(0.0)
	if c.most > 0 {
		o.YAxis[0].LabelCount = percentTicks
		o.YAxis[0].Max = charts.Ptr(c.most)
	}
	o.ValueFormatter = func(v float64) string {
		return fmt.Sprintf("%g", v)
	}
	if err := p.LineChart(o); err != nil {
		return "", fmt.Errorf("report: cannot draw a chart: %w", err)
	}
	b, err := p.Bytes()
	if err != nil {
		return "", fmt.Errorf("report: cannot draw a chart: %w", err)
	}
	// The library escapes all text that it writes.
	return template.HTML(b), nil
}

func (r *Report) slotLabels() []string {
	s := []string{}
	for t := r.From; !t.After(r.To); t = t.Add(rollup.SlotLength) {
		// The library may place a label one slot beside the full hour.
		s = append(s, t.Round(time.Hour).In(r.location).Format("15:04"))
	}
	return s
}
