package edge

import (
	"context"
	"maps"
	"strings"
	"time"

	"heatherford/core/balance"
	"heatherford/core/quarantine"
)

const (
	// retriedCrashes is the number of crashed endpoints up to which a request that was
	// in flight at one of them is retried. The first crash has many possible causes.
	retriedCrashes = 1
	// crashSettle is the time in which all connections of a crashed endpoint break.
	crashSettle = 10 * time.Millisecond
	// crashCheckTimeout bounds the check of whether an endpoint has crashed.
	crashCheckTimeout = 300 * time.Millisecond
	// confirmDelay is how long after a run of a request that may crash endpoints its endpoint is
	// probed.
	confirmDelay = 600 * time.Millisecond
	// breakageMemory is how long the breakage of an incarnation is kept: requests whose
	// connections break later than that broke for another reason.
	breakageMemory = 200 * time.Millisecond
)

// breakage is an incarnation of an endpoint whose connections broke with requests in
// flight. Edge.mu guards it.
type breakage struct {
	target balance.Target
	at     time.Time
	// requests are those that the endpoint may have been at work on.
	requests []quarantine.Fingerprint
	// runs holds the last run since of those of them that have completed one.
	runs map[quarantine.Fingerprint]quarantine.Run
	// crashedAt is the earliest time at which the endpoint may have crashed.
	crashedAt time.Time
	// answeredAt is when the endpoint first answered a request or a probe that was sent
	// after the breakage, or zero.
	answeredAt time.Time
	// checked is closed when crashed is known.
	checked chan struct{}
	crashed bool
}

// fingerprint returns the fingerprint of the request's content.
func (q *Request) fingerprint() quarantine.Fingerprint {
	c := quarantine.Content{
		Method: q.Method,
		Host:   q.Host,
		Target: q.Target,
		Caller: q.Caller,
		Object: q.Object,
		Body:   q.Body,
	}
	return c.Fingerprint()
}

// blockedDetail is the detail of the refusal of a blocked request. Its fingerprint leads to
// the log lines of the crashes.
func (q *Request) blockedDetail() string {
	return "endpoints crashed when they ran requests of content " + q.fingerprint().String()
}

// recordBreakage records that the connection to an endpoint broke with a request in
// flight. A crash is told from a broken connection by an address at which nobody listens
// any more, and from a planned stop by an endpoint that had not left. It returns the
// number of endpoints that crashed with requests of this content in flight, or 0 if this
// one has not.
func (e *Edge) recordBreakage(ctx context.Context, t balance.Target, f quarantine.Fingerprint) int {
	if !e.balancer.InUse(t.ID, t.StartedAt) {
		return 0
	}
	b := e.breakageOf(t, time.Now())
	select {
	case <-b.checked:
	case <-ctx.Done():
		return 0
	}
	e.mu.Lock()
	crashed := b.crashed
	e.mu.Unlock()
	if !crashed {
		return 0
	}
	// A request that came after the check counts too.
	e.quarantine.RecordCrash(crashOf(t, b.crashedAt), []quarantine.Fingerprint{f})
	return e.quarantine.Crashes(f)
}

// recordRefusal records that an endpoint refused a connection. It may have crashed with requests
// that no host waits for.
func (e *Edge) recordRefusal(t balance.Target) {
	now, n := time.Now(), incarnationOf(t)
	if !e.balancer.InUse(t.ID, t.StartedAt) || e.isUnexplained(t) || len(e.visits.Present(n, now)) == 0 {
		return
	}
	if last := e.visits.LastHeard(n); !last.IsZero() {
		now = last
	}
	e.breakageOf(t, now)
}

// isUnexplained reports whether the next incarnation of an endpoint is waited for to show that this
// one has crashed.
func (e *Edge) isUnexplained(t balance.Target) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.unexplained[t.ID]
	return b != nil && b.target.StartedAt.Equal(t.StartedAt)
}

// breakageOf returns the breakage of an incarnation of an endpoint. If there is none it begins
// one, and finds out whether the endpoint has crashed, at crashedAt or later.
func (e *Edge) breakageOf(t balance.Target, crashedAt time.Time) *breakage {
	now := time.Now()
	incarnation := incarnationOf(t)
	e.mu.Lock()
	defer e.mu.Unlock()
	if b := e.breakages[incarnation]; b != nil && now.Sub(b.at) <= breakageMemory {
		return b
	}
	b := &breakage{
		target:    t,
		at:        now,
		crashedAt: crashedAt,
		checked:   make(chan struct{}),
	}
	e.breakages[incarnation] = b
	go func() {
		defer close(b.checked)
		// An endpoint whose check panics counts as one that has not crashed.
		_ = e.contain("check of a broken endpoint", func() error {
			e.checkBreakage(incarnation, b)
			return nil
		})
	}()
	return b
}

