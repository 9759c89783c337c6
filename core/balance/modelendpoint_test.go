package balance

import (
	"time"

	"heatherford/core/registry"
)

// modelEndpoint is the simulated endpoint itself, as opposed to what hosts know
// of it.
type modelEndpoint struct {
	registry.Endpoint
	// warm is the service time of a request whose object is cached, and cold that
	// of any other.
	warm time.Duration
	cold time.Duration
	// cacheSize is the number of objects that the endpoint caches. cache holds
	// them, the one used last first.
	cacheSize int
	cache     []uint64
	// running is the number of requests in a slot, and waiting holds those behind
	// them.
	running int
	waiting []func()
	// peak is the most requests that were at the endpoint at one time.
	peak int
	// arrivals holds the times at which requests arrived.
	arrivals []time.Time
	rejected int
	// down is true if the endpoint cannot be reached.
	down bool
	// limit is what the endpoint's answers state.
	limit StatedLimit
	// lossRate is the part of the answers that are lost after the request ran.
	lossRate float64
}

// serve runs a request as soon as a slot is free, and calls done with the
// outcome.
func (e *modelEndpoint) serve(w *world, key uint64, done func(o Outcome, cold bool)) {
	if e.down {
		w.after(100*time.Millisecond, func() {
			done(Unreachable, false)
		})
		return
	}
	e.arrivals = append(e.arrivals, w.now)
	e.peak = max(e.peak, e.running+len(e.waiting)+1)
	if len(e.waiting) >= 3*e.Slots {
		e.rejected++
		done(Rejected, false)
		return
	}
	run := func() {
		e.running++
		d, cold := e.cold, true
		if e.cached(key) {
			d, cold = e.warm, false
		}
		e.store(key)
		d = time.Duration(float64(d) * (0.85 + 0.3*w.random.Float64()))
		w.after(d, func() {
			e.running--
			if len(e.waiting) > 0 {
				next := e.waiting[0]
				e.waiting = e.waiting[1:]
				next()
			}
			if w.random.Float64() < e.lossRate {
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

func (e *modelEndpoint) cached(key uint64) bool {
	for _, k := range e.cache {
		if k == key {
			return true
		}
	}
	return false
}

func (e *modelEndpoint) store(key uint64) {
	s := []uint64{key}
	for _, k := range e.cache {
		if k != key && len(s) < e.cacheSize {
			s = append(s, k)
		}
	}
	e.cache = s
}

// mostInASecond returns the most arrivals within any second.
func (e *modelEndpoint) mostInASecond() int {
	return e.mostWithin(time.Second)
}

// mostWithin returns the most arrivals within any time of a length.
func (e *modelEndpoint) mostWithin(d time.Duration) int {
	most, j := 0, 0
	for i, t := range e.arrivals {
		for t.Sub(e.arrivals[j]) > d {
			j++
		}
		most = max(most, i-j+1)
	}
	return most
}
