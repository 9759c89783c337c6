// Heatherfordd is the daemon that runs on every entry host.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"heatherford/core"
	"heatherford/core/settings"
	_ "heatherford/io/caller"
	_ "heatherford/io/collector"
	_ "heatherford/io/operator"
	_ "heatherford/io/peer"
	_ "heatherford/io/platform"
	_ "heatherford/io/upstream"
)

// Exit codes; docs/CODES.md lists them.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	path := flag.String("settings", "heatherfordd.json", "`file` with the daemon's settings")
	check := flag.Bool("check", false, "validate the settings and exit")
	flag.Parse()
	os.Exit(run(*path, *check))
}

func run(path string, check bool) int {
	s, problems := settings.Load(path)
	for _, p := range problems {
		fmt.Fprintln(os.Stderr, p)
	}
	if len(problems) > 0 {
		return exitSettings
	}
	if check {
		fmt.Println("settings are valid")
		return exitOK
	}
	// A signal that comes during the start stops the daemon right after it. A
	// further signal changes nothing: the stop's deadline stands.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	tuneMemory()
	l := newLogger(s)
	k, err := core.New(core.Options{
		Settings: s,
		Log:      l,
		Metrics:  tally.NoopScope,
	})
	if err != nil {
		level.Error(l).Log("msg", "heatherfordd: cannot start", "err", err)
		return exitFailed
	}
	if err := k.Start(); err != nil {
		level.Error(l).Log("msg", "heatherfordd: cannot start", "err", err)
		return exitFailed
	}
	select {
	case <-signals:
	case <-k.Dead():
	}
	if err := k.Stop(); err != nil {
		level.Error(l).Log("msg", "heatherfordd: ended", "err", err)
		return exitFailed
	}
	return exitOK
}

func newLogger(s *settings.Settings) log.Logger {
	w := log.NewSyncWriter(os.Stderr)
	l := log.NewLogfmtLogger(w)
	if s.Log.Format == "json" {
		l = log.NewJSONLogger(w)
	}
	l = level.NewFilter(l, level.Allow(level.ParseDefault(s.Log.Level, level.InfoValue())))
	return log.With(l, "time", log.DefaultTimestampUTC, "host", s.Host)
}
