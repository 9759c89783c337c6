package balance

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherford/core/code"
	"heatherford/core/registry"
)

const (
	// coldKey is how much longer a request takes for an object that the
	// endpoint did not serve lately.
	coldKey = 2.0
	// placeCost is added for each place that an endpoint stands behind in the
	// order of its object's endpoints, as a part of the usual time.
	placeCost = 0.12
	// queueShare is the part of the slots that may be exceeded where an answer
	// will be late anyway.
	queueShare = 0.34
	// failCost is the time that a certain failure is taken to cost.
	failCost = time.Second
	// rejectCost is the time that a certain rejection is taken to cost.
	rejectCost = 300 * time.Millisecond
	// allowance and allowanceRate bound the requests that leave the region
	// beyond the shares, as parts of all that come.
	allowance     = 4.0
	allowanceRate = 0.03
	// deadlineMargin is kept between an expected answer and its deadline.
	deadlineMargin = 20 * time.Millisecond
	// retryLeast is the shortest time after which a refused client may come
	// back.
	retryLeast = 50 * time.Millisecond
	// spreadBack is the time over which refused clients are spread, in usual
	// times.
	spreadBack = 1.0
)

// Options describe a balancer.
type Options struct {
	Zone   string
	Region string
	// RegionOf returns the region of an availability zone, or an empty string.
	RegionOf func(zone string) string
	// Random returns a number below 1; nil stands for a random one.
	Random func() float64
}

// Balancer chooses endpoints. It is safe for concurrent use.
type Balancer struct {
	options Options

	mu    sync.Mutex
	seats map[string]*seat
	// pools holds each upstream's seats by level, ordered by name.
	pools map[string]*pool
}

// pool is the endpoints of an upstream.
type pool struct {
	seats  [levels][]*seat
	shares Shares
	// started is true once shares were set.
	started bool
	// tokens bound the requests that leave the region beyond the shares.
	tokens float64
	// service is the usual time in a slot over all endpoints.
	service time.Duration
	// fastest is a low quantile of the time at endpoints by class of work.
	fastest map[string]time.Duration
	// pressed is the decayed part of requests that found no room at home.
	pressed float64
}

// New returns a balancer without endpoints.
func New(o Options) *Balancer {
	if o.Random == nil {
		o.Random = rand.Float64
	}
	return &Balancer{
		options: o,
		seats:   map[string]*seat{},
		pools:   map[string]*pool{},
	}
}

// Limits are what bounds an upstream's endpoints.
type Limits struct {
	Connections int
	// ColdRate is the number of requests a second that a cold endpoint bears
	// from all hosts.
	ColdRate float64
}

// Set replaces the endpoints. Part returns the part of a cold endpoint's
// allowance that this host may use, by the endpoint's zone.
func (b *Balancer) Set(s []registry.Endpoint, limits map[string]Limits, part func(zone string) float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.seats
	b.seats = map[string]*seat{}
	for _, p := range b.pools {
		p.seats = [levels][]*seat{}
	}
	for _, e := range s {
		l, ok := limits[e.Upstream]
		if !ok {
			continue
		}
		x := old[e.ID]
		if x == nil || !x.Born.Equal(e.Born) || x.Address != e.Address {
			x = newSeat(e)
		}
		x.Endpoint = e
		x.region = b.options.RegionOf(e.Zone)
		x.level = b.level(e.Zone, x.region)
		x.connections = l.Connections
		x.coldRate = l.ColdRate * part(e.Zone)
		b.seats[e.ID] = x
		p := b.pool(e.Upstream)
		p.seats[x.level] = append(p.seats[x.level], x)
	}
}

func (b *Balancer) level(zone, region string) Level {
	switch {
	case zone == b.options.Zone:
		return SameZone
	case region == b.options.Region:
		return SameRegion
	default:
		return OtherRegion
	}
}

func (b *Balancer) pool(upstream string) *pool {
	p := b.pools[upstream]
	if p == nil {
		p = &pool{
			tokens: allowance,
		}
		b.pools[upstream] = p
	}
	return p
}

// Usable reports whether an endpoint may still get work.
func (b *Balancer) Usable(c *Choice) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.seats[c.Seat.ID] == c.seat
}

