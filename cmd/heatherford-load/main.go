// Heatherford-load offers work to a system of heatherfordd processes in an open
// loop and reports how it was served; it also writes the files of a lab.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"golang.org/x/sync/errgroup"
)

func main() {
	path := flag.String("scenario", "scenario.json", "`file` with the scenario to run")
	seed := flag.Uint64("seed", 1, "`seed` of arrivals and callers")
	out := flag.String("out", "", "`file` to write the report to as JSON")
	write := flag.String("write-lab", "", "write a lab's files to this `directory` and exit")
	o := labOptions{}
	flag.StringVar(&o.declaration, "declaration", "samples/authority.json", "lab: `file` with the declaration")
	flag.StringVar(&o.user, "user", "authority", "lab: `user` whose workloads to offer, authority or pitchwise")
	flag.StringVar(&o.policy, "policy", "", "lab: the daemons' `policy`")
	flag.IntVar(&o.hosts, "hosts", 20, "lab: `number` of entry hosts")
	flag.IntVar(&o.basePort, "base-port", 21000, "lab: first `port` to use")
	flag.Float64Var(&o.seconds, "seconds", 20, "lab: measured `seconds`")
	flag.Parse()
	o.seed = *seed
	err := error(nil)
	if *write != "" {
		err = writeLab(*write, o)
	} else {
		err = run(*path, *seed, *out)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "heatherford-load:", err)
		os.Exit(1)
	}
}

func run(path string, seed uint64, out string) error {
	s, err := loadScenario(path)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	b := newBench(s, seed)
	b.schedule()
	w := newWatch(s)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		b.run(ctx)
		return nil
	})
	g.Go(func() error {
		return w.run(ctx, b.start, b.end)
	})
	g.Go(func() error {
		return w.inject(ctx, b.start, s.Faults)
	})
	if err := g.Wait(); err != nil {
		return err
	}
	r := b.report(w)
	r.print(os.Stderr)
	if err := r.write(out); err != nil {
		return err
	}
	return r.expect(os.Stdout, s)
}

// write writes the report as JSON, unless there is no name of a file.
func (r *Report) write(out string) error {
	if out == "" {
		return nil
	}
	j, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(out, j, fileMode)
}

const fileMode = 0o600
