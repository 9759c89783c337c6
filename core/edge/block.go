package edge

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherford/core/balance"
	"heatherford/core/code"
	"heatherford/core/fleet"
	"heatherford/core/internal/hash"
	"heatherford/core/quarantine"
	"heatherford/core/route"
)

// incarnationOf names the incarnation of an endpoint.
func incarnationOf(t balance.Target) string {
	return t.ID + "@" + strconv.FormatInt(t.StartedAt.UnixMilli(), 36)
}

// softwareOf names the software of an endpoint, or returns an empty string if its version is not
// known.
func softwareOf(t balance.Target) string {
	if t.Software == "" {
		return ""
	}
	return t.Upstream + " " + t.Software
}

func crashOf(t balance.Target, at time.Time) quarantine.Crash {
	return quarantine.Crash{
		Incarnation: incarnationOf(t),
		Software:    softwareOf(t),
		At:          at,
	}
}

// blockOf returns the block of a request that crashes the endpoints that run it, or nil.
func (e *Edge) blockOf(q *Request) *quarantine.Block {
	if e.quarantine.Empty() {
		return nil
	}
	return e.quarantine.Block(q.fingerprint(), time.Now())
}

// runners are the endpoints that a blocked request may be sent to.
type runners struct {
	ids map[string]bool
	// trial is true if the only one of them is to try the request.
	trial bool
}

// candidate is the endpoint that may try a blocked request. The zero value is none.
type candidate struct {
	id     string
	weight uint64
}

// consider replaces the candidate if the endpoint comes before it. All hosts choose the same one,
// and another one for each trial.
func (c *candidate) consider(f quarantine.Fingerprint, b *quarantine.Block, id string) {
	w := hash.Mix(xxhash.Sum64(f[:])+uint64(b.Trials), xxhash.Sum64String(id))
	if c.id == "" || w > c.weight {
		c.id = id
		c.weight = w
	}
}

// runnersOf returns the endpoints of an upstream whose software runs a blocked request, or else
// the one that may try it: one of other software, or else of the software that crashed. All hosts
// choose the same one, so that its owner decides.
func (r *requestState) runnersOf(b *quarantine.Block, upstream string) runners {
	f := r.request.fingerprint()
	x := runners{
		ids: map[string]bool{},
	}
	other, again := candidate{}, candidate{}
	for _, t := range r.edge.balancer.Targets(upstream) {
		if !r.route.Allows(r.edge.options.Zones[t.Zone]) {
			continue
		}
		switch s := softwareOf(t); {
		case b.Allows(s):
			x.ids[t.ID] = true
		case b.Tries(s):
			other.consider(f, b, t.ID)
		case b.TriesAgain(s) && !b.Crashed(incarnationOf(t)):
			again.consider(f, b, t.ID)
		}
	}
	if other.id == "" {
		other = again
	}
	if len(x.ids) == 0 && other.id != "" {
		x.ids[other.id] = true
		x.trial = true
	}
	return x
}

// mayBeSent reports whether any upstream of the route has an endpoint that a request may be
// sent to, whose block is nil if there is none.
func (r *requestState) mayBeSent(b *quarantine.Block) bool {
	return b == nil || slices.ContainsFunc(r.route.Parts, func(p route.Part) bool {
		return len(r.runnersOf(b, p.Upstream).ids) > 0
	})
}

// restrict restricts a blocked request to the endpoints that it may be sent to.
func (r *requestState) restrict(b *quarantine.Block) {
	if b == nil {
		return
	}
	x := r.runnersOf(b, r.upstream)
	r.ask.Only = x.ids
	r.trial = x.trial
}

// mayRun reports whether a request may be sent to an endpoint that this host owns: it is not
// blocked, or not for the endpoint's software. A trial is recorded and told to all hosts.
func (e *Edge) mayRun(ctx context.Context, t balance.Target, a *attempt) bool {
	b := e.blockOf(a.request)
	s := softwareOf(t)
	switch {
	case b == nil, b.Allows(s):
		return true
	case !a.trial, !b.Tries(s) && !b.TriesAgain(s), !e.grantsTrials(t):
		return false
	}
	// There are few trials, and one at an endpoint that is down would be lost.
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if e.options.Transport.Probe(ctx, t) != ProbeAccepted || !e.beginTrial(t, a.request.fingerprint()) {
		return false
	}
	e.tellSuspects()
	return true
}

// beginTrial records that a blocked request is sent to an endpoint as a trial, unless it must not
// be.
func (e *Edge) beginTrial(t balance.Target, f quarantine.Fingerprint) bool {
	now, n, s := time.Now(), incarnationOf(t), softwareOf(t)
	return e.quarantine.BeginTrial(f, n, s, now) || e.quarantine.BeginRetrial(f, n, s, now)
}

// grantsTrials reports whether this host decides on trials at an endpoint: it owns it even if the
// hosts that fell silent lately are still there. Of the parts of a fleet that do not hear each
// other, one decides.
func (e *Edge) grantsTrials(t balance.Target) bool {
	v := e.View()
	hosts := append(slices.Clone(v.Live), v.Silent...)
	return fleet.Owner(ownerCandidates(hosts, e.options.Zones, t.Zone), t.ID) == e.options.Self.Name
}

// quarantined returns the refusal of a blocked request.
func (e *Edge) quarantined(q *Request, b *quarantine.Block) *Answer {
	return refusedAnswer(code.RequestQuarantined, q.blockedDetail(), b.RetryAt)
}

// quarantinedResult returns the refusal of a blocked request by the owner of its endpoint.
func (e *Edge) quarantinedResult(q *Request) *ForwardResult {
	r := &Refusal{
		Code:   code.RequestQuarantined,
		Detail: q.blockedDetail(),
	}
	// A run may have ended the block meanwhile.
	if b := e.blockOf(q); b != nil {
		r.RetryIn = max(0, time.Until(b.RetryAt))
	}
	return &ForwardResult{
		Refusal: r,
	}
}

// tellSuspects has the control goroutine tell all hosts at once what this one knows of requests
// that may crash endpoints. It does not wait: several changes at a time are told together.
func (e *shared) tellSuspects() {
	select {
	case e.suspectsChanged <- struct{}{}:
	default:
	}
}

// tellSuspects tells all hosts what this one knows of requests that may crash endpoints, if that is
// due. In a storm of crashes it does so once in tellInterval.
func (c *control) tellSuspects(now time.Time) {
	if !c.suspectsDue || now.Before(c.nextSuspects) {
		return
	}
	c.suspectsDue = false
	c.nextSuspects = now.Add(tellInterval)
	c.announceChange(now)
	c.sendRemoteHeartbeat(now)
}

// recordRun clears a request that an endpoint has run to an end. It was sent at began.
func (e *Edge) recordRun(t balance.Target, f quarantine.Fingerprint, o balance.Outcome, began time.Time) {
	if o != balance.Answered && o != balance.Erred {
		return
	}
	e.mu.Lock()
	unexplained := len(e.unexplained) > 0
	e.mu.Unlock()
	if e.quarantine.Empty() && !unexplained {
		return
	}
	r := quarantine.Run{
		Incarnation: incarnationOf(t),
		Software:    softwareOf(t),
		At:          time.Now(),
	}
	suspected, blocked := e.quarantine.RecordRun(f, r)
	if suspected {
		e.confirmRun(t, r)
	}
	if blocked {
		e.tellSuspects()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unexplained.answer(t, began, time.Now())
	e.unexplained.recordRun(f, r)
}
