// Heatherford is the operators' command line.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
)

// Exit codes; docs/CODES.md lists them.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// command is one subcommand.
type command struct {
	name  string
	about string
	run   func(e *environment, args []string) error
}

// environment is what a subcommand may use.
type environment struct {
	stdout io.Writer
	stderr io.Writer
}

func commands() []command {
	return []command{
		{
			name:  "validate",
			about: "check a declaration without speaking to a host",
			run:   validate,
		},
		{
			name:  "plan",
			about: "say what a declaration would change",
			run:   plan,
		},
		{
			name:  "confirm",
			about: "put a plan in force",
			run:   confirm,
		},
		{
			name:  "status",
			about: "show the version in force",
			run:   status,
		},
		{
			name:  "report",
			about: "write the evening page of a day",
			run:   reportCommand,
		},
		{
			name:  "timeline",
			about: "show the events of all hosts in causal order",
			run:   timelineCommand,
		},
	}
}

func main() {
	os.Exit(run(os.Args[1:], &environment{
		stdout: os.Stdout,
		stderr: os.Stderr,
	}))
}

func run(args []string, e *environment) int {
	if len(args) == 0 {
		usage(e.stderr)
		return exitUsage
	}
	for _, c := range commands() {
		if c.name != args[0] {
			continue
		}
		err := c.run(e, args[1:])
		if err == nil || errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		fmt.Fprintln(e.stderr, err)
		return exitFailed
	}
	usage(e.stderr)
	return exitUsage
}

func usage(w io.Writer) {
	fmt.Fprintln(w, "usage: heatherford <command> [flags]")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-10s %s\n", c.name, c.about)
	}
}
