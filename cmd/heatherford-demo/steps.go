package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"heatherford/core/intent"
)

// step is one part of the demo. It holds if run returns nil.
type step struct {
	name string
	run  func(w *world, out io.Writer) error
}

func steps(out string) []step {
	return []step{
		{
			name: "an operator plans and confirms the first declaration",
			run:  declareFirst,
		},
		{
			name: "callers in three regions get their own whole answers",
			run:  serveAll,
		},
		{
			name: "half of a region's work shifts to another, within a cap",
			run:  shiftWork,
		},
		{
			name: "an endpoint is drained and gets nothing new after 3 s",
			run:  drainEndpoint,
		},
		{
			name: "an endpoint dies and its work goes elsewhere",
			run:  killEndpoint,
		},
		{
			name: "all hosts but one stop by plan, under load",
			run:  stopHosts,
		},
		{
			name: "the evening page",
			run: func(w *world, o io.Writer) error {
				return w.writePage(o, out)
			},
		},
	}
}

// play runs the steps until one does not hold, and reports whether all did.
func (w *world) play(steps []step, out io.Writer) bool {
	for i, s := range steps {
		fmt.Fprintf(out, "%d. %s\n", i+1, s.name)
		started := time.Now()
		if err := s.run(w, out); err != nil {
			fmt.Fprintf(out, "   did not hold: %v\n", err)
			return false
		}
		fmt.Fprintf(out, "   held, %.1f s\n", time.Since(started).Seconds())
	}
	return true
}

const (
	// trafficTime is how long a step's traffic lasts.
	trafficTime = 2 * time.Second
	// stepTimeout bounds the wait for a change to take effect.
	stepTimeout = 10 * time.Second
	// drainTime is how soon a leaving endpoint gets nothing new.
	drainTime = 3 * time.Second
)

func declareFirst(w *world, out io.Writer) error {
	if err := w.change(out, w.declaration()); err != nil {
		return err
	}
	return w.until(func() error {
		_, err := w.request(0)
		return err
	})
}

func serveAll(w *world, out io.Writer) error {
	t := w.traffic(out)
	return t.expect(1)
}

// Shift of the demo: half of the first region's work goes to the second.
const (
	shiftShare = 0.5
	shiftCap   = 6
	// shiftGrown is the requests a second that show that the shift grows; its
	// first step is a third of that.
	shiftGrown = 8
)

func shiftWork(w *world, out io.Writer) error {
	w.shifts = []intent.Shift{
		{
			Name:     "evening",
			Upstream: upstreamName,
			From:     regionNames[0],
			To:       regionNames[1],
			Share:    shiftShare,
			Cap:      shiftCap,
		},
	}
	if err := w.change(out, w.declaration()); err != nil {
		return err
	}
	shifted := route{
		from: regionNames[0],
		to:   regionNames[1],
	}
	return w.until(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		t := w.callers(ctx)
		if err := t.expect(1); err != nil {
			return err
		}
		n := t.routes[shifted]
		fmt.Fprintf(out, "   %d requests a second go from %s to %s\n", n, shifted.from, shifted.to)
		if n < shiftGrown {
			return fmt.Errorf("the shift has not grown to %d requests a second", shiftGrown)
		}
		return nil
	})
}

func drainEndpoint(w *world, out io.Writer) error {
	d := w.declaration()
	e := &d.Upstreams[0].Endpoints[0]
	e.Leaving = true
	if err := w.change(out, d); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	if err := w.callers(ctx).expect(1); err != nil {
		return err
	}
	s := w.endpoints[0].standin
	before := s.Counts().Ran
	if err := w.traffic(out).expect(1); err != nil {
		return err
	}
	after := s.Counts().Ran
	fmt.Fprintf(out, "   %s ran %d requests after %v\n", e.Name, after-before, drainTime)
	if after != before {
		return fmt.Errorf("%s got new work after %v", e.Name, drainTime)
	}
	return nil
}

func killEndpoint(w *world, out io.Writer) error {
	e := w.endpoints[len(w.endpoints)-1]
	if err := e.server.Close(); err != nil {
		return err
	}
	fmt.Fprintf(out, "   %s has died\n", e.name)
	// Repeatable work is tried again elsewhere, so that callers see nothing.
	return w.traffic(out).expect(minimumAfterDeath)
}

// stopHosts stops all daemons but the first, one after another.
func stopHosts(w *world, out io.Writer) error {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan *tallied)
	go func() {
		done <- w.callers(ctx)
	}()
	errs := []error{}
	for _, d := range w.daemons[1:] {
		w.leave(d)
		errs = append(errs, d.kernel.Stop())
	}
	cancel()
	t := <-done
	fmt.Fprintf(out, "   %d of %d answered correctly in time while %d hosts stopped\n", t.correct, t.asked, len(w.daemons)-1)
	return errors.Join(append(errs, t.expect(1))...)
}

// minimumAfterDeath is the share of correct answers while an endpoint is dead.
const minimumAfterDeath = 0.99

// traffic sends requests for a while and prints how they ended.
func (w *world) traffic(out io.Writer) *tallied {
	ctx, cancel := context.WithTimeout(context.Background(), trafficTime)
	defer cancel()
	t := w.callers(ctx)
	fmt.Fprintf(out, "   %d of %d answered correctly in time\n", t.correct, t.asked)
	return t
}

func (t *tallied) expect(share float64) error {
	if float64(t.correct) < share*float64(t.asked) {
		return fmt.Errorf("%d of %d answered, the last refusal: %w", t.correct, t.asked, t.lastError)
	}
	return nil
}

// until calls f until it returns nil, and returns its last error otherwise.
func (w *world) until(f func() error) error {
	const interval = 20 * time.Millisecond
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for end := time.Now().Add(stepTimeout); ; {
		err := f()
		if err == nil || time.Now().After(end) {
			return err
		}
		<-tick.C
	}
}

// change plans and confirms d and waits until every daemon has it in force.
func (w *world) change(out io.Writer, d *intent.Declaration) error {
	p, err := w.plan(d)
	if err != nil {
		return err
	}
	for _, c := range p.Changes {
		if p.Base > 0 {
			fmt.Fprintf(out, "   plan: %s %s\n", c.Path, c.Text)
		}
	}
	n, err := w.confirm(p)
	if err != nil {
		return err
	}
	started := time.Now()
	err = w.until(func() error {
		for _, d := range w.daemons {
			if v := d.kernel.Snapshot().Version; v == nil || v.Number < n {
				return fmt.Errorf("%s does not have version %d in force", d.settings.Host, n)
			}
		}
		return nil
	})
	fmt.Fprintf(out, "   version %d in force on %d hosts after %.0f ms\n", n, len(w.daemons), time.Since(started).Seconds()*1e3)
	return err
}