// Pick chooses an endpoint for a request, or refuses it.
func (b *Balancer) Pick(a Ask, now time.Time) (*Choice, *Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[a.Upstream]
	if p == nil {
		return nil, refuse(code.NoEndpoint, now.Add(time.Second), "upstream %q has no endpoint", a.Upstream)
	}
	p.tokens = min(allowance, p.tokens+allowanceRate)
	found := [levels]*candidate{}
	for _, l := range b.order(p, &a) {
		k := b.best(p, l, &a, now)
		if k == nil {
			continue
		}
		found[l] = k
		if !k.admits(&a, now) {
			continue
		}
		if l == OtherRegion && b.exceeds(p, &a, found) {
			continue
		}
		p.press(0)
		return b.take(k, &a, now), nil
	}
	p.press(1)
	return nil, b.refusal(p, &a, found, now)
}

func refuse(c code.Code, again time.Time, format string, args ...any) *Refusal {
	return &Refusal{
		Code:   c,
		Detail: fmt.Sprintf(format, args...),
		Again:  again,
	}
}

// fast returns a low quantile of the times of a class of work at endpoints,
// which it moves by the newest one.
func (p *pool) fast(class string, d time.Duration) time.Duration {
	const up, down = 0.02, 0.1
	f := p.fastest[class]
	switch {
	case f == 0:
		f = d
	case d < f:
		f -= time.Duration(down * float64(f-d))
	default:
		f += time.Duration(up * float64(min(d, 2*f)-f))
	}
	if p.fastest == nil {
		p.fastest = map[string]time.Duration{}
	}
	p.fastest[class] = f
	return f
}

func (p *pool) press(x float64) {
	const weight = 0.05
	p.pressed += weight * (x - p.pressed)
}

// position returns where a request stands between 0 and 1. What stands below
// the shares leaves the zone, so that few objects move when shares change.
func position(key uint64) float64 {
	const mask = 1<<53 - 1
	return float64(mix(key, 0x9e3779b97f4a7c15)&mask) / (mask + 1)
}

// order returns the levels in the order in which a request asks them for room.
func (b *Balancer) order(p *pool, a *Ask) []Level {
	x := position(a.Key)
	switch {
	case a.Rank == 0 && x < p.shares.Far:
		return []Level{OtherRegion, SameRegion}
	case a.Rank == 0:
		return []Level{SameRegion, OtherRegion}
	case x < p.shares.Far:
		return []Level{OtherRegion, SameZone, SameRegion}
	case x < p.shares.Far+p.shares.Near:
		return []Level{SameRegion, SameZone, OtherRegion}
	default:
		return []Level{SameZone, SameRegion, OtherRegion}
	}
}

// exceeds reports whether a request would leave the region beyond the shares and
// the allowance for that. A region without any endpoint is bound by nothing.
func (b *Balancer) exceeds(p *pool, a *Ask, found [levels]*candidate) bool {
	if (found[SameZone] == nil && found[SameRegion] == nil) || position(a.Key) < p.shares.Far {
		return false
	}
	if p.tokens < 1 {
		return true
	}
	p.tokens--
	return false
}

// candidate is an endpoint that a request could go to.
type candidate struct {
	seat *seat
	load int
	// place is the endpoint's place in the order of the object's endpoints.
	place int
	// done is when an answer is expected.
	done time.Time
	cost time.Duration
}

// best returns the level's endpoint at which the request costs least.
func (b *Balancer) best(p *pool, l Level, a *Ask, now time.Time) *candidate {
	order := b.fit(nil, p.seats[l], a, now)
	if a.Rank == 0 && l == SameRegion {
		// The most urgent work meets one endpoint of the whole region, since
		// that has its object ready sooner than one of each zone would.
		order = b.fit(order, p.seats[SameZone], a, now)
	}
	sort.Slice(order, func(i, j int) bool {
		return order[i].weight > order[j].weight
	})
	best := (*candidate)(nil)
	for i, o := range order {
		k := p.judge(o.seat, a, i, now)
		if best == nil || k.cost < best.cost {
			best = k
		}
	}
	return best
}

type ordered struct {
	seat   *seat
	weight uint64
}

