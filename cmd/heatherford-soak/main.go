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
	o := options{}
	flag.Uint64Var(&o.Seed, "seed", 1, "`seed` of the first run")
	seeds := flag.Int("seeds", 1, "`number` of runs, each with the next seed")
	flag.DurationVar(&o.Length, "length", 12*time.Second, "`time` of faults in each run")
	flag.IntVar(&o.Hosts, "hosts", 1, "`number` of hosts in each of four zones")
	flag.StringVar(&o.Program, "program", "target/heatherford-edge", "`file` of the host's program")
	flag.StringVar(&o.Logs, "logs", "", "`folder` for the hosts' logs of runs that failed; empty keeps none")
	flag.Parse()
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
	if failed > 0 {
		os.Exit(1)
	}
}
