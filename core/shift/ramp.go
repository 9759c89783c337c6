package shift

import (
	"fmt"
	"time"
)

const (
	// firstShare is the share that a shift starts with.
	firstShare = 0.05
	// growthFactor is the factor by which the share grows in a step.
	growthFactor = 1.5
	// stepInterval is the least time between two steps, long enough for a step to
	// show in the measurements.
	stepInterval = 3 * time.Second
	// staleAge is the age above which a measurement counts as missing. The loads
	// of 20 hosts arrive a few seconds late.
	staleAge = 10 * time.Second
	// stepBackPause is how long a shift keeps its share after it took back a
	// step.
	stepBackPause = 30 * time.Second
	// holdLatencyFactor and stopLatencyFactor are the multiples of the baseline
	// latency above which a shift stops growing and takes back a step.
	holdLatencyFactor = 1.25
	stopLatencyFactor = 1.6
	// holdUtilization and stopUtilization are the same for the utilization of the
	// slots. From 1 on, work waits or is refused.
	holdUtilization = 0.9
	stopUtilization = 1.0
)

// Measurement is what is known of the work for one upstream in one region.
type Measurement struct {
	// At is when the oldest of the data arrived. It is zero if nothing is known.
	At time.Time
	// Latency is the mean time that a request holds a slot, or 0 if none did.
	Latency time.Duration
	// Use is the utilization of the slots, including the work that waits for one
	// or was refused.
	Use float64
}

// Phase says what a shift is doing.
type Phase string

// The phases of a shift.
const (
	// Growing shifts take another step once the last one shows in the
	// measurements.
	Growing Phase = "growing"
	// Holding shifts wait for better or newer measurements.
	Holding Phase = "holding"
	// Stopped shifts have taken back a step.
	Stopped Phase = "stopped"
	// Complete shifts have reached the declared share.
	Complete Phase = "complete"
)

// Ramp is the state of one shift. It is not safe for concurrent use.
type Ramp struct {
	// Share is the share in force, between 0 and the declared one.
	Share float64
	Phase Phase
	// Reason says why the phase is Holding or Stopped, otherwise it is empty.
	Reason string

	// previousShare is the share before the last step.
	previousShare float64
	// baseline is the latency in the receiving region before the shift began,
	// from the first fresh measurement that has one.
	baseline time.Duration
	// nextStep is when the next step may be taken.
	nextStep time.Time
}

// New returns a ramp whose share is 0.
func New() *Ramp {
	return &Ramp{
		Phase: Growing,
	}
}

// Step updates the share from the declared share and the measurements of the
// region that work leaves and of the one that receives it. A declared share below
// the share in force applies at once.
func (r *Ramp) Step(now time.Time, declared float64, from, to Measurement) {
	r.Share = min(r.Share, declared)
	r.previousShare = min(r.previousShare, r.Share)
	if to.At.IsZero() || now.Sub(to.At) > staleAge {
		r.setPhase(Holding, "no fresh measurement of the receiving region")
		return
	}
	if r.baseline == 0 {
		r.baseline = to.Latency
	}
	baseline := max(r.baseline, from.Latency)
	if s := r.exceeded(baseline, to, stopLatencyFactor, stopUtilization); s != "" && r.mayStepBack(to) {
		r.stepBack(now, s)
		return
	}
	if now.Before(r.nextStep) {
		return
	}
	if s := r.exceeded(baseline, to, holdLatencyFactor, holdUtilization); s != "" {
		r.setPhase(Holding, s)
		return
	}
	r.grow(now, declared)
}

// mayStepBack reports whether a step can be taken back. High latency does not
// take back the first step: it meets cold endpoints, which get warm only by its
// work.
func (r *Ramp) mayStepBack(to Measurement) bool {
	return r.Share > 0 && r.Phase != Stopped && (r.Share > firstShare || to.Use >= stopUtilization)
}

// exceeded says which bound the measurement exceeds. It returns an empty string
// if there is none.
func (r *Ramp) exceeded(baseline time.Duration, to Measurement, latency, use float64) string {
	if limit := time.Duration(latency * float64(baseline)); baseline > 0 && to.Latency > limit {
		return fmt.Sprintf("latency in the receiving region is %v, over %v", to.Latency.Round(time.Millisecond), limit.Round(time.Millisecond))
	}
	if to.Use >= use {
		return fmt.Sprintf("work in the receiving region asks for %.0f%% of its slots", 100*to.Use)
	}
	return ""
}

func (r *Ramp) stepBack(now time.Time, reason string) {
	r.Share = r.previousShare
	r.previousShare = 0
	r.nextStep = now.Add(stepBackPause)
	r.setPhase(Stopped, reason)
}

func (r *Ramp) grow(now time.Time, declared float64) {
	if r.Share >= declared {
		r.setPhase(Complete, "")
		return
	}
	r.previousShare = r.Share
	r.Share = min(declared, max(firstShare, r.Share*growthFactor))
	r.nextStep = now.Add(stepInterval)
	r.setPhase(Growing, "")
}

func (r *Ramp) setPhase(p Phase, reason string) {
	r.Phase = p
	r.Reason = reason
}
