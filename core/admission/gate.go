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

// Options are the seams of a Gate. All are required.
type Options struct {
	// Own returns the endpoints that the gate may admit to at this moment.
	// Every decision asks again.
	Own func() []snapshot.Own
	// Ranks returns the ranks in force, the most urgent first.
	Ranks func() []intent.Rank
	// Now returns the time.
	Now func() time.Time
}

// Gate bounds the requests in flight at the endpoints of one upstream that this
// host owns. It is safe for concurrent use.
type Gate struct {
	options Options

	mu sync.Mutex
	// seats holds every endpoint that the gate has admitted to.
	seats []*seat
	// ranks grows if a later declaration has more ranks.
	ranks shares
	// told is when the origins of requests were told last.
	told time.Time
	// changed is the time up to which the ranks' use is known.
	changed time.Time
}

// Ask is what a request says of itself.
type Ask struct {
	// Rank is an index into the declaration's ranks.
	Rank int
	// Zone is the position of the caller's availability zone in the
	// declaration.
	Zone int
	// Deadline is when the answer is needed.
	Deadline time.Time
	// Weight is what the answer is worth; more goes first within a rank.
	Weight float64
	// Avoid names endpoints that the request must not go to.
	Avoid []string
	// Room tells which endpoints have room for the request beside their slots.
	Room Room
}

// Room is what bounds a request beside an endpoint's slots, such as caps and the
// lease. Its functions are called with the gate locked. The zero value bounds
// nothing.
type Room struct {
	// Fits reports whether the endpoint has room for the request.
	Fits func(o *snapshot.Own) bool
	// Enter counts the request, or returns nil if there is no room.
	Enter func(o *snapshot.Own) *quota.Flight
}

func (r *Room) fits(o *snapshot.Own) bool {
	return r.Fits == nil || r.Fits(o)
}

func (r *Room) enter(o *snapshot.Own) (*quota.Flight, bool) {
	if r.Enter == nil {
		return nil, true
	}
	f := r.Enter(o)
	return f, f != nil
}

// Permit is the right to send one request to an endpoint.
type Permit struct {
	// Own is the endpoint with its limits as they were on admission.
	Own snapshot.Own
	// Usual is the mean time that the rank's requests hold a slot, 0 if it is
	// not known.
	Usual time.Duration
	// Flight counts the request against what Ask.Room bounds. The permit's user
	// ends it.
	Flight *quota.Flight

	gate    *Gate
	seat    *seat
	rank    int
	started time.Time
}

// Result says how a permit was used.
type Result int

// The results of using a permit.
const (
	// Succeeded means that the endpoint answered.
	Succeeded Result = iota
	// Failed means that the endpoint refused the request or did not answer.
	Failed
	// Abandoned means that the request ended for a reason of the caller's.
	Abandoned
)

// New returns a gate with the options.
func New(o Options) *Gate {
	return &Gate{
		options: o,
		ranks:   newShares(o.Ranks()),
		changed: o.Now(),
		told:    o.Now(),
	}
}

// Try admits the request if a slot is free and no request waits for it. It does
// not allocate.
func (g *Gate) Try(a Ask) (Permit, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	own, now := g.begin()
	g.grow(a.Rank + 1)
	g.admit(own, now)
	if g.waiting() > 0 {
		return Permit{}, false
	}
	p, ok := g.take(own, now, &a)
	if ok {
		g.ranks[a.Rank].came(a.Zone)
	}
	return p, ok
}

// Acquire admits the request, at once or after a wait that ends with ctx. It
// refuses at once what cannot be answered in time. Each permit must be released
// exactly once.
func (g *Gate) Acquire(ctx context.Context, a Ask) (Permit, error) {
	p, w, err := g.enter(a)
	if w == nil {
		return p, err
	}
	t := time.NewTimer(w.giveUp.Sub(g.options.Now()))
	defer t.Stop()
	select {
	case d := <-w.done:
		return d.permit, d.err
	case <-ctx.Done():
		err = code.New(code.RequestCancelled, "admission: the caller went away while the request waited")
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			err = errTooLate()
		}
	case <-t.C:
		err = errTooLate()
	}
	if g.leave(w) {
		return Permit{}, err
	}
	d := <-w.done
	return d.permit, d.err
}

