package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"heatherford/core/timeline"
	"heatherford/io/operator"
)

func timelineCommand(e *environment, args []string) error {
	f, t := newFlags(e, "timeline")
	request := f.String("request", "", "the `identifier` of one request")
	since := f.String("since", "", "the earliest `time`, such as 2026-12-04T18:00:00Z, or how long ago, such as 5m")
	kind := f.String("kind", "", "`kinds` of events, such as grant,config,drain")
	limit := f.Int("limit", 0, "the most `events` of one host")
	if err := parse(f, args); err != nil {
		return err
	}
	if *request == "" && *since == "" {
		return wrongUsage("timeline needs -request or -since")
	}
	q := url.Values{}
	set(q, "request", *request)
	set(q, "kind", *kind)
	if *limit > 0 {
		set(q, "limit", fmt.Sprint(*limit))
	}
	if *since != "" {
		at, err := sinceTime(*since, time.Now())
		if err != nil {
			return err
		}
		set(q, "since", at.UTC().Format(time.RFC3339Nano))
	}
	a := operator.Timeline{}
	if err := t.call(http.MethodGet, "/v1/timeline?"+q.Encode(), nil, &a); err != nil {
		return err
	}
	if *t.asJSON {
		return json.NewEncoder(e.stdout).Encode(a)
	}
	printTimeline(e.stdout, a)
	return nil
}

func set(q url.Values, name, value string) {
	if value != "" {
		q.Set(name, value)
	}
}

func sinceTime(s string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(s); err == nil {
		return now.Add(-d), nil
	}
	t, err := time.Parse(time.RFC3339Nano, s)
	if err != nil {
		return t, fmt.Errorf("heatherford: -since: expected a time or a duration, found %q", s)
	}
	return t, nil
}

func printTimeline(w io.Writer, a operator.Timeline) {
	for _, e := range a.Events {
		printEvent(w, e)
	}
	for _, h := range a.Hosts {
		if h.Error != "" {
			fmt.Fprintf(w, "host %s did not answer: %s\n", h.Host, h.Error)
		}
		if h.Forgotten {
			fmt.Fprintf(w, "host %s no longer has all events of that time\n", h.Host)
		}
	}
}

func printEvent(w io.Writer, e timeline.Event) {
	const layout = "2006-01-02T15:04:05.000000Z"
	fmt.Fprintf(w, "%s %s %s", e.At.Time().Format(layout), e.Host, e.Kind)
	for _, s := range []string{e.Request, e.Subject} {
		if s != "" {
			fmt.Fprintf(w, " %s", s)
		}
	}
	fmt.Fprintf(w, ": %s\n", e.Text)
}
