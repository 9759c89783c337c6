package report

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// section is a part of the page that text and HTML show alike.
type section struct {
	title   string
	columns []string
	rows    [][]string
	// empty stands in place of the rows if there are none.
	empty string
	// summary stands before the rows, or is empty.
	summary string
	// more says how many rows are left out, or is empty.
	more string
	// charts follow the rows in HTML.
	charts []chart
}

// maxRows bounds the rows of a section.
const maxRows = 50

func (r *Report) sections() []section {
	s := r.allSections()
	for i := range s {
		if n := len(s[i].rows) - maxRows; n > 0 {
			s[i].rows = s[i].rows[:maxRows]
			s[i].more = fmt.Sprintf("And %d more, which the JSON file has.", n)
		}
	}
	return s
}

func (r *Report) allSections() []section {
	return []section{
		r.rankSection(),
		r.kindSection(),
		r.codeSection(),
		r.loadSection("Headroom by region (requests in flight)", "region", "No host sent to a region.", r.Regions),
		r.loadSection("Shifts against their caps (requests in flight)", "shift", "No request came by a shift.", r.ShiftLoads),
		r.loadSection("Links against their caps (requests in flight)", "link", "No request came over a link with a cap.", r.LinkLoads),
		r.changeSection(),
		r.spanSection("Shifts of traffic", "No shift began or ended.", r.Shifts),
		r.spanSection("Drains", "Nothing was drained.", r.Drains),
		r.stopSection(),
		r.spanSection("Failures of hosts", "No host saw another one fail.", r.Failures),
		r.spanSection("Outages of the platform", "The platform answered all day, as far as hosts saw.", r.Outages),
	}
}

var workColumns = []string{"asked", "correct in time", "late", "not run", "outcome unknown", "score", "p50", "p99"}

func (w Work) cells() []string {
	return []string{
		strconv.FormatUint(w.Asked, 10),
		w.correctCell(),
		strconv.FormatUint(w.Late, 10),
		strconv.FormatUint(w.NotRun, 10),
		strconv.FormatUint(w.Unknown, 10),
		fmt.Sprintf("%g of %g", w.Score, w.Worth),
		latencyText(w.P50),
		latencyText(w.P99),
	}
}

func (w Work) correctCell() string {
	if w.Share == nil {
		return "none asked"
	}
	return fmt.Sprintf("%d (%s)", w.Correct, percentText(*w.Share))
}

func (r *Report) rankSection() section {
	s := section{
		title:   "Service by rank",
		columns: append([]string{"rank", "target"}, workColumns...),
		empty:   "No requests are known.",
		charts:  r.rankCharts(),
	}
	for _, k := range r.Ranks {
		target := "none"
		if k.Target > 0 {
			target = percentText(k.Target)
		}
		s.rows = append(s.rows, append([]string{k.Name, target}, k.cells()...))
	}
	return s
}

func (r *Report) kindSection() section {
	s := section{
		title:   "Service by kind",
		columns: append([]string{"kind", "rank"}, workColumns...),
		empty:   "No requests are known.",
	}
	for _, k := range r.Kinds {
		s.rows = append(s.rows, append([]string{k.Name, k.Rank}, k.cells()...))
	}
	return s
}

func (r *Report) codeSection() section {
	s := section{
		title:   "Requests without a whole answer, by result code",
		columns: []string{"kind", "code", "outcome", "requests"},
		empty:   "All requests got a whole answer.",
	}
	for _, k := range r.Kinds {
		for _, c := range k.Codes {
			s.rows = append(s.rows, []string{
				k.Name,
				strconv.Itoa(int(c.Code)),
				strings.ReplaceAll(string(c.Outcome), "_", " "),
				strconv.FormatUint(c.Count, 10),
			})
		}
	}
	return s
}

