package balance

import (
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherford/core/code"
)

const (
	// coldKey is how much longer a request takes for an object that the
	// endpoint did not serve lately, in usual times.
	coldKey = 2.0
	// placeCost is added for each place that an endpoint stands behind in the
	// order of its object's endpoints, as a part of the usual time.
	placeCost = 0.12
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
	// farWay is the time that a request to another region and its answer are on
	// their way, at most.
	farWay = 30 * time.Millisecond
)

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
		if !k.admits(&a) {
			continue
		}
		if l == OtherRegion && b.exceeds(p, &a, found) {
			continue
		}
		p.press(0)
		return b.choose(k, &a, now), nil
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
	age  time.Duration
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
		k := b.judge(p, o.seat, a, i, now)
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
		if x.resting(now) || contains(a.Avoid, x.ID) || (a.Allows != nil && !a.Allows(x.region)) {
			continue
		}
		if (x.cold(now) && !x.coldRate.has(now)) || x.suspect(now) {
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
func (b *Balancer) judge(p *pool, s *seat, a *Ask, place int, now time.Time) *candidate {
	load, age := s.load(b.options.Self, now)
	service := p.serviceOf(s)
	wait := waitBehind(load, s.Slots, service)
	cost := wait + service
	if place > 0 && !s.isWarm(a.Key, now) {
		cost += time.Duration(coldKey * float64(service))
	}
	cost += time.Duration(placeCost * float64(place) * float64(service))
	cost += time.Duration(s.failing*float64(failCost) + s.rejecting*float64(rejectCost))
	k := &candidate{
		seat:  s,
		load:  load,
		age:   age,
		place: place,
		done:  now.Add(wait + service),
		cost:  cost,
	}
	if s.level == OtherRegion {
		k.done = k.done.Add(farWay)
	}
	return k
}

// waitBehind returns how long a request waits for a slot behind so many others.
func waitBehind(load, slots int, service time.Duration) time.Duration {
	n := load - slots + 1
	if n <= 0 {
		return 0
	}
	return time.Duration(float64(service) * float64(n) / float64(slots))
}

// admits reports whether it makes sense to send the request there: a slot is
// free, or its turn comes while the answer has its full worth.
func (k *candidate) admits(a *Ask) bool {
	if k.load < k.seat.Slots {
		return true
	}
	return !a.Retry && !k.done.After(a.Objective)
}

func (b *Balancer) choose(k *candidate, a *Ask, now time.Time) *Choice {
	s := k.seat
	if s.cold(now) {
		s.coldRate.take(now)
	}
	s.passing++
	return &Choice{
		Target: Target{
			ID:          s.ID,
			Upstream:    s.Upstream,
			Zone:        s.Zone,
			Address:     s.Address.String(),
			Connections: s.connections,
			Owner:       s.owner,
		},
		Level:   s.level,
		Place:   k.place,
		Usual:   k.done.Sub(now),
		Load:    k.load,
		LoadAge: k.age,
		seat:    s,
		key:     a.Key,
	}
}

// Done ends a choice. Served says that the endpoint answered the request; it is
// called once for each choice.
func (b *Balancer) Done(c *Choice, served bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.seat.passing--
	if served && c.seat.owner != b.options.Self {
		c.seat.remember(c.key, now)
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
