// Heatherford-edge runs on every host of a platform on which endpoints register
// themselves. It takes callers' requests, chooses endpoints for them and answers
// look-ups.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"heatherford/core/code"
	"heatherford/platform"
)

// Exit codes; docs/CODES.md lists them.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	path := flag.String("settings", os.Getenv(platform.EnvSettings), "`file` with the host's settings")
	check := flag.Bool("check", false, "validate the settings and exit")
	lines := flag.Int("lines", linesPerSecond, "log `lines` a second of each kind at most; 0 writes none")
	flag.Usage = usage
	flag.Parse()
	if flag.NArg() > 0 || *lines < 0 {
		usage()
		os.Exit(exitSettings)
	}
	os.Exit(run(*path, *check, *lines))
}

func usage() {
	fmt.Fprintf(flag.CommandLine.Output(), `usage: heatherford-edge [flags]

Runs on a host of the platform: takes callers' requests, chooses endpoints for them
and answers look-ups. SIGTERM ends it after the last request, SIGHUP has it read its
settings again. Log lines go to standard output.

  heatherford-edge -settings /etc/heatherford/local.toml
  heatherford-edge -check -settings /etc/heatherford/local.toml

`)
	flag.PrintDefaults()
}

func run(path string, check bool, lines int) int {
	if check {
		return checkSettings(path)
	}
	s, err := platform.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	// The reader of the log may end before the host.
	signal.Ignore(syscall.SIGPIPE)
	limitMemory(s.MemoryBytes)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	d, err := start(s, path, lines)
	if err != nil {
		fmt.Fprintf(os.Stderr, "heatherford-edge: cannot start: %s [%d]\n", code.Text(err), code.Of(err))
		return exitFailed
	}
	return d.wait(signals, reloads)
}

// checkSettings prints all that is wrong with the settings.
func checkSettings(path string) int {
	problems := platform.CheckSettings(path)
	for _, p := range problems {
		fmt.Fprintln(os.Stderr, p)
	}
	if len(problems) > 0 {
		return exitSettings
	}
	fmt.Println("settings are valid")
	return exitOK
}
