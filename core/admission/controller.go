package admission

import (
	"context"
	"errors"
	"sync"
	"time"

	"heatherford/core/code"
	"heatherford/core/intent"
	"heatherford/core/quota"
	"heatherford/core/snapshot"
)

// Options are the functions on which a Controller depends. All are required.
type Options struct {
	// Own returns the endpoints to which the controller may admit at this moment. It is
	// called for every decision.
	Own func() []snapshot.Own
	// Ranks returns the ranks in force, the most urgent first.
	Ranks func() []intent.Rank
	// Now returns the time.
	Now func() time.Time
}

// Controller is an admission controller: it limits the requests in flight at the endpoints
// of one upstream that this host owns. It is safe for concurrent use.
type Controller struct {
	options Options

	mu sync.Mutex
	// endpoints holds the state of every endpoint that Options.Own has returned.
	endpoints []*endpoint
	// ranks grows if a later declaration has more ranks.
	ranks rankStates
	// reportedAt is when Load last reported the origins of requests.
	reportedAt time.Time
	// updatedAt is the time up to which the ranks' decayed means are computed.
	updatedAt time.Time
}

// Request describes a request that asks for a slot.
type Request struct {
	// Rank is an index into the declaration's ranks.
	Rank int
	// Zone is the index of the caller's availability zone in the declaration.
	Zone int
	// Deadline is when the answer is needed.
	Deadline time.Time
	// Weight is the value of the answer. Larger weights go first within a rank.
	Weight float64
	// Avoid names endpoints to which the request must not go.
	Avoid []string
	// Bounds has the limits that apply beside an endpoint's slots.
	Bounds Bounds
}

// Bounds are the limits of a request beside an endpoint's slots, such as caps and the lease.
// The functions are called with the controller locked. The zero value limits nothing.
type Bounds struct {
	// Allows reports whether the endpoint's limits allow the request. It reserves
	// nothing.
	Allows func(o *snapshot.Own) bool
	// Reserve reserves capacity for the request, or returns nil if a limit refuses it.
	Reserve func(o *snapshot.Own) *quota.Reservation
}

func (r *Bounds) allows(o *snapshot.Own) bool {
	return r.Allows == nil || r.Allows(o)
}

func (r *Bounds) reserve(o *snapshot.Own) (*quota.Reservation, bool) {
	if r.Reserve == nil {
		return nil, true
	}
	f := r.Reserve(o)
	return f, f != nil
}

// Permit is the right to send one request to an endpoint.
type Permit struct {
	// Own is the endpoint with its limits at the time of admission.
	Own snapshot.Own
	// ExpectedService is the expected service time of the rank's requests, during which they
	// hold a slot. It is 0 if not known.
	ExpectedService time.Duration
	// Reservation is what Request.Bounds reserved for the request, or nil. The permit's user
	// ends it.
	Reservation *quota.Reservation

	controller *Controller
	endpoint   *endpoint
	rank       int
	started    time.Time
}

// Result is the outcome of the request that used a permit.
type Result int

// The results of using a permit.
const (
	// Succeeded means that the endpoint answered.
	Succeeded Result = iota
	// Failed means that the endpoint rejected the request or did not answer.
	Failed
	// Abandoned means that the request ended for a reason on the caller's side.
	Abandoned
)

// New returns an admission controller with the options.
func New(o Options) *Controller {
	return &Controller{
		options:    o,
		ranks:      newRankStates(o.Ranks()),
		updatedAt:  o.Now(),
		reportedAt: o.Now(),
	}
}

// TryAcquire admits the request if a slot is free and no request is queued. It does not
// allocate.
func (g *Controller) TryAcquire(a Request) (Permit, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	own, now := g.update()
	g.growRanks(a.Rank + 1)
	g.admit(own, now)
	if g.waiting() > 0 {
		return Permit{}, false
	}
	p, ok := g.acquire(own, now, &a)
	if ok {
		g.ranks[a.Rank].countOrigin(a.Zone)
	}
	return p, ok
}

// Acquire admits the request, at once or after a wait that ends with ctx. It refuses at once
// a request that cannot be answered in time. Each permit must be released exactly once.
func (g *Controller) Acquire(ctx context.Context, a Request) (Permit, error) {
	p, w, err := g.acquireOrQueue(a)
	if w == nil {
		return p, err
	}
	t := time.NewTimer(w.latestStart.Sub(g.options.Now()))
	defer t.Stop()
	select {
	case d := <-w.done:
		return d.permit, d.err
	case <-ctx.Done():
		err = code.New(code.RequestCancelled, "admission: the caller cancelled the request while it waited")
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			err = errTooLate()
		}
	case <-t.C:
		err = errTooLate()
	}
	if g.dequeue(w) {
		return Permit{}, err
	}
	d := <-w.done
	return d.permit, d.err
}

