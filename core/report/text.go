package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Text writes r as plain text. Its first line is the headline.
func Text(w io.Writer, r *Report) error {
	b := &strings.Builder{}
	fmt.Fprintf(b, "%s\n\n%s\n", r.Headline, r.subtitle())
	textList(b, "Why it did not go well", r.Reasons)
	textList(b, "What is missing", r.Missing)
	textList(b, "Notes", r.Notes)
	for _, s := range r.sections() {
		fmt.Fprintf(b, "\n%s\n", s.title)
		if len(s.rows) == 0 {
			fmt.Fprintf(b, "  %s\n", s.empty)
			continue
		}
		textLine(b, s.summary)
		if err := textTable(b, s); err != nil {
			return err
		}
		textLine(b, s.more)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// subtitle says what the page covers.
func (r *Report) subtitle() string {
	return fmt.Sprintf("heatherford, %s (%s), from %d hosts, made at %s",
		r.Day, r.TimeZone, r.Hosts, r.MadeAt.In(r.location).Format(time.DateTime))
}

func textLine(w io.Writer, s string) {
	if s != "" {
		fmt.Fprintf(w, "  %s\n", s)
	}
}

func textList(w io.Writer, title string, s []string) {
	if len(s) == 0 {
		return
	}
	fmt.Fprintf(w, "\n%s\n", title)
	for _, x := range s {
		fmt.Fprintf(w, "  - %s\n", x)
	}
}

func textTable(w io.Writer, s section) error {
	const padding = 2
	t := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	for _, r := range append([][]string{s.columns}, s.rows...) {
		// Text of others must not break the columns.
		for i, c := range r {
			r[i] = strings.Join(strings.Fields(c), " ")
		}
		fmt.Fprintf(t, "  %s\n", strings.Join(r, "\t"))
	}
	return t.Flush()
}
