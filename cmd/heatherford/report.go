package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"time"

	// The time zones of the owners, for machines that have none installed.
	_ "time/tzdata"

	"heatherford/core/report"
	"heatherford/core/rollup"
	"heatherford/io/operator"
)

// reportTimeout bounds the reading of a day's roll-ups, which the host spreads
// over minutes if there are very many.
const reportTimeout = 15 * time.Minute

func reportCommand(e *environment, args []string) error {
	f, t := newFlags(e, "report")
	day := f.String("day", "", "the `date`, such as 2026-12-04; today if empty")
	zone := f.String("zone", "UTC", "the `time zone` of the day, such as Asia/Ulaanbaatar")
	out := f.String("out", ".", "`directory` for the page as HTML, text and JSON")
	if err := parse(f, args); err != nil {
		return err
	}
	in, err := reportDay(*day, *zone, time.Now())
	if err != nil {
		return err
	}
	if err := readRollUps(t, in); err != nil {
		return err
	}
	r := report.Build(*in)
	if err := writeReport(*out, r); err != nil {
		return err
	}
	if *t.asJSON {
		return json.NewEncoder(e.stdout).Encode(r)
	}
	fmt.Fprintln(e.stdout, r.Headline)
	return nil
}

// reportDay returns the bounds of the day in the time zone.
func reportDay(day, zone string, now time.Time) (*report.Input, error) {
	l, err := time.LoadLocation(zone)
	if err != nil {
		return nil, fmt.Errorf("heatherford: -zone: %w", err)
	}
	from := now.In(l)
	if day != "" {
		from, err = time.ParseInLocation(time.DateOnly, day, l)
		if err != nil {
			return nil, fmt.Errorf("heatherford: -day: expected a date such as 2026-12-04, found %q", day)
		}
	}
	from = time.Date(from.Year(), from.Month(), from.Day(), 0, 0, 0, 0, l)
	to := from.AddDate(0, 0, 1)
	if !from.Equal(from.Truncate(rollup.HourLength)) || !to.Equal(to.Truncate(rollup.HourLength)) {
		return nil, fmt.Errorf("heatherford: -zone: days of %s do not begin at a full hour of UTC, by which hosts count", zone)
	}
	return &report.Input{
		Day:      from.Format(time.DateOnly),
		From:     from.UTC(),
		To:       to.UTC(),
		Now:      now.UTC(),
		Location: l,
	}, nil
}

// readRollUps fills in the roll-ups and what could not be read.
func readRollUps(t *target, in *report.Input) error {
	q := url.Values{}
	q.Set("from", in.From.Format(time.RFC3339))
	q.Set("to", in.To.Format(time.RFC3339))
	b, err := t.open(http.MethodGet, "/v1/rollups?"+q.Encode(), nil, reportTimeout)
	if err != nil {
		return err
	}
	defer b.Close()
	d := json.NewDecoder(b)
	for {
		l := operator.RollUpLine{}
		if err := d.Decode(&l); err != nil {
			return fmt.Errorf("heatherford: the roll-ups are cut off: %w", err)
		}
		if l.End {
			return nil
		}
		if l.Problem != "" {
			in.Problems = append(in.Problems, l.Problem)
		}
		if l.Roll != nil {
			in.Rolls = append(in.Rolls, l.Roll)
		}
	}
}

// writeReport writes r in three forms into the directory.
func writeReport(dir string, r *report.Report) error {
	html := &bytes.Buffer{}
	text := &bytes.Buffer{}
	if err := errors.Join(report.HTML(html, r), report.Text(text, r)); err != nil {
		return err
	}
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	const dirMode = 0o755
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	return errors.Join(
		writeFile(dir, r.Day+".html", html.Bytes()),
		writeFile(dir, r.Day+".txt", text.Bytes()),
		writeFile(dir, r.Day+".json", append(data, '\n')),
	)
}

func writeFile(dir, name string, b []byte) error {
	const mode = 0o644
	return os.WriteFile(filepath.Join(dir, name), b, mode)
}