func errTooLate() error {
	return code.New(code.DeadlinePassed, "admission: no slot became free in time")
}

// acquireOrQueue takes a slot, or else puts the request into its queue and returns the
// waiter.
func (g *Controller) acquireOrQueue(a Request) (Permit, *waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	own, now := g.update()
	g.growRanks(a.Rank + 1)
	g.ranks[a.Rank].countOrigin(a.Zone)
	if g.waiting() == 0 {
		if p, ok := g.acquire(own, now, &a); ok {
			return p, nil, nil
		}
	}
	w, err := g.enqueue(own, now, a)
	if err != nil {
		g.ranks[a.Rank].countRefusal()
		return Permit{}, nil, err
	}
	// A slot may have become free without a release, for example after a suspension.
	g.admit(own, now)
	return Permit{}, w, nil
}

// enqueue puts a request into its rank's queue. If the queue is full, a request that goes
// before the last one replaces it.
func (g *Controller) enqueue(own []snapshot.Own, now time.Time, a Request) (*waiter, error) {
	slots := g.slots(own, now)
	if slots == 0 && usableAfterSuspension(own, now) {
		// One request will show whether a suspended endpoint works again.
		slots = 1
	}
	if slots == 0 {
		return nil, code.New(code.NoEndpoint, "admission: no endpoint may get requests")
	}
	r := &g.ranks[a.Rank]
	w := newWaiter(a, g.ranks.requiredTime(a.Rank))
	i := w.position(r.queue)
	if now.Add(g.ranks.expectedWait(a.Rank, i, slots)).After(w.latestStart) {
		return nil, code.New(code.RankFull, "admission: the request cannot be answered in time")
	}
	if len(r.queue) >= g.ranks.queueLimit(a.Rank, slots) {
		if i == len(r.queue) {
			return nil, code.New(code.RankFull, "admission: the queue of the rank is full")
		}
		g.evict(r)
	}
	r.insert(i, w)
	return w, nil
}

// evict refuses the last request of the rank's queue.
func (g *Controller) evict(r *rankState) {
	last := r.queue[len(r.queue)-1]
	r.remove(len(r.queue) - 1)
	last.refuse(code.New(code.RankFull, "admission: a request of higher priority displaced this one from the full queue of the rank"))
	r.countRefusal()
}

// dequeue removes w from its queue. It reports false if w was decided before.
func (g *Controller) dequeue(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &g.ranks[w.request.Rank]
	for i, q := range r.queue {
		if q == w {
			r.remove(i)
			return true
		}
	}
	return false
}

// Release returns a permit's slot.
func (g *Controller) Release(p Permit, x Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	own, now := g.update()
	p.endpoint.inFlight--
	g.ranks[p.rank].inFlight--
	switch x {
	case Succeeded:
		p.endpoint.failures = 0
		g.ranks.observeService(p.rank, now.Sub(p.started))
	case Failed:
		p.endpoint.recordFailure(now)
	case Abandoned:
	}
	g.admit(own, now)
}

// ExpectedService returns the expected service time of the rank's requests, during which
// they hold a slot. It is 0 if not known.
func (g *Controller) ExpectedService(rank int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.growRanks(rank + 1)
	return g.ranks.serviceOf(rank)
}

// HoldUntil keeps the slot of a permit that is not yet released in use until the time end:
// an endpoint that does not answer may run the request until its deadline.
func (p Permit) HoldUntil(end time.Time) {
	p.controller.mu.Lock()
	defer p.controller.mu.Unlock()
	p.endpoint.heldUntil = append(p.endpoint.heldUntil, end)
}

// Refresh admits waiting requests after the endpoints or their limits changed.
func (g *Controller) Refresh() {
	g.mu.Lock()
	defer g.mu.Unlock()
	own, now := g.update()
	g.admit(own, now)
}

// update brings the ranks and their means up to date and returns the endpoints and the time.
// The caller holds mu.
func (g *Controller) update() ([]snapshot.Own, time.Time) {
	ranks := g.options.Ranks()
	g.growRanks(len(ranks))
	g.ranks.set(ranks)
	now := g.options.Now()
	if d := now.Sub(g.updatedAt); d > 0 {
		g.ranks.advance(d)
		g.updatedAt = now
	}
	return g.options.Own(), now
}