func (r *Report) loadSection(title, what, empty string, loads []Load) section {
	s := section{
		title:   title,
		columns: []string{what, "cap", "mean", "peak", "peak at", "least headroom"},
		empty:   empty,
		charts:  r.loadCharts(what, loads),
	}
	for _, g := range loads {
		s.rows = append(s.rows, []string{
			g.Name,
			strconv.Itoa(g.Cap),
			fmt.Sprintf("%.2f", g.Mean),
			strconv.Itoa(g.Peak),
			r.clock(g.PeakAt),
			strconv.Itoa(g.Headroom),
		})
	}
	return s
}

func (r *Report) changeSection() section {
	s := section{
		title:   "Changes of the configuration",
		columns: []string{"version", "confirmed", "hosts", "until everywhere", "missing at"},
		empty:   "No change was confirmed.",
		summary: r.changeSummary(),
	}
	for _, c := range slowestFirst(r.Changes) {
		took := "not known"
		if d, ok := c.Took(); ok {
			took = durationText(d)
		}
		s.rows = append(s.rows, []string{
			strconv.FormatUint(c.Version, 10),
			r.clock(c.ConfirmedAt),
			strconv.Itoa(c.Hosts),
			took,
			list(append(append([]string{}, c.Without...), c.Unknown...)),
		})
	}
	return s
}

// slowestFirst orders changes that are not in force everywhere before those that
// are, the slowest first.
func slowestFirst(changes []Change) []Change {
	s := slices.Clone(changes)
	slices.SortStableFunc(s, func(a, b Change) int {
		x, known := a.Took()
		y, alsoKnown := b.Took()
		switch {
		case known && alsoKnown:
			return cmp.Compare(y, x)
		case alsoKnown:
			return -1
		case known:
			return 1
		default:
			return 0
		}
	})
	return s
}

// changeSummary says how long changes took, or nothing of fewer than two.
func (r *Report) changeSummary() string {
	took := []time.Duration{}
	for _, c := range r.Changes {
		if d, ok := c.Took(); ok {
			took = append(took, d)
		}
	}
	if len(took) < 2 {
		return ""
	}
	slices.Sort(took)
	return fmt.Sprintf("%d changes; until everywhere: median %s, longest %s.",
		len(r.Changes), durationText(took[len(took)/2]), durationText(took[len(took)-1]))
}

func (r *Report) spanSection(title, empty string, spans []Span) section {
	s := section{
		title:   title,
		columns: []string{"what", "begun", "ended", "took", "seen by", "result"},
		empty:   empty,
	}
	for _, x := range spans {
		took := "not known"
		if d, ok := x.Took(); ok {
			took = durationText(d)
		}
		result := x.Text
		if x.Failed {
			result = "failed: " + result
		}
		s.rows = append(s.rows, []string{
			spanName(x),
			r.clock(x.Begun),
			r.endCell(x),
			took,
			hosts(x.Hosts),
			result,
		})
	}
	return s
}

// endCell says when x ended, or that no host saw an end of what began.
func (r *Report) endCell(x Span) string {
	if x.Ended.IsZero() && !x.Begun.IsZero() {
		return "no end seen"
	}
	return r.clock(x.Ended)
}

func (r *Report) stopSection() section {
	s := section{
		title:   "Planned stops of hosts",
		columns: []string{"host", "ended"},
		empty:   "No host was stopped by plan.",
	}
	for _, x := range r.Stops {
		s.rows = append(s.rows, []string{x.Host, r.clock(x.At)})
	}
	return s
}

// clock writes the time of day of t.
func (r *Report) clock(t time.Time) string {
	if t.IsZero() {
		return "not known"
	}
	return t.In(r.location).Format(time.TimeOnly)
}

func list(s []string) string {
	if len(s) == 0 {
		return "none"
	}
	return hosts(s)
}

// hosts names a few hosts and counts the others.
func hosts(s []string) string {
	const most = 4
	if len(s) <= most {
		return strings.Join(s, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(s[:most], ", "), len(s)-most)
}
