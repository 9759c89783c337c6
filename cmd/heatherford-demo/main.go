// Heatherford-demo shows the whole path in one process: three regions, several
// daemons on embedded stand-ins, traffic, a confirmed shift, a drain, an
// endpoint's death, and the evening page.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"gopkg.in/tomb.v2"
)

// Exit codes; docs/CODES.md lists them.
const (
	exitOK     = 0
	exitFailed = 1
)

func main() {
	once := flag.Bool("once", false, "end after the last step; exit code 0 only if every step held")
	out := flag.String("out", "demo-page", "`directory` to write the evening page to")
	verbose := flag.Bool("verbose", false, "show the daemons' logs")
	flag.Parse()
	os.Exit(run(*once, *out, *verbose))
}

func run(once bool, out string, verbose bool) int {
	logs := io.Discard
	if verbose {
		logs = os.Stderr
	}
	t := &tomb.Tomb{}
	w, err := newWorld(t, logs)
	if err != nil {
		fmt.Fprintln(os.Stderr, "heatherford-demo:", err)
		return exitFailed
	}
	held := w.play(steps(out), os.Stdout)
	if !once && held {
		w.wait(os.Stdout)
	}
	if err := w.stop(t); err != nil {
		fmt.Fprintln(os.Stderr, "heatherford-demo:", err)
		return exitFailed
	}
	if !held {
		return exitFailed
	}
	return exitOK
}

// wait keeps the daemons running until the user interrupts.
func (w *world) wait(out io.Writer) {
	fmt.Fprintln(out, "\nthe daemons go on; try these, and end with Ctrl-C:")
	d := w.daemons[0].settings
	fmt.Fprintf(out, "  curl 'http://%s/v1/lookup?kind=%s'\n", d.CallerAddress, kindName)
	fmt.Fprintf(out, "  curl 'http://%s/v1/work/%s/waivers/7'\n", d.CallerAddress, kindName)
	fmt.Fprintf(out, "  heatherford status -host http://%s\n", d.OperatorAddress)
	s := make(chan os.Signal, 1)
	signal.Notify(s, os.Interrupt, syscall.SIGTERM)
	<-s
}
