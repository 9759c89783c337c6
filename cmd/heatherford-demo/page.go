package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"heatherford/core/report"
	"heatherford/io/operator"
)

// writePage writes the evening page of today into the directory dir and reads
// its counts back from it.
func (w *world) writePage(out io.Writer, dir string) error {
	now := time.Now().UTC()
	from := now.Truncate(24 * time.Hour)
	in := report.Input{
		Day:      from.Format(time.DateOnly),
		From:     from,
		To:       from.Add(24 * time.Hour),
		Now:      now,
		Location: time.UTC,
	}
	if err := w.readRollUps(&in); err != nil {
		return err
	}
	r := report.Build(in)
	b := &bytes.Buffer{}
	if err := report.HTML(b, r); err != nil {
		return err
	}
	const dirMode, fileMode = 0o755, 0o644
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	path := filepath.Join(dir, r.Day+".html")
	if err := os.WriteFile(path, b.Bytes(), fileMode); err != nil {
		return err
	}
	fmt.Fprintf(out, "   %s\n   it is in %s\n", r.Headline, path)
	return w.checkPage(r)
}

// checkPage returns an error unless the page counts every request that the
// demo's callers sent.
func (w *world) checkPage(r *report.Report) error {
	asked := uint64(0)
	for _, k := range r.Kinds {
		asked += k.Asked
	}
	if sent := w.sent.Load(); asked != sent {
		return fmt.Errorf("the page counts %d requests, the callers sent %d", asked, sent)
	}
	return nil
}

// readRollUps fills in the roll-ups that the first daemon can read.
func (w *world) readRollUps(in *report.Input) error {
	q := url.Values{}
	q.Set("from", in.From.Format(time.RFC3339))
	q.Set("to", in.To.Format(time.RFC3339))
	a, err := w.client.Get("http://" + w.daemons[0].settings.OperatorAddress.String() + "/v1/rollups?" + q.Encode())
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("roll-ups: status %d", a.StatusCode)
	}
	d := json.NewDecoder(a.Body)
	for {
		l := operator.RollUpLine{}
		if err := d.Decode(&l); err != nil {
			return err
		}
		switch {
		case l.End:
			return nil
		case l.Problem != "":
			in.Problems = append(in.Problems, l.Problem)
		case l.Roll != nil:
			in.Rolls = append(in.Rolls, l.Roll)
		}
	}
}