func errTooLate() error {
	return code.New(code.DeadlinePassed, "admission: no slot came free in time")
}

// enter takes a slot, or a place in the queue, which it reports by a waiter.
func (g *Gate) enter(a Ask) (Permit, *waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	own, now := g.begin()
	g.grow(a.Rank + 1)
	g.ranks[a.Rank].came(a.Zone)
	if g.waiting() == 0 {
		if p, ok := g.take(own, now, &a); ok {
			return p, nil, nil
		}
	}
	w, err := g.queue(own, now, a)
	if err != nil {
		g.ranks[a.Rank].refuse()
		return Permit{}, nil, err
	}
	// A slot may have come free without a release, as after a rest.
	g.admit(own, now)
	return Permit{}, w, nil
}

// queue puts a request into its rank's queue. A full queue gives up its last
// request for one that goes before it.
func (g *Gate) queue(own []snapshot.Own, now time.Time, a Ask) (*waiter, error) {
	slots := g.slots(own, now)
	if slots == 0 && resting(own, now) {
		// One request will show whether an endpoint is back.
		slots = 1
	}
	if slots == 0 {
		return nil, code.New(code.NoEndpoint, "admission: no endpoint may be sent to")
	}
	r := &g.ranks[a.Rank]
	w := newWaiter(a, g.ranks.reserve(a.Rank))
	i := w.position(r.queue)
	if now.Add(g.ranks.wait(a.Rank, i, slots)).After(w.giveUp) {
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
func (g *Gate) evict(r *rank) {
	last := r.queue[len(r.queue)-1]
	r.remove(len(r.queue) - 1)
	last.refuse(code.New(code.RankFull, "admission: more valuable work filled the queue of the rank"))
	r.refuse()
}

// leave takes w out of the queue. It reports false if w was decided before.
func (g *Gate) leave(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &g.ranks[w.ask.Rank]
	for i, q := range r.queue {
		if q == w {
			r.remove(i)
			return true
		}
	}
	return false
}

// Release gives a permit's slot back.
func (g *Gate) Release(p Permit, x Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	own, now := g.begin()
	p.seat.inFlight--
	g.ranks[p.rank].inFlight--
	switch x {
	case Succeeded:
		p.seat.failures = 0
		g.ranks.learn(p.rank, now.Sub(p.started))
	case Failed:
		p.seat.fail(now)
	case Abandoned:
	}
	g.admit(own, now)
}

// Usual returns the mean time that the rank's requests hold a slot, 0 if it is
// not known.
func (g *Gate) Usual(rank int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grow(rank + 1)
	return g.ranks.serviceOf(rank)
}

// Hold keeps the slot of a permit, which is yet to be released, until the time
// end: an endpoint that does not answer may be at work until the deadline.
func (p Permit) Hold(end time.Time) {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.seat.held = append(p.seat.held, end)
}

// Refresh admits waiting requests after the endpoints or their limits changed.
func (g *Gate) Refresh() {
	g.mu.Lock()
	defer g.mu.Unlock()
	own, now := g.begin()
	g.admit(own, now)
}

// begin brings the gate to the present. The caller holds mu.
func (g *Gate) begin() ([]snapshot.Own, time.Time) {
	ranks := g.options.Ranks()
	g.grow(len(ranks))
	g.ranks.set(ranks)
	now := g.options.Now()
	if d := now.Sub(g.changed); d > 0 {
		g.ranks.advance(d)
		g.changed = now
	}
	return g.options.Own(), now
}

// grow makes room for n ranks, such as those of a later declaration.
func (g *Gate) grow(n int) {
	for len(g.ranks) < n {
		g.ranks = append(g.ranks, rank{})
	}
}

func (g *Gate) waiting() int {
	n := 0
	for i := range g.ranks {
		n += len(g.ranks[i].queue)
	}
	return n
}

// slots returns the sum of the endpoints' limits.
func (g *Gate) slots(own []snapshot.Own, now time.Time) int {
	n := 0
	for i := range own {
		n += g.seat(own[i].Endpoint.Name).limit(&own[i], now)
	}
	return n
}

// resting reports whether an endpoint could be sent to but for its rest.
func resting(own []snapshot.Own, now time.Time) bool {
	for i := range own {
		if !own[i].Endpoint.Leaving && own[i].Limit(now) > 0 {
			return true
		}
	}
	return false
}

// admit gives free slots to waiting requests.
func (g *Gate) admit(own []snapshot.Own, now time.Time) {
	for g.waiting() > 0 {
		g.expire(now)
		if !g.admitOne(own, now) {
			return
		}
	}
}

// expire refuses waiting requests that cannot be answered in time any more.
func (g *Gate) expire(now time.Time) {
	for i := range g.ranks {
		r := &g.ranks[i]
		for j := len(r.queue) - 1; j >= 0; j-- {
			if w := r.queue[j]; !now.Before(w.giveUp) {
				r.remove(j)
				w.refuse(errTooLate())
				r.refuse()
			}
		}
	}
}

func (g *Gate) admitOne(own []snapshot.Own, now time.Time) bool {
	i := g.ranks.next(g.slots(own, now), func(i int) bool {
		return g.admissible(own, now, i) != none
	})
	if i == none {
		return false
	}
	j := g.admissible(own, now, i)
	w := g.ranks[i].queue[j]
	p, ok := g.take(own, now, &w.ask)
	if !ok {
		return false
	}
	g.ranks[i].remove(j)
	w.admit(p)
	return true
}

// admissible returns the place of the rank's first request that some endpoint
// with a free slot may take, or none.
func (g *Gate) admissible(own []snapshot.Own, now time.Time, rank int) int {
	for j, w := range g.ranks[rank].queue {
		if _, s := g.free(own, now, &w.ask); s != nil {
			return j
		}
	}
	return none
}

// take takes a slot of the endpoint with the largest free share.
func (g *Gate) take(own []snapshot.Own, now time.Time, a *Ask) (Permit, bool) {
	o, s := g.free(own, now, a)
	if s == nil {
		return Permit{}, false
	}
	f, ok := a.Room.enter(o)
	if !ok {
		return Permit{}, false
	}
	s.inFlight++
	g.ranks[a.Rank].inFlight++
	return Permit{
		Own:     *o,
		Usual:   g.ranks.serviceOf(a.Rank),
		Flight:  f,
		gate:    g,
		seat:    s,
		rank:    a.Rank,
		started: now,
	}, true
}

func (g *Gate) free(own []snapshot.Own, now time.Time, a *Ask) (*snapshot.Own, *seat) {
	best := (*snapshot.Own)(nil)
	at := (*seat)(nil)
	most := 0.0
	for i := range own {
		o := &own[i]
		s := g.seat(o.Endpoint.Name)
		n := s.limit(o, now)
		used := s.used(now)
		if used >= n || contains(a.Avoid, s.name) {
			continue
		}
		if f := float64(n-used) / float64(n); f > most && a.Room.fits(o) {
			best, at, most = o, s, f
		}
	}
	return best, at
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// seat returns the state of an endpoint. Hosts own few endpoints of an
// upstream, so a search costs less than a map.
func (g *Gate) seat(name string) *seat {
	for _, s := range g.seats {
		if s.name == name {
			return s
		}
	}
	s := &seat{
		name: name,
	}
	g.seats = append(g.seats, s)
	return s
}

// Release gives the permit's slot back.
func (p Permit) Release(x Result) {
	p.gate.Release(p, x)
}
