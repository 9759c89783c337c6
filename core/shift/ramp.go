package shift

import (
	"fmt"
	"time"
)

const (
	// firstShare is the share that a shift starts with.
	firstShare = 0.05
	// growth is the factor between two steps.
	growth = 1.5
	// stepInterval is the least time between two steps, which is long enough
	// for a step to show in the measurements.
	stepInterval = 3 * time.Second
	// staleAge is the age from which on a measurement counts as missing. Loads
	// of 20 hosts are learnt a few seconds late.
	staleAge = 10 * time.Second
	// rest is how long a shift stays as it is after it took a step back.
	rest = 30 * time.Second
	// holdLatency and stopLatency are the factors of the usual latency at which
	// a shift stops growing, and takes a step back.
	holdLatency = 1.25
	stopLatency = 1.6
	// holdUse and stopUse are the same for the use of slots. From 1 on, work
	// waits or is refused.
	holdUse = 0.9
	stopUse = 1.0
)

// Measurement is what is known of the work of one upstream in one region.
type Measurement struct {
	// At is when the oldest part of it was learned. The zero value says that
	// nothing is known.
	At time.Time
	// Latency is the mean time that a request holds a slot, 0 if none did.
	Latency time.Duration
	// Use is the part of the slots that work holds, waits for or was refused.
	Use float64
}

// Phase says what a shift does.
type Phase string

// The phases of a shift.
const (
	// Growing shifts take another step once the last one has shown.
	Growing Phase = "growing"
	// Holding shifts wait for better or newer measurements.
	Holding Phase = "holding"
	// Stopped shifts have taken a step back.
	Stopped Phase = "stopped"
	// Complete shifts have reached the declared share.
	Complete Phase = "complete"
)

// Ramp is the state of one shift. Only one goroutine may use it.
type Ramp struct {
	// Share is the share in force, between 0 and the declared one.
	Share float64
	Phase Phase
	// Reason says why the phase is Holding or Stopped; else it is empty.
	Reason string

	// before is the share before the last step.
	before float64
	// usual is the latency before the shift began.
	usual time.Duration
	// next is when the next step may be taken.
	next time.Time
}

// New returns a ramp that shifts nothing yet.
func New() *Ramp {
	return &Ramp{
		Phase: Growing,
	}
}

// Step decides by the declared share and by what is known of both regions. A
// lower declared share holds at once.
func (r *Ramp) Step(now time.Time, declared float64, from, to Measurement) {
	r.Share = min(r.Share, declared)
	r.before = min(r.before, r.Share)
	if to.At.IsZero() || now.Sub(to.At) > staleAge {
		r.enter(Holding, "no fresh measurement of the receiving region")
		return
	}
	if r.usual == 0 {
		r.usual = to.Latency
	}
	usual := max(r.usual, from.Latency)
	if s := r.worse(usual, to, stopLatency, stopUse); s != "" && r.mayStop(to) {
		r.stop(now, s)
		return
	}
	if now.Before(r.next) {
		return
	}
	if s := r.worse(usual, to, holdLatency, holdUse); s != "" {
		r.enter(Holding, s)
		return
	}
	r.grow(now, declared)
}

// mayStop reports whether a step can be taken back. The first step meets cold
// endpoints, which get warm only by it, so that their latency does not end it.
func (r *Ramp) mayStop(to Measurement) bool {
	return r.Share > 0 && r.Phase != Stopped && (r.Share > firstShare || to.Use >= stopUse)
}

// worse returns what is worse than the bounds allow, or an empty string.
func (r *Ramp) worse(usual time.Duration, to Measurement, latency, use float64) string {
	if limit := time.Duration(latency * float64(usual)); usual > 0 && to.Latency > limit {
		return fmt.Sprintf("latency in the receiving region is %v, over %v", to.Latency.Round(time.Millisecond), limit.Round(time.Millisecond))
	}
	if to.Use >= use {
		return fmt.Sprintf("work in the receiving region asks for %.0f%% of its slots", 100*to.Use)
	}
	return ""
}

func (r *Ramp) stop(now time.Time, reason string) {
	r.Share = r.before
	r.before = 0
	r.next = now.Add(rest)
	r.enter(Stopped, reason)
}

func (r *Ramp) grow(now time.Time, declared float64) {
	if r.Share >= declared {
		r.enter(Complete, "")
		return
	}
	r.before = r.Share
	r.Share = min(declared, max(firstShare, r.Share*growth))
	r.next = now.Add(stepInterval)
	r.enter(Growing, "")
}

func (r *Ramp) enter(p Phase, reason string) {
	r.Phase = p
	r.Reason = reason
}
