package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"heatherford/standin/relay"
)

// The bound on how clients fare at hosts that reach no endpoint, from strandDelay after the cut
// on: of first tries, at least strandShare of the part that is served at the others, or at most
// strandSlack and one in strandPart of all that fail there.
const (
	strandDelay = 3 * time.Second
	strandShare = 2.0 / 3
	strandSlack = 10
	strandPart  = 50
)

// strandClients is the number of clients that use all hosts alike while some of them are cut
// off, and strandWait how long they wait for an answer.
const (
	strandClients = 12
	strandWait    = 500 * time.Millisecond
)

// minStrand and strandSpread bound how long hosts are cut off from the endpoints.
const (
	minStrand    = 4 * time.Second
	strandSpread = 4 * time.Second
)

// strand is a time in which some hosts reach no endpoint.
type strand struct {
	// hosts are the addresses at which their clients reach them.
	hosts []string
	begin time.Time
	// end is zero while the cut lasts, and ended is closed at the end.
	end   time.Time
	ended chan struct{}
}

// try is a client's first try of a request at a host.
type try struct {
	id   string
	host string
	sent time.Time
	// ended is when the client had the answer, and endpoint the one that gave it, or empty.
	ended    time.Time
	endpoint string
	served   bool
}

// strand cuts some hosts off from all endpoints for a while, unless some are.
func (w *world) strand(group *sync.WaitGroup) {
	hosts := w.drawStranded()
	way := []relay.Way{relay.Hung, relay.Reset, relay.Refused}[w.random.IntN(3)]
	d := minStrand + time.Duration(w.random.Int64N(int64(strandSpread)))
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := len(w.strands); n > 0 && w.strands[n-1].end.IsZero() {
		return
	}
	names := []string{}
	s := &strand{
		begin: time.Now(),
		ended: make(chan struct{}),
	}
	for _, p := range hosts {
		names = append(names, p.name)
		s.hosts = append(s.hosts, p.callers)
	}
	w.strands = append(w.strands, s)
	w.note(fmt.Sprintf("strand-%s:%s", way, strings.Join(names, ",")))
	w.setWays(hosts, way)
	for i := range max(strandClients, len(w.processes)) {
		w.stay(group, w.processes[i%len(w.processes)], strandWait, s.ended)
	}
	group.Go(func() {
		time.Sleep(d)
		w.heal(s)
	})
}

// drawStranded draws one host, half of them, those of a zone, or all but one.
func (w *world) drawStranded() []*process {
	s := slices.Clone(w.processes)
	w.random.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
	switch w.random.IntN(4) {
	case 0:
		return s[:1]
	case 1:
		return s[:len(s)/2]
	case 2:
		zone := s[0].zone
		return slices.DeleteFunc(s, func(p *process) bool { return p.zone != zone })
	default:
		return s[1:]
	}
}

// setWays sets what all endpoints' relays carry for hosts. World.mu is held.
func (w *world) setWays(hosts []*process, way relay.Way) {
	w.words.harms = append(w.words.harms, time.Now())
	for _, p := range hosts {
		for _, r := range w.ways {
			r.SetWay(p.ip, way)
		}
	}
}

// heal ends a strand, or the newest one if s is nil.
func (w *world) heal(s *strand) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s == nil && len(w.strands) > 0 {
		s = w.strands[len(w.strands)-1]
	}
	if s == nil || !s.end.IsZero() {
		return
	}
	s.end = time.Now()
	close(s.ended)
	w.setWays(w.processes, relay.Open)
}

// settleStrands checks that clients of hosts that reached no endpoint fared about as well as
// the others.
func (w *world) settleStrands() {
	disruptions := map[string][]disruption{}
	for _, p := range w.processes {
		disruptions[p.callers] = p.disruptions
	}
	for _, s := range w.strands {
		f := fatesOf(s, w.ledger.tries, disruptions)
		w.note(f.String())
		if f.isBroken() {
			w.ledger.fail(fmt.Sprintf("%s, %s to %s after the cut", f, strandDelay, s.end.Sub(s.begin).Round(time.Millisecond)))
		}
	}
}

// fates are how clients fared at the hosts that a strand cut off, and at the others.
type fates struct {
	cut, others tally
}

// fatesOf counts the first tries of a strand. Those at hosts that a disruption is near to do not
// count.
func fatesOf(s *strand, tries []try, disruptions map[string][]disruption) fates {
	f := fates{}
	for _, t := range tries {
		if t.sent.Before(s.begin.Add(strandDelay)) || !t.sent.Before(s.end) || !inTouch(t, disruptions[t.host]) {
			continue
		}
		if slices.Contains(s.hosts, t.host) {
			f.cut.add(t)
		} else {
			f.others.add(t)
		}
	}
	return f
}

// isBroken reports whether the bound is broken.
func (f fates) isBroken() bool {
	failed := f.cut.sent - f.cut.served
	return float64(failed) > strandSlack+float64(f.cut.sent+f.others.sent)/strandPart && f.cut.share() < strandShare*f.others.share()
}

// String implements fmt.Stringer.
func (f fates) String() string {
	return fmt.Sprintf("stranded:%d/%d,others:%d/%d", f.cut.served, f.cut.sent, f.others.served, f.others.sent)
}

// inTouch reports whether no disruption of its host is near to a try.
func inTouch(t try, disruptions []disruption) bool {
	return !slices.ContainsFunc(disruptions, func(d disruption) bool {
		return d.isNear(t.sent, t.sent.Add(clientDeadline), stableTime)
	})
}

// tally counts tries.
type tally struct {
	sent, served int
}

func (a *tally) add(t try) {
	a.sent++
	if t.served {
		a.served++
	}
}

// share returns the part that was served, or 0 without tries.
func (a *tally) share() float64 {
	return float64(a.served) / float64(max(1, a.sent))
}
