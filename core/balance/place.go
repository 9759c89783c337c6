package balance

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherford/core/code"
	"heatherford/core/internal/hash"
)

const (
	// patience is the part of the time that a client has left for which its
	// request may wait for a slot.
	patience = 0.4
	// fewMisses is the rate of forgotten objects below which an endpoint can
	// keep more of them.
	fewMisses = 0.04
	// slackUse is the use of the zone's slots below which requests may go to
	// endpoints that do not know their object yet.
	slackUse = 0.6
	// strictShare is the part of the time that an objective leaves beside the
	// request itself for which a request may wait in a strict queue.
	strictShare = 0.4
	// fullUse is the use of slots elsewhere from which on single requests are
	// not sent there beyond the shares.
	fullUse = 0.9
	// placeCost is added for each place that an endpoint stands behind in the
	// order of its object's endpoints, as a part of the usual time.
	placeCost = 0.12
	// failCost is the time that a certain failure is taken to cost.
	failCost = time.Second
	// rejectCost is the time that a certain rejection is taken to cost.
	rejectCost = 300 * time.Millisecond
	// allowance and allowanceRate bound the requests that leave the region
	// beyond the shares, as parts of all that come.
	allowance     = 1.0
	allowanceRate = 0.01
	// deadlineMargin is kept between an expected answer and its deadline.
	deadlineMargin = 20 * time.Millisecond
	// retryLeast is the shortest time after which a refused client may come
	// back.
	retryLeast = 50 * time.Millisecond
	// spreadBack is the time over which refused clients are spread. Their
	// answers are late by then, so that room counts for more than haste.
	spreadBack = 300 * time.Millisecond
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
		k.bar = k.admits(&a, now)
		if k.bar == open && b.overflows(p, &a, l) {
			k.bar = b.exceeds(p, l, found)
		}
		if k.bar == open {
			return b.choose(k, &a, now), nil
		}
	}
	p.press(1)
	return nil, b.refusal(&a, found, now)
}

// bar is why an endpoint does not get a request.
type bar string

// The bars.
const (
	// open is none.
	open bar = ""
	// barRefused: the endpoint's owner has just refused this request or one like
	// it.
	barRefused bar = "full"
	// barLate: its answer would come too late.
	barLate bar = "late"
	// barUse: the slots there are used.
	barUse bar = "use"
	// barAllowance: too many requests have left the region beyond its share.
	barAllowance bar = "allowance"
)

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
	return float64(hash.Mix(key, 0x9e3779b97f4a7c15)&mask) / (mask + 1)
}

// order returns the levels in the order in which a request asks them for room.
func (b *Balancer) order(p *pool, a *Ask) []Level {
	x := position(a.Key)
	switch {
	case a.Wide && x < p.shares.Far:
		return []Level{OtherRegion, SameRegion}
	case a.Wide:
		return []Level{SameRegion, OtherRegion}
	case x < p.shares.Far:
		return []Level{OtherRegion, SameZone, SameRegion}
	case x < p.shares.Far+p.shares.Near:
		return []Level{SameRegion, SameZone, OtherRegion}
	default:
		return []Level{SameZone, SameRegion, OtherRegion}
	}
}

// overflows reports whether a request would go to a level beyond the shares.
func (b *Balancer) overflows(p *pool, a *Ask, l Level) bool {
	return l != b.order(p, a)[0]
}

// exceeds returns why a request that has found no room where it belongs may not go
// to a level: the slots there are used, or it would leave the region beyond the
// allowance for that. A region without any endpoint is bound by nothing.
func (b *Balancer) exceeds(p *pool, l Level, found [levels]*candidate) bar {
	switch {
	case l == SameZone || (found[SameZone] == nil && found[SameRegion] == nil):
		return open
	case l == SameRegion && p.shares.RegionUse > fullUse:
		return barUse
	case l == SameRegion:
		return open
	case p.shares.FarUse > fullUse:
		return barUse
	case p.tokens < 1:
		return barAllowance
	}
	p.tokens--
	return open
}

