package main

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"heatherford/standin/desk"
)

// The bound on the requests to an endpoint that states a limit, summed over hosts.
const (
	limitWindow    = 4 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5
	// limitNotice is how long after a change an endpoint may still get requests by
	// the limit before it: half a second, and the way of the answer that states it.
	limitNotice = 600 * time.Millisecond
)

// limit has an endpoint state a limit for a while, with changes.
func (w *world) limit(group *sync.WaitGroup) {
	e := w.endpoints[w.random.IntN(len(w.endpoints))]
	steps := []time.Duration{}
	rates := []float64{}
	for range 1 + w.random.IntN(3) {
		steps = append(steps, time.Duration(1500+w.random.IntN(4000))*time.Millisecond)
		rates = append(rates, 0.5+12*w.random.Float64())
	}
	w.note("limit")
	group.Go(func() {
		for i, d := range steps {
			w.whileFaulty(func() { e.StateLimit(rates[i]) })
			time.Sleep(d)
		}
		w.whileFaulty(e.WithdrawLimit)
	})
}

// whileFaulty calls f unless the faults have ended.
func (w *world) whileFaulty(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.calmed {
		f()
	}
}

// withdrawLimits ends the limits of all endpoints.
func (w *world) withdrawLimits() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calmed = true
	for _, e := range w.endpoints {
		e.WithdrawLimit()
	}
}

// settleLimits checks that no endpoint got more than its limit allows.
func (w *world) settleLimits() {
	for _, e := range w.endpoints {
		if s := limitBreach(e.Limits(), w.runs.Arrivals(e.ID())); s != "" {
			w.ledger.broken = append(w.ledger.broken, e.ID()+" "+s)
		}
	}
}

// limitBreach returns the first breach of the bound by an endpoint's arrivals, or an
// empty string. All hosts count, also those that no answer has told of the limit.
func limitBreach(changes []desk.LimitChange, arrivals []time.Time) string {
	for i := 0; i < len(changes); i++ {
		if !changes[i].Stated {
			continue
		}
		end := i + 1
		for end < len(changes) && changes[end].Stated {
			end++
		}
		until := time.Now()
		if end < len(changes) {
			until = changes[end].At
		}
		if s := breachOfSpell(changes[i:end], between(arrivals, changes[i].At.Add(limitNotice), until)); s != "" {
			return s
		}
		i = end - 1
	}
	return ""
}

// breachOfSpell is limitBreach for a time in which a limit is stated throughout.
func breachOfSpell(changes []desk.LimitChange, arrivals []time.Time) string {
	for i, t := range arrivals {
		n := i + 1 - before(arrivals, t.Add(-limitWindow))
		if bound := limitOvershoot*allowed(changes, t.Add(-limitWindow), t) + limitSlack; float64(n) > bound {
			return fmt.Sprintf("got %d requests in %s, %.1f are allowed by its limit, %s after it was stated", n, limitWindow, bound,
				t.Sub(changes[0].At).Round(time.Millisecond))
		}
	}
	return ""
}

// allowed returns the number of requests that a limit allows between two times. The
// first limit counts for the time before it too, and each one for limitNotice after a
// change to a lower one.
func allowed(changes []desk.LimitChange, begin, end time.Time) float64 {
	times := []time.Time{begin, end}
	for _, x := range changes {
		for _, t := range []time.Time{x.At, x.At.Add(limitNotice)} {
			if t.After(begin) && t.Before(end) {
				times = append(times, t)
			}
		}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	sum := 0.0
	for i, t := range times[1:] {
		sum += rateBetween(changes, times[i], t) * t.Sub(times[i]).Seconds()
	}
	return sum
}

// rateBetween returns the highest limit that counts between two times without a change
// between them.
func rateBetween(changes []desk.LimitChange, begin, end time.Time) float64 {
	rate := 0.0
	for i, x := range changes {
		counts := i == 0 || x.At.Before(end)
		if i+1 < len(changes) && !begin.Before(changes[i+1].At.Add(limitNotice)) {
			counts = false
		}
		if counts {
			rate = max(rate, x.Rate)
		}
	}
	return rate
}

// between returns the times of an ordered list from one on and before another.
func between(s []time.Time, from, until time.Time) []time.Time {
	return s[before(s, from):max(before(s, from), before(s, until))]
}
