// Kit2 plays the cases of the second review: it starts hosts as processes beside stand-ins for
// the platform, endpoints and clients, and checks one rule of the users' pages. It exits with 1
// if the rule was broken, with 0 if it held, and with 2 if the case could not run.
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
	exitNotRun = 2
)

// play plays a case, with its disruption or without, and returns what broke the rule.
type play func(w *world, trouble bool) ([]string, error)

var plays = map[string]play{
	"return":   playReturn,
	"midway":   playMidway,
	"notice":   playNotice,
	"left":     playLeft,
	"suspects": playSuspects,
}

func main() {
	name := flag.String("case", "", "`name` of the case")
	path := flag.String("record", "record.txt", "`file` for the record")
	flag.Parse()
	os.Exit(run(*name, *path))
}

func run(name, path string) int {
	p, ok := plays[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitNotRun
	}
	f, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.Close()
	r := &record{
		file:  f,
		began: time.Now(),
	}
	w, err := newWorld(r)
	if err != nil {
		r.note("not run: %s", err)
		return exitNotRun
	}
	defer w.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-ended
		w.close()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case %s, with trouble: %t", name, trouble)
	broken, err := p(w, trouble)
	switch {
	case err != nil:
		r.note("not run: %s", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case len(broken) > 0:
		for _, b := range broken {
			r.note("BROKEN %s", b)
			fmt.Println("BROKEN", b)
		}
		return exitBroken
	default:
		r.note("held")
		fmt.Println("held")
		return exitHeld
	}
}