// candidate is an endpoint that a request could go to.
type candidate struct {
	seat *seat
	load int
	age  time.Duration
	// place is the endpoint's place in the order of the object's endpoints.
	place int
	// wait is how long the request would wait for a slot.
	wait time.Duration
	// done is when an answer is expected.
	done   time.Time
	cost   time.Duration
	strict bool
	// refused is true if the endpoint's owner has just refused the request.
	refused bool
	// bar is why the endpoint does not get the request.
	bar bar
}

// best returns the level's endpoint at which the request costs least.
func (b *Balancer) best(p *pool, l Level, a *Ask, now time.Time) *candidate {
	order := b.fit(nil, p.seats[l], a, now)
	if a.Wide && l == SameRegion {
		order = b.fit(order, p.seats[SameZone], a, now)
	}
	sort.Slice(order, func(i, j int) bool {
		return order[i].weight > order[j].weight
	})
	if len(order) == 0 {
		return nil
	}
	home := b.judge(p, order[0].seat, a, 0, now)
	full := home.full(a, now)
	best := home
	for i, o := range order[1:] {
		k := b.judge(p, o.seat, a, i+1, now)
		if k.full(a, now) || !k.mayReplace(p, a, home, now) {
			continue
		}
		if (full && best == home) || k.cost < best.cost {
			best = k
		}
	}
	best.refused = full && best == home
	return best
}

// full reports whether the endpoint's owner has just refused this request or
// another one like it.
func (k *candidate) full(a *Ask, now time.Time) bool {
	return contains(a.Full, k.seat.ID) || (a.Rank >= k.seat.busyRank && now.Before(k.seat.busyUntil))
}

// mayReplace reports whether a request may go to an endpoint that is not the
// first one of its object. That takes longer, and makes the endpoint forget
// another object if it can keep no more, so that work spread in a flood would
// make all of it slower. It is no loss where the object is known, or where slots
// are free and the endpoint forgets nothing.
func (k *candidate) mayReplace(p *pool, a *Ask, home *candidate, now time.Time) bool {
	if k.seat.isWarm(a.Key, now) {
		return true
	}
	return p.use < slackUse && k.seat.missing < fewMisses && k.load < k.seat.Slots && home.load >= home.seat.Slots
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
			weight: hash.Mix(a.Key, xxhash.Sum64String(x.ID)),
		})
	}
	return r
}

// judge returns what the request would cost at an endpoint that stands at a
// place in the order of its object's endpoints.
func (b *Balancer) judge(p *pool, s *seat, a *Ask, place int, now time.Time) *candidate {
	load, age := s.load(b.options.Self, now)
	warm := p.expect(s, a.Class, true)
	service := warm
	if place > 0 && !s.isWarm(a.Key, now) {
		service = p.expect(s, a.Class, false)
	}
	wait := b.waitAt(p, s, a, load, age, warm, now)
	k := &candidate{
		seat:   s,
		load:   load,
		age:    age,
		place:  place,
		wait:   wait,
		done:   now.Add(wait + service),
		cost:   wait + service + time.Duration(placeCost*float64(place)*float64(warm)),
		strict: s.hint.Strict && age >= 0,
	}
	if s.owner == b.options.Self {
		k.strict = s.strict
	}
	k.cost += time.Duration(s.failing*float64(failCost) + s.rejecting*float64(rejectCost))
	if s.level == OtherRegion {
		k.done = k.done.Add(farWay)
	}
	return k
}

// waitAt returns how long a request would wait for a slot.
func (b *Balancer) waitAt(p *pool, s *seat, a *Ask, load int, age, service time.Duration, now time.Time) time.Duration {
	if s.owner == b.options.Self {
		return p.backlog(s, a.Rank, now)
	}
	d := waitBehind(load, s.Slots, service)
	if age < 0 {
		return d
	}
	since := max(0, s.passing-s.hintPassing)
	return max(d, s.hint.Backlog+time.Duration(since)*service/time.Duration(s.Slots))
}

