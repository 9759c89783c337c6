package report

import (
	"embed"
	"fmt"
	"html/template"
	"io"
)

//go:embed page.html
var pages embed.FS

var page = template.Must(template.ParseFS(pages, "page.html"))

// pageData is what the template shows.
type pageData struct {
	*Report
	Subtitle string
	Sections []pageSection
}

type pageSection struct {
	Title   string
	Columns []string
	Rows    [][]pageCell
	Empty   string
	Summary string
	More    string
	Charts  []pageChart
}

// pageCell is a cell with its column's name, which narrow screens show.
type pageCell struct {
	Column string
	Text   string
}

type pageChart struct {
	Caption string
	SVG     template.HTML
}

// HTML writes r as one page that needs nothing else: no scripts, styles, fonts
// or images from elsewhere.
func HTML(w io.Writer, r *Report) error {
	d := pageData{
		Report:   r,
		Subtitle: r.subtitle(),
	}
	for _, s := range r.sections() {
		x, err := r.pageSection(s)
		if err != nil {
			return err
		}
		d.Sections = append(d.Sections, x)
	}
	if err := page.Execute(w, d); err != nil {
		return fmt.Errorf("report: cannot write the page: %w", err)
	}
	return nil
}

func (r *Report) pageSection(s section) (pageSection, error) {
	x := pageSection{
		Title:   s.title,
		Columns: s.columns,
		Empty:   s.empty,
		Summary: s.summary,
		More:    s.more,
	}
	for _, row := range s.rows {
		cells := []pageCell{}
		for i, c := range row {
			cells = append(cells, pageCell{
				Column: s.columns[i],
				Text:   c,
			})
		}
		x.Rows = append(x.Rows, cells)
	}
	for _, c := range s.charts {
		g, err := c.svg(r)
		if err != nil {
			return x, err
		}
		x.Charts = append(x.Charts, pageChart{
			Caption: c.caption,
			SVG:     g,
		})
	}
	return x, nil
}
