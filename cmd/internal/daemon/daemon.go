// Package daemon runs a heatherfordd for the programs that are one.
package daemon

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"heatherford/core"
	"heatherford/core/settings"
)

// Exit codes; docs/CODES.md lists them.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// Options are what a daemon is run with.
type Options struct {
	// Path is the settings' file.
	Path string
	// Check validates the settings and does no more.
	Check bool
	// Dial connects to other daemons; nil stands for net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Run runs a daemon until a signal ends it, and returns the exit code.
func Run(o Options) int {
	s, problems := settings.Load(o.Path)
	for _, p := range problems {
		fmt.Fprintln(os.Stderr, p)
	}
	if len(problems) > 0 {
		return exitSettings
	}
	if o.Check {
		fmt.Println("settings are valid")
		return exitOK
	}
	// The reader of the log may end before the daemon.
	signal.Ignore(syscall.SIGPIPE)
	// A signal that comes during the start stops the daemon right after it. A
	// further signal changes nothing: the stop's deadline stands.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	l := newLogger(s)
	k, err := core.New(core.Options{
		Settings: s,
		Log:      l,
		Metrics:  tally.NoopScope,
		Dial:     o.Dial,
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
