// Kit3 plays the cases of the third review that are scripts: it starts the edge program with the
// command of the deploy file, beside stand-ins of the platform, servers and clients.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not
// run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// longest is how long a case may take.
const longest = 115 * time.Second

// cases are the cases by name. Each returns what is wrong, or an empty text if the rule held.
var cases = map[string]func(r *record, trouble bool) (string, error){
	"flapping":  flapping,
	"forgotten": forgotten,
	"deadly":    deadly,
	"slash":     slash,
	"moved":     moved,
}

func main() {
	name := flag.String("case", "", "`name` of the case")
	path := flag.String("record", "record.txt", "`file` for what was sent, answered and run")
	flag.Parse()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		processes.end()
		os.Exit(exitFailed)
	}()
	code := run(*name, *path, os.Getenv("TROUBLE") != "0")
	processes.end()
	os.Exit(code)
}

func run(name, path string, trouble bool) int {
	f, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "kit3: no case %q\n", name)
		return exitFailed
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "kit3:", err)
		return exitFailed
	}
	broken, err := play(f, r, trouble)
	code, text := exitHeld, "the rule held"
	switch {
	case err != nil:
		code, text = exitFailed, "the case could not run: "+err.Error()
	case broken != "":
		code, text = exitBroken, "the rule was broken: "+broken
	}
	r.add("result", "exit", code, "text", text)
	if err := r.close(); err != nil {
		fmt.Fprintln(os.Stderr, "kit3:", err)
		return exitFailed
	}
	fmt.Println(text)
	return code
}

// play plays a case, and gives up after the longest time.
func play(f func(r *record, trouble bool) (string, error), r *record, trouble bool) (string, error) {
	type result struct {
		broken string
		err    error
	}
	c := make(chan result, 1)
	go func() {
		b, err := f(r, trouble)
		c <- result{
			broken: b,
			err:    err,
		}
	}()
	select {
	case x := <-c:
		return x.broken, x.err
	case <-time.After(longest):
		return "", fmt.Errorf("it has not ended after %s", longest)
	}
}