// joined returns fingerprints as one text.
func joined(s []quarantine.Fingerprint) string {
	text := []string{}
	for _, f := range s {
		text = append(text, f.String())
	}
	return strings.Join(text, ",")
}

// checkBreakage finds out whether an endpoint has crashed, and tells all hosts. What it cannot
// find out is left to the endpoint's next incarnation.
func (e *Edge) checkBreakage(incarnation string, b *breakage) {
	defer e.forgetBreakage(incarnation, b)
	ctx, cancel := context.WithTimeout(e.tomb.Context(context.Background()), crashCheckTimeout)
	defer cancel()
	select {
	case <-time.After(crashSettle):
	case <-ctx.Done():
	}
	t := b.target
	refused := e.options.Transport.Probe(ctx, t) == ProbeRefused
	// A host that is cut off from all endpoints is refused by each of them. The cut may have
	// ended since.
	crashed := refused && e.reachesOthers(ctx, t.ID) && e.options.Transport.Probe(ctx, t) == ProbeRefused
	requests := e.visits.Present(incarnation, time.Now())
	e.mu.Lock()
	b.requests = requests
	b.crashed = crashed
	if refused && !crashed {
		e.unexplained.add(b)
	}
	e.mu.Unlock()
	if crashed {
		e.recordCrash(b, "others_reached")
	}
}

// recordCrash records that an endpoint crashed with the requests of a breakage in flight, and
// tells all hosts. The proof is what showed it.
func (e *shared) recordCrash(b *breakage, proof string) {
	t := b.target
	e.mu.Lock()
	requests, runs := b.requests, maps.Clone(b.runs)
	e.mu.Unlock()
	e.quarantine.RecordCrash(crashOf(t, b.crashedAt), requests)
	for f, r := range runs {
		e.quarantine.RecordRun(f, r)
	}
	e.visits.Forget(incarnationOf(t))
	e.options.Log("crash", "endpoint", t.ID, "upstream", t.Upstream, "incarnation", incarnationOf(t), "requests", len(requests),
		"proof", proof, "fingerprints", joined(requests))
	e.tellSuspects()
}

// forgetBreakage forgets a breakage after breakageMemory.
func (e *Edge) forgetBreakage(incarnation string, b *breakage) {
	time.AfterFunc(breakageMemory, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.breakages[incarnation] == b {
			delete(e.breakages, incarnation)
		}
	})
}

// confirmRun finds out whether an endpoint lives on after the run of a request that may crash it,
// unless it is heard of anyway.
func (e *Edge) confirmRun(t balance.Target, r quarantine.Run) {
	ctx := e.tomb.Context(context.Background())
	go func() {
		select {
		case <-time.After(confirmDelay):
		case <-ctx.Done():
			return
		}
		if e.visits.LastHeard(r.Incarnation).After(r.At.Add(confirmDelay / 2)) {
			return
		}
		_ = e.contain("confirmation of a run", func() error {
			e.probeVisited(ctx, t)
			return nil
		})
	}()
}

// probeVisited probes an endpoint that may have crashed with requests that no host waits for.
func (e *Edge) probeVisited(ctx context.Context, t balance.Target) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	switch e.options.Transport.Probe(ctx, t) {
	case ProbeAccepted:
		e.visits.Hear(incarnationOf(t), time.Now())
	case ProbeRefused:
		e.recordRefusal(t)
	case ProbeSilent, ProbeReset:
		// Neither shows whether the endpoint lives.
	}
}

// probeQuiet probes the endpoints that may have crashed by requests that nobody awaits and that
// are not heard of otherwise. One that crashed is back within seconds, so that nothing else might
// show it.
func (c *control) probeQuiet(now time.Time) {
	if !c.edge.visits.AnySilent(now) {
		return
	}
	for _, t := range targetsOf(c.usableEndpoints()) {
		lost := func() bool {
			return c.edge.options.Transport.Lost(t)
		}
		if c.edge.visits.BeginProbe(incarnationOf(t), lost, now) {
			c.probeVisited(t)
		}
	}
}
