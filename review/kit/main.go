// Review-kit plays the cases of the review: it starts heatherford-edge as separate processes
// on loopback beside a store, endpoints and clients of its own, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is what a case has shown.
type verdict struct {
	broken bool
	text   string
}

func main() {
	name := flag.String("case", "", "`name` of the case")
	record := flag.String("record", "", "`file` that takes the record")
	program := flag.String("program", "target/heatherford-edge", "`file` of the host's program")
	flag.Parse()
	os.Exit(run(*name, *record, *program))
}

func run(name, record, program string) int {
	cases := map[string]func(w *world, trouble bool) (verdict, error){
		"silence":  playSilence,
		"deadly":   playDeadly,
		"bodies":   playBodies,
		"evacuate": playEvacuate,
		"lapse":    playLapse,
	}
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "review-kit: no case %q\n", name)
		return exitNotRun
	}
	w, err := newWorld(record, program)
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-kit:", err)
		return exitNotRun
	}
	defer w.close()
	stop := w.closeAtEnd()
	defer stop()
	v, err := play(w, os.Getenv("TROUBLE") != "0")
	if err != nil {
		w.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, "review-kit:", err)
		return exitNotRun
	}
	w.note("verdict: broken=%t: %s", v.broken, v.text)
	fmt.Printf("broken=%t: %s\n", v.broken, v.text)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}
