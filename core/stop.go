package core

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"heatherford/core/timeline"
)

// Phase is a phase of a planned stop. Phases run one after another.
type Phase int

// The phases of a planned stop.
const (
	// PhaseAnnounce tells the other hosts that this one is leaving, so that
	// look-ups no longer return it.
	PhaseAnnounce Phase = iota
	// PhaseExpire waits until callers' cached look-ups have expired.
	PhaseExpire
	// PhaseHandOver hands over grants, tickets and stored answers to other hosts.
	PhaseHandOver
	// PhaseFinish lets the requests in flight end and closes the listeners.
	PhaseFinish
	// PhaseRecord writes the last roll-up.
	PhaseRecord
	phaseCount
)

// String implements fmt.Stringer.
func (p Phase) String() string {
	switch p {
	case PhaseAnnounce:
		return "announce"
	case PhaseExpire:
		return "expire"
	case PhaseHandOver:
		return "hand over"
	case PhaseFinish:
		return "finish"
	case PhaseRecord:
		return "record"
	default:
		return strconv.Itoa(int(p))
	}
}

// laterPhasesReserve is the divisor of the time that a phase before PhaseFinish leaves
// to the phases after it, even if it runs late: a third of what is left of the stop's
// time when the phase begins.
const laterPhasesReserve = 3

// recordReserve is the divisor of the time that PhaseFinish leaves to PhaseRecord: a
// tenth of the stop's time.
const recordReserve = 10

// stopHook is a function that a plug-in runs in a phase.
type stopHook struct {
	name string
	run  func(ctx context.Context) error
}

// stopping is the state of a planned stop.
type stopping struct {
	once sync.Once
	// begun is closed when the stop begins.
	begun chan struct{}
	// hooks don't change after the kernel has started.
	hooks [phaseCount][]stopHook
}

// OnStop registers a hook, run, for a phase of a planned stop. It is called from Attach
// or Start. The hooks of one phase run concurrently, and their context ends when the
// phase's time is over. An error is logged and does not end the stop.
func (k *Kernel) OnStop(p Phase, name string, run func(ctx context.Context) error) {
	k.stopping.hooks[p] = append(k.stopping.hooks[p], stopHook{
		name: name,
		run:  run,
	})
}

// Stop runs the phases of a planned stop, ends the daemon and waits for all its
// goroutines. The first call sets the deadline; further calls wait for the same stop.
// Stop is safe for concurrent use after Start has returned.
func (k *Kernel) Stop() error {
	k.stopping.once.Do(k.stop)
	return k.tomb.Wait()
}

// Stopping reports whether a planned stop has begun. It is safe for concurrent
// use.
func (k *Kernel) Stopping() bool {
	select {
	case <-k.stopping.begun:
		return true
	default:
		return false
	}
}

func (k *Kernel) stop() {
	started := k.Now()
	deadline := started.Add(k.Settings.Limits.StopDeadline.Std())
	close(k.stopping.begun)
	level.Info(k.Log).Log("msg", "stop: begun", "deadline", deadline.UTC().Format(time.RFC3339))
	k.Record(timeline.Event{
		Kind:    timeline.KindStop,
		Phase:   timeline.PhaseBegun,
		Subject: k.Settings.Host,
		Text:    "planned stop begun",
	})
	k.post(func(c *control) {
		c.stopping = true
		c.changed = true
	})
	ctx, cancel := context.WithDeadline(k.tomb.Context(context.Background()), deadline)
	defer cancel()
	for p := range phaseCount {
		k.runPhase(ctx, p, deadline)
	}
	level.Info(k.Log).Log("msg", "stop: ended", "took", k.Now().Sub(started))
	k.tomb.Kill(nil)
}

// runPhase runs the hooks of p and waits for them.
func (k *Kernel) runPhase(ctx context.Context, p Phase, deadline time.Time) {
	ctx, cancel := context.WithDeadline(ctx, k.phaseEnd(p, deadline))
	defer cancel()
	wg := sync.WaitGroup{}
	for _, h := range k.stopping.hooks[p] {
		wg.Go(func() {
			if err := h.run(ctx); err != nil {
				level.Warn(k.Log).Log("msg", "stop: hook failed", "phase", p, "hook", h.name, "err", err)
			}
		})
	}
	wg.Wait()
	k.recordPhase(p)
}

// phaseEnd returns the time by which p, which begins now, must end.
func (k *Kernel) phaseEnd(p Phase, deadline time.Time) time.Time {
	switch p {
	case PhaseRecord:
		return deadline
	case PhaseFinish:
		return deadline.Add(-k.Settings.Limits.StopDeadline.Std() / recordReserve)
	default:
		left := deadline.Sub(k.Now())
		return deadline.Add(-left / laterPhasesReserve)
	}
}

// recordPhase records the end of p. For the evening page the stop ends with PhaseFinish,
// since PhaseRecord writes the last roll-up.
func (k *Kernel) recordPhase(p Phase) {
	e := timeline.Event{
		Kind:    timeline.KindStop,
		Subject: k.Settings.Host,
		Text:    "phase " + p.String() + " ended",
	}
	if p == PhaseFinish {
		e.Phase = timeline.PhaseEnded
		e.Text = "no request is in flight any more"
	}
	k.Record(e)
}

// expireLookups waits until cached look-ups that returned this host have expired.
func (k *Kernel) expireLookups(ctx context.Context) error {
	if k.Snapshot().Version == nil {
		return nil
	}
	t := time.NewTimer(k.Settings.Limits.LookupTTL.Std())
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
