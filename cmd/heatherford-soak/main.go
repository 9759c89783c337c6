// Heatherford-soak runs hosts as separate processes beside stand-ins for the table
// and the endpoints, brings faults about from outside of them, and checks what
// clients and endpoints see. It ends only processes that it started.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

func main() {
	if soak() > 0 {
		os.Exit(1)
	}
}

// soak plays the seeds that the flags name and returns how many failed.
func soak() int {
	o := options{}
	flag.Uint64Var(&o.Seed, "seed", 1, "`seed` of the first run")
	seeds := flag.Int("seeds", 1, "`number` of runs, each with the next seed")
	flag.DurationVar(&o.Length, "length", 12*time.Second, "`time` of faults in each run")
	flag.IntVar(&o.Hosts, "hosts", 1, "`number` of hosts in each of four zones")
	flag.StringVar(&o.Program, "program", "target/heatherford-edge", "`file` of the host's program")
	race := flag.Bool("race", false, "build the hosts' programs with the race detector, in place of -program")
	old := flag.String("old", "", "`commit` whose build the hosts run at first; they are replaced one after the other by the new build, and back")
	flag.StringVar(&o.Logs, "logs", "", "`folder` for the hosts' logs of runs that failed; empty keeps none")
	flag.IntVar(&o.Strand, "strand", 2, fmt.Sprintf("`weight` of hosts that are cut off from all endpoints, beside %d of all other faults", otherFaults))
	flag.IntVar(&o.Foreign, "foreign", 0, "`weight` of another writer's entries among those of the endpoints, likewise")
	flag.Parse()
	if *race {
		program, remove, err := build("", true)
		if err != nil {
			fmt.Fprintln(os.Stderr, "heatherford-soak:", err)
			return *seeds
		}
		defer remove()
		o.Program = program
	}
	if *old != "" {
		program, remove, err := buildCommit(*old, *race)
		if err != nil {
			fmt.Fprintln(os.Stderr, "heatherford-soak:", err)
			return *seeds
		}
		defer remove()
		o.Old = program
	}
	failed := 0
	for range *seeds {
		r := run(o)
		fmt.Println(r)
		for _, b := range r.Broken {
			fmt.Println("  broken:", b)
		}
		if len(r.Broken) > 0 {
			failed++
		}
		o.Seed++
	}
	fmt.Printf("%d runs, %d failed\n", *seeds, failed)
	return failed
}
