package balance

import (
	"time"

	"heatherford/core/registry"
)

// modelEndpoint is an endpoint's own truth.
type modelEndpoint struct {
	registry.Endpoint
	// warm and cold are the times that requests take.
	warm time.Duration
	cold time.Duration
	// keeps is the number of objects that are ready, the last in kept first.
	keeps int
	kept  []uint64
	// running is the number of requests at work, and waiting those behind.
	running int
	waiting []func()
	// most is the most requests that were at the endpoint.
	most int
	// arrivals holds when requests came.
	arrivals []time.Time
	rejected int
	// down endpoints cannot be reached.
	down bool
	// loses is the part of the answers that are lost after the run.
	loses float64
}

// serve runs a request when a slot is free.
func (e *modelEndpoint) serve(w *world, key uint64, done func(o Outcome, cold bool)) {
	if e.down {
		w.after(100*time.Millisecond, func() {
			done(Unreached, false)
		})
		return
	}
	e.arrivals = append(e.arrivals, w.now)
	e.most = max(e.most, e.running+len(e.waiting)+1)
	if len(e.waiting) >= 3*e.Slots {
		e.rejected++
		done(Rejected, false)
		return
	}
	run := func() {
		e.running++
		d, cold := e.cold, true
		if e.has(key) {
			d, cold = e.warm, false
		}
		e.keep(key)
		d = time.Duration(float64(d) * (0.85 + 0.3*w.random.Float64()))
		w.after(d, func() {
			e.running--
			if len(e.waiting) > 0 {
				next := e.waiting[0]
				e.waiting = e.waiting[1:]
				next()
			}
			if w.random.Float64() < e.loses {
				done(Broken, cold)
				return
			}
			done(Answered, cold)
		})
	}
	if e.running < e.Slots {
		run()
		return
	}
	e.waiting = append(e.waiting, run)
}

func (e *modelEndpoint) has(key uint64) bool {
	for _, k := range e.kept {
		if k == key {
			return true
		}
	}
	return false
}

func (e *modelEndpoint) keep(key uint64) {
	s := []uint64{key}
	for _, k := range e.kept {
		if k != key && len(s) < e.keeps {
			s = append(s, k)
		}
	}
	e.kept = s
}

// mostInASecond returns the most arrivals in any second.
func (e *modelEndpoint) mostInASecond() int {
	most, j := 0, 0
	for i, t := range e.arrivals {
		for t.Sub(e.arrivals[j]) > time.Second {
			j++
		}
		most = max(most, i-j+1)
	}
	return most
}
