package main

import (
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"heatherford/io/operator"
)

func status(e *environment, args []string) error {
	f, t := newFlags(e, "status")
	if err := parse(f, args); err != nil {
		return err
	}
	a := operator.Status{}
	if err := t.call(http.MethodGet, "/v1/status", nil, &a); err != nil {
		return err
	}
	if *t.asJSON {
		return printJSON(e.stdout, a)
	}
	printStatus(e.stdout, a, time.Now())
	return nil
}

func history(e *environment, args []string) error {
	const defaultCount = 10
	f, t := newFlags(e, "history")
	count := f.Int("count", defaultCount, "the `number` of versions, the newest first")
	if err := parse(f, args); err != nil {
		return err
	}
	h := operator.History{}
	if err := t.call(http.MethodGet, fmt.Sprintf("/v1/history?count=%d", *count), nil, &h); err != nil {
		return err
	}
	if *t.asJSON {
		return printJSON(e.stdout, h)
	}
	printHistory(e.stdout, h)
	return nil
}

// build is what version prints.
type build struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

func version(e *environment, args []string) error {
	f := newFlagSet(e, "version")
	asJSON := f.Bool("json", false, "print JSON")
	if err := parse(f, args); err != nil {
		return err
	}
	b := build{
		Version: "unknown",
	}
	if i, ok := debug.ReadBuildInfo(); ok {
		b.Version = i.Main.Version
		b.Go = i.GoVersion
	}
	if *asJSON {
		return printJSON(e.stdout, b)
	}
	fmt.Fprintf(e.stdout, "heatherford %s, built with %s\n", b.Version, b.Go)
	return nil
}