// fit appends the endpoints that may get the request at all.
func (b *Balancer) fit(r []ordered, s []*seat, a *Ask, now time.Time) []ordered {
	for _, x := range s {
		if x.resting(now) || now.Before(x.fullUntil) && a.Retry || contains(a.Avoid, x.ID) {
			continue
		}
		if a.Allows != nil && !a.Allows(x.region) {
			continue
		}
		if x.cold(now) && !x.mayCold(now) || x.trying() && len(x.flights) > 0 || x.suspect(now) {
			continue
		}
		r = append(r, ordered{
			seat:   x,
			weight: mix(a.Key, xxhash.Sum64String(x.ID)),
		})
	}
	return r
}

// judge returns what the request would cost at an endpoint that stands at a
// place in the order of its object's endpoints.
func (p *pool) judge(s *seat, a *Ask, place int, now time.Time) *candidate {
	load := s.load(now)
	if now.Before(s.fullUntil) {
		load = max(load, s.Slots+s.Slots/2)
	}
	service := s.service
	if service == 0 {
		service = p.usual()
	}
	wait := time.Duration(0)
	if n := load - s.Slots + 1; n > 0 {
		wait = time.Duration(float64(service) * float64(n) / float64(s.Slots))
	}
	cost := wait + service
	if place > 0 && !s.isWarm(a.Key, now) {
		cost += time.Duration(coldKey * float64(service))
	}
	cost += time.Duration(placeCost * float64(place) * float64(service))
	cost += time.Duration(s.failing*float64(failCost) + s.rejecting*float64(rejectCost))
	return &candidate{
		seat:  s,
		load:  load,
		place: place,
		done:  now.Add(wait + service),
		cost:  cost,
	}
}

func (p *pool) usual() time.Duration {
	if p.service == 0 {
		return firstService
	}
	return p.service
}

// admits reports whether the request goes to the endpoint now: a slot is free,
// or its turn comes while the answer has its full worth, or the queue is short.
func (k *candidate) admits(a *Ask, now time.Time) bool {
	if k.load < k.seat.Slots {
		return true
	}
	if a.Retry || k.done.After(a.Deadline.Add(-deadlineMargin)) {
		return false
	}
	if !k.done.After(a.Objective) {
		return true
	}
	return k.load < k.seat.Slots+int(queueShare*float64(k.seat.Slots))
}

func (b *Balancer) take(k *candidate, a *Ask, now time.Time) *Choice {
	s := k.seat
	fresh := s.trying()
	if s.cold(now) {
		s.takeCold(now)
	}
	f := &flight{
		sentAt: now,
	}
	s.flights[f] = true
	return &Choice{
		Seat: Target{
			ID:          s.ID,
			Zone:        s.Zone,
			Address:     s.Address.String(),
			Connections: s.connections,
		},
		Level:   s.level,
		Place:   k.place,
		Fresh:   fresh,
		Usual:   k.done.Sub(now),
		Load:    k.load,
		LoadAge: s.loadAge(now),
		seat:    s,
		flight:  f,
		key:     a.Key,
		class:   a.Class,
		queued:  max(0, k.load+1-s.Slots),
	}
}

// refusal says when the request could be admitted.
func (b *Balancer) refusal(p *pool, a *Ask, found [levels]*candidate, now time.Time) *Refusal {
	soonest := (*candidate)(nil)
	for _, k := range found {
		if k != nil && (soonest == nil || k.done.Before(soonest.done)) {
			soonest = k
		}
	}
	spread := time.Duration(b.options.Random() * spreadBack * float64(p.usual()))
	if soonest == nil {
		return refuse(code.NoEndpoint, now.Add(restFirst+spread), "no endpoint of %q may be sent to", a.Upstream)
	}
	s := soonest.seat
	over := max(1, soonest.load-s.Slots+1)
	again := now.Add(retryLeast + time.Duration(float64(p.usual())*float64(over)/float64(s.Slots)) + spread)
	return refuse(code.RankFull, again, "endpoint %s has %d of %d", s.ID, soonest.load, s.Slots)
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// mix returns a hash of two hashes.
func mix(a, b uint64) uint64 {
	x := a ^ (b * 0xff51afd7ed558ccd)
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 29
	x *= 0x9e3779b97f4a7c15
	return x ^ x>>32
}