// waitBehind returns how long a request waits for a slot behind so many others.
func waitBehind(load, slots int, service time.Duration) time.Duration {
	n := load - slots + 1
	if n <= 0 {
		return 0
	}
	return time.Duration(float64(service) * float64(n) / float64(slots))
}

// admits returns why it makes no sense to send the request there, or open.
func (k *candidate) admits(a *Ask, now time.Time) bar {
	switch {
	case k.refused:
		return barRefused
	case k.load < k.seat.Slots || mayWait(a, k.wait, k.done, k.strict, a.Rank > 0, now):
		return open
	default:
		return barLate
	}
}

// mayWait reports whether a request may wait so long for a slot of an endpoint.
// Where the queue has been too long for a while, the answer has to come while it
// has its full worth, and what goes last waits for less; else it may be late, since
// a longer queue passes by itself.
func mayWait(a *Ask, wait time.Duration, done time.Time, strict, last bool, now time.Time) bool {
	switch {
	case a.Retry || done.After(a.Deadline.Add(-deadlineMargin)):
		return false
	case strict && !last:
		return !done.After(a.Objective)
	case strict:
		// What waits at the bound would be late by any request that takes
		// longer than expected.
		return wait <= time.Duration(strictShare*float64(a.Objective.Sub(done.Add(-wait))))
	default:
		return wait <= time.Duration(patience*float64(a.Deadline.Sub(now)))
	}
}

func (b *Balancer) choose(k *candidate, a *Ask, now time.Time) *Choice {
	s := k.seat
	if s.cold(now) {
		s.coldRate.take(now)
	}
	s.passing++
	return &Choice{
		Target:  s.target(),
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
	if p := b.pools[c.seat.Upstream]; served && p != nil {
		p.press(0)
	}
	if served && c.seat.owner != b.options.Self {
		c.seat.remember(c.key, now)
	}
}

// Refused notes that an endpoint's owner refused a request of the rank for want
// of room, until when it expects some.
func (b *Balancer) Refused(c *Choice, rank int, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := c.seat
	s.busyRank = rank
	s.busyUntil = until
}

// refusal says why a request got no endpoint and when it could be admitted: where it
// may wait, if there is such a place.
func (b *Balancer) refusal(a *Ask, found [levels]*candidate, now time.Time) *Refusal {
	soonest := (*candidate)(nil)
	reasons := []string{}
	for l, k := range found {
		if k == nil {
			continue
		}
		reasons = append(reasons, fmt.Sprintf("%s %s %s", Level(l), k.seat.ID, k.reason()))
		if soonest == nil || k.sooner(soonest) {
			soonest = k
		}
	}
	if soonest == nil {
		return refuse(code.NoEndpoint, b.again(restFirst, now), "no endpoint of %q may be sent to", a.Upstream)
	}
	return refuse(code.RankFull, b.again(soonest.wait, now), "%s", strings.Join(reasons, "; "))
}

// sooner reports whether a refused request has better prospects at k than at o: what
// is closed to it frees no slot for it.
func (k *candidate) sooner(o *candidate) bool {
	if k.closed() != o.closed() {
		return o.closed()
	}
	return k.done.Before(o.done)
}

// closed reports whether the request may not go there however many slots are free.
func (k *candidate) closed() bool {
	return k.bar == barUse || k.bar == barAllowance
}

// reason says for logs what the decision on an endpoint was based on.
func (k *candidate) reason() string {
	load := "unknown"
	if k.age >= 0 {
		load = fmt.Sprint(k.load)
	}
	s := fmt.Sprintf("%s: %s of %d, wait %s", k.bar, load, k.seat.Slots, k.wait.Round(time.Millisecond))
	if k.strict {
		s += ", strict"
	}
	return s
}

// again returns when a refused client should come back: after what waits now,
// spread over some time, so that not all come at once.
func (b *Balancer) again(wait time.Duration, now time.Time) time.Time {
	return now.Add(max(retryLeast, wait) + time.Duration(b.options.Random()*float64(spreadBack)))
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