// growRanks adds states up to n ranks, such as those of a later declaration.
func (g *Controller) growRanks(n int) {
	for len(g.ranks) < n {
		g.ranks = append(g.ranks, rankState{})
	}
}

func (g *Controller) waiting() int {
	n := 0
	for i := range g.ranks {
		n += len(g.ranks[i].queue)
	}
	return n
}

// slots returns the sum of the endpoints' limits.
func (g *Controller) slots(own []snapshot.Own, now time.Time) int {
	n := 0
	for i := range own {
		n += g.endpoint(own[i].Endpoint.Name).limit(&own[i], now)
	}
	return n
}

// usableAfterSuspension reports whether any endpoint could get requests if none were
// suspended.
func usableAfterSuspension(own []snapshot.Own, now time.Time) bool {
	for i := range own {
		if !own[i].Endpoint.Leaving && own[i].Limit(now) > 0 {
			return true
		}
	}
	return false
}

// admit gives free slots to waiting requests.
func (g *Controller) admit(own []snapshot.Own, now time.Time) {
	for g.waiting() > 0 {
		g.expire(now)
		if !g.admitOne(own, now) {
			return
		}
	}
}

// expire refuses waiting requests that can no longer be answered in time.
func (g *Controller) expire(now time.Time) {
	for i := range g.ranks {
		r := &g.ranks[i]
		for j := len(r.queue) - 1; j >= 0; j-- {
			if w := r.queue[j]; !now.Before(w.latestStart) {
				r.remove(j)
				w.refuse(errTooLate())
				r.countRefusal()
			}
		}
	}
}

func (g *Controller) admitOne(own []snapshot.Own, now time.Time) bool {
	i := g.ranks.next(g.slots(own, now), func(i int) bool {
		return g.firstAdmissible(own, now, i) != none
	})
	if i == none {
		return false
	}
	j := g.firstAdmissible(own, now, i)
	w := g.ranks[i].queue[j]
	p, ok := g.acquire(own, now, &w.request)
	if !ok {
		return false
	}
	g.ranks[i].remove(j)
	w.admit(p)
	return true
}

// firstAdmissible returns the index of the rank's first waiting request that an endpoint with
// a free slot can take, or none.
func (g *Controller) firstAdmissible(own []snapshot.Own, now time.Time, rank int) int {
	for j, w := range g.ranks[rank].queue {
		if _, s := g.freest(own, now, &w.request); s != nil {
			return j
		}
	}
	return none
}

// acquire takes a slot of the endpoint with the largest share of free slots. It reports false
// if no endpoint can take the request.
func (g *Controller) acquire(own []snapshot.Own, now time.Time, a *Request) (Permit, bool) {
	o, s := g.freest(own, now, a)
	if s == nil {
		return Permit{}, false
	}
	f, ok := a.Bounds.reserve(o)
	if !ok {
		return Permit{}, false
	}
	s.inFlight++
	g.ranks[a.Rank].inFlight++
	return Permit{
		Own:             *o,
		ExpectedService: g.ranks.serviceOf(a.Rank),
		Reservation:     f,
		controller:      g,
		endpoint:        s,
		rank:            a.Rank,
		started:         now,
	}, true
}

// freest returns the endpoint with the largest share of free slots among those that can take
// the request, or nil.
func (g *Controller) freest(own []snapshot.Own, now time.Time, a *Request) (*snapshot.Own, *endpoint) {
	best := (*snapshot.Own)(nil)
	bestState := (*endpoint)(nil)
	bestShare := 0.0
	for i := range own {
		o := &own[i]
		s := g.endpoint(o.Endpoint.Name)
		n := s.limit(o, now)
		used := s.used(now)
		if used >= n || contains(a.Avoid, s.name) {
			continue
		}
		if f := float64(n-used) / float64(n); f > bestShare && a.Bounds.allows(o) {
			best, bestState, bestShare = o, s, f
		}
	}
	return best, bestState
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// endpoint returns the state of an endpoint and creates it if needed. Hosts own few endpoints
// of an upstream, so a linear search is cheaper than a map.
func (g *Controller) endpoint(name string) *endpoint {
	for _, s := range g.endpoints {
		if s.name == name {
			return s
		}
	}
	s := &endpoint{
		name: name,
	}
	g.endpoints = append(g.endpoints, s)
	return s
}

// Release returns the permit's slot.
func (p Permit) Release(x Result) {
	p.controller.Release(p, x)
}
