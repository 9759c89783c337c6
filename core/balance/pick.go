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
	// maxWaitShare is the part of the time to its deadline that a request may
	// wait for a slot.
	maxWaitShare = 0.4
	// spareMissRate is the miss rate below which an endpoint can cache more
	// objects.
	spareMissRate = 0.04
	// spareUtilization is the utilization of the zone's slots below which
	// requests may go to endpoints that have not cached their object yet.
	spareUtilization = 0.6
	// strictWaitShare is the part of the time to its objective, less the service
	// time, that a request may wait in a strict queue.
	strictWaitShare = 0.4
	// fullUtilization is the utilization of another zone or region above which no
	// request goes there beyond the spillover shares.
	fullUtilization = 0.9
	// positionCost is added to the cost of an endpoint for each position in the
	// rendezvous order, as a part of the expected service time.
	positionCost = 0.12
	// failureCost is the cost of an endpoint at a failure rate of 1.
	failureCost = time.Second
	// rejectionCost is the cost of an endpoint at a rejection rate of 1.
	rejectionCost = 300 * time.Millisecond
	// maxFarTokens and farTokensPerRequest bound the requests that leave the
	// region beyond the spillover shares: each request adds a part of a token,
	// and one that leaves takes a whole one.
	maxFarTokens        = 1.0
	farTokensPerRequest = 0.01
	// deadlineMargin is the least time between an expected answer and its
	// deadline.
	deadlineMargin = 20 * time.Millisecond
	// minRetryDelay is the shortest time after which a refused client may come
	// back.
	minRetryDelay = 50 * time.Millisecond
	// retryJitter is the range of the random delay that spreads the retries of
	// refused clients. Their answers will be late anyway, so that finding a free
	// slot matters more than coming back early.
	retryJitter = 300 * time.Millisecond
	// farRoundTrip is the longest time that a request to another region and its
	// answer spend on the network.
	farRoundTrip = 30 * time.Millisecond
)

// Pick chooses an endpoint for a request, or refuses it. Exactly one of the
// results is nil. A choice must be ended by Done.
func (b *Balancer) Pick(a Request, now time.Time) (*Choice, *Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[a.Upstream]
	if p == nil || !p.hasEndpoints() {
		return nil, refuse(code.NoEndpoint, b.retryAt(noEndpointRetryDelay, now), "upstream %q has no endpoint", a.Upstream)
	}
	p.farTokens = min(maxFarTokens, p.farTokens+farTokensPerRequest)
	found := [levelCount]*candidate{}
	for _, l := range b.levelOrder(p, &a) {
		k := b.cheapest(p, l, &a, now)
		if k == nil {
			continue
		}
		found[l] = k
		k.reason = k.check(&a, now)
		if k.reason == reasonNone && b.beyondShares(p, &a, l) {
			k.reason = b.checkSpillover(p, l, found)
		}
		if k.reason == reasonNone {
			return b.choose(k, &a, now), nil
		}
	}
	p.updateRefusedShare(1)
	return nil, b.refusal(&a, found, now)
}

// reason is why an endpoint does not get a request.
type reason string

// The reasons, as they appear in logs.
const (
	// reasonNone means that the endpoint may get the request.
	reasonNone reason = ""
	// reasonRefused means that the endpoint's owner has just refused this request
	// or one of the same or a more urgent rank.
	reasonRefused reason = "full"
	// reasonLate means that the answer would come too late.
	reasonLate reason = "late"
	// reasonUtilization means that nearly all slots there are in use.
	reasonUtilization reason = "use"
	// reasonAllowance means that too many requests have left the region beyond
	// the spillover shares.
	reasonAllowance reason = "allowance"
)

func refuse(c code.Code, retryAt time.Time, format string, args ...any) *Refusal {
	return &Refusal{
		Code:    c,
		Detail:  fmt.Sprintf(format, args...),
		RetryAt: retryAt,
	}
}

// keyFraction maps a key to a number between 0 and 1. Requests whose number is
// below a spillover share leave the zone, so that few objects move when the
// shares change.
func keyFraction(key uint64) float64 {
	const mask = 1<<53 - 1
	return float64(hash.Mix(key, 0x9e3779b97f4a7c15)&mask) / (mask + 1)
}

// levelOrder returns the levels in the order in which endpoints are sought for a
// request.
func (b *Balancer) levelOrder(p *pool, a *Request) []Level {
	x := keyFraction(a.Key)
	switch {
	case a.RegionWide && x < p.shares.Far:
		return []Level{OtherRegion, SameRegion}
	case a.RegionWide:
		return []Level{SameRegion, OtherRegion}
	case x < p.shares.Far:
		return []Level{OtherRegion, SameZone, SameRegion}
	case x < p.shares.Far+p.shares.Near:
		return []Level{SameRegion, SameZone, OtherRegion}
	default:
		return []Level{SameZone, SameRegion, OtherRegion}
	}
}

// beyondShares reports whether a request would go to another level than the
// spillover shares assign to it.
func (b *Balancer) beyondShares(p *pool, a *Request, l Level) bool {
	return l != b.levelOrder(p, a)[0]
}

// checkSpillover returns why a request may not go to a level beyond the spillover
// shares: nearly all slots there are in use, or the allowance for leaving the
// region is used up. Nothing is checked if the own region has no eligible
// endpoint.
func (b *Balancer) checkSpillover(p *pool, l Level, found [levelCount]*candidate) reason {
	switch {
	case l == SameZone || (found[SameZone] == nil && found[SameRegion] == nil):
		return reasonNone
	case l == SameRegion && p.shares.RegionUse > fullUtilization:
		return reasonUtilization
	case l == SameRegion:
		return reasonNone
	case p.shares.FarUse > fullUtilization:
		return reasonUtilization
	case p.farTokens < 1:
		return reasonAllowance
	}
	p.farTokens--
	return reasonNone
}

// candidate is an endpoint that a request could go to.
type candidate struct {
	endpoint *endpoint
	load     int
	loadAge  time.Duration
	// position is the endpoint's position in the rendezvous order of the key.
	position int
	// wait is how long the request would wait for a slot.
	wait time.Duration
	// done is when the answer is expected.
	done   time.Time
	cost   time.Duration
	strict bool
	// limited is true if the endpoint states a limit.
	limited bool
	// refused is true if the endpoint's owner has just refused the request.
	refused bool
	// reason is why the endpoint does not get the request.
	reason reason
}

// cheapest returns the endpoint of the level at which the request costs least, or
// nil if none is eligible.
func (b *Balancer) cheapest(p *pool, l Level, a *Request, now time.Time) *candidate {
	order := b.appendEligible(nil, p.endpoints[l], a, now)
	if a.RegionWide && l == SameRegion {
		order = b.appendEligible(order, p.endpoints[SameZone], a, now)
	}
	sort.Slice(order, func(i, j int) bool {
		return order[i].weight > order[j].weight
	})
	if len(order) == 0 {
		return nil
	}
	first := b.evaluate(p, order[0].endpoint, a, 0, now)
	refusedRecently := first.refusedRecently(a, now)
	cheapest := first
	for i, o := range order[1:] {
		k := b.evaluate(p, o.endpoint, a, i+1, now)
		if k.refusedRecently(a, now) || !k.mayFallBack(p, a, first, now) {
			continue
		}
		if (refusedRecently && cheapest == first) || k.cost < cheapest.cost {
			cheapest = k
		}
	}
	cheapest.refused = refusedRecently && cheapest == first
	return cheapest
}

// refusedRecently reports whether the endpoint's owner has just refused this
// request or one of the same or a more urgent rank.
func (k *candidate) refusedRecently(a *Request, now time.Time) bool {
	return contains(a.RefusedBy, k.endpoint.ID) || (a.Rank >= k.endpoint.refusedRank && now.Before(k.endpoint.refusedUntil))
}

// mayFallBack reports whether a request may go to an endpoint other than the
// first in the rendezvous order of its key. If the endpoint has not cached the
// object, the request takes longer and may evict another object, so that
// spreading requests under overload would slow down all of them. It does no harm
// where the object is cached, or where slots are free and the endpoint misses few
// objects. What exceeds the limit of the first endpoint has no better place than a
// free slot elsewhere.
func (k *candidate) mayFallBack(p *pool, a *Request, first *candidate, now time.Time) bool {
	if k.endpoint.likelyCached(a.Key, now) {
		return true
	}
	if first.limited && (first.wait > 0 || first.refusedRecently(a, now)) && k.sendsAtOnce() {
		return true
	}
	return p.utilization < spareUtilization && k.endpoint.missRate < spareMissRate && k.load < k.endpoint.Slots && first.load >= first.endpoint.Slots
}

// weighted is an endpoint with its rendezvous weight for a key.
type weighted struct {
	endpoint *endpoint
	weight   uint64
}

// appendEligible appends the endpoints that may get the request, with their
// rendezvous weights.
func (b *Balancer) appendEligible(r []weighted, s []*endpoint, a *Request, now time.Time) []weighted {
	for _, x := range s {
		if x.suspended(now) || x.backsOffOwner(b.options.Self, now) || contains(a.Avoid, x.ID) || !b.mayPass(x, a) || (a.Only != nil && !a.Only[x.ID]) {
			continue
		}
		if (x.cold(now) && !x.coldRate.allows(now)) || x.silent(now) {
			continue
		}
		r = append(r, weighted{
			endpoint: x,
			weight:   hash.Mix(a.Key, xxhash.Sum64String(x.ID)),
		})
	}
	return r
}

// evaluate estimates the wait, the answer time and the cost of a request at an
// endpoint with a position in the rendezvous order.
func (b *Balancer) evaluate(p *pool, s *endpoint, a *Request, position int, now time.Time) *candidate {
	load, loadAge := s.load(b.options.Self, now)
	cachedTime := p.expectedTime(s, a.Class, true)
	service := cachedTime
	if position > 0 && !s.likelyCached(a.Key, now) {
		service = p.expectedTime(s, a.Class, false)
	}
	wait := b.estimateWait(p, s, a, load, loadAge, cachedTime, now)
	k := &candidate{
		endpoint: s,
		load:     load,
		loadAge:  loadAge,
		position: position,
		wait:     wait,
		done:     now.Add(wait + service),
		cost:     wait + service + time.Duration(positionCost*float64(position)*float64(cachedTime)),
		strict:   s.ownerState.Strict && loadAge >= 0,
		limited:  s.limited(),
	}
	if s.owner == b.options.Self {
		k.strict = s.strict
	}
	k.cost += time.Duration(s.failureRate*float64(failureCost) + s.rejectionRate*float64(rejectionCost))
	if s.level == OtherRegion {
		k.done = k.done.Add(farRoundTrip)
	}
	return k
}

// estimateWait returns how long a request would wait for a slot.
func (b *Balancer) estimateWait(p *pool, s *endpoint, a *Request, load int, age, service time.Duration, now time.Time) time.Duration {
	if s.owner == b.options.Self {
		return p.backlog(s, a.Rank, now)
	}
	d := queueDelay(load, s.Slots, service)
	if age < 0 {
		return d
	}
	since := max(0, s.outstanding-s.outstandingThen)
	interval := max(service/time.Duration(s.Slots), s.limitInterval())
	if b.isolated {
		// The owner alone knows the queue. Until it says more, the queue counts as worked
		// off: a host that refuses all of its requests hears no more of it.
		return max(0, s.ownerState.Backlog-age) + time.Duration(since)*interval
	}
	return max(d, s.ownerState.Backlog+time.Duration(since)*interval)
}

// queueDelay returns how long a request waits for a slot when load requests are
// ahead of it.
func queueDelay(load, slots int, service time.Duration) time.Duration {
	n := load - slots + 1
	if n <= 0 {
		return 0
	}
	return time.Duration(float64(service) * float64(n) / float64(slots))
}

// check returns why the request should not be sent to the endpoint, or
// reasonNone.
func (k *candidate) check(a *Request, now time.Time) reason {
	switch {
	case k.refused:
		return reasonRefused
	case k.sendsAtOnce() || mayWait(a, k.wait, k.done, k.strict, a.Rank > 0, now):
		return reasonNone
	default:
		return reasonLate
	}
}

// sendsAtOnce reports whether the endpoint has a free slot, and its limit allows a
// request now.
func (k *candidate) sendsAtOnce() bool {
	return k.load < k.endpoint.Slots && (!k.limited || k.wait <= 0)
}

// mayWait reports whether a request may wait so long for a slot of an endpoint.
// In a strict queue the answer must come before the objective, and a request that
// goes to the end may use only a part of that time. In any other queue the answer
// may be late, since a queue that is long for a short time recovers by itself.
func mayWait(a *Request, wait time.Duration, done time.Time, strict, last bool, now time.Time) bool {
	switch {
	case a.Retry || done.After(a.Deadline.Add(-deadlineMargin)):
		return false
	case strict && !last:
		return !done.After(a.Objective)
	case strict:
		// A request that waits as long as its objective allows is late if any
		// request ahead of it takes longer than expected.
		return wait <= time.Duration(strictWaitShare*float64(a.Objective.Sub(done.Add(-wait))))
	default:
		return wait <= time.Duration(maxWaitShare*float64(a.Deadline.Sub(now)))
	}
}

func (b *Balancer) choose(k *candidate, a *Request, now time.Time) *Choice {
	s := k.endpoint
	if s.cold(now) {
		s.coldRate.take(now)
	}
	s.outstanding++
	return &Choice{
		Target:   s.target(),
		Level:    s.level,
		Position: k.position,
		Expected: k.done.Sub(now),
		Load:     k.load,
		LoadAge:  k.loadAge,
		endpoint: s,
		key:      a.Key,
	}
}

// Done ends a choice. Served is true if the endpoint answered the request. It
// must be called once for each choice.
func (b *Balancer) Done(c *Choice, served bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.endpoint.outstanding--
	if p := b.pools[c.endpoint.Upstream]; served && p != nil {
		p.updateRefusedShare(0)
	}
	if served && c.endpoint.owner != b.options.Self {
		c.endpoint.recordServed(c.key, now)
	}
}

// RecordRefusal records that the endpoint's owner refused a request of the rank
// for lack of capacity. Requests of this and less urgent ranks count as refused
// there until the given time.
func (b *Balancer) RecordRefusal(c *Choice, rank int, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := c.endpoint
	s.refusedRank = rank
	s.refusedUntil = until
}

// refusal says why a request got no endpoint, and when it may come back: when it
// is expected to get a slot at the endpoint with the best prospects.
func (b *Balancer) refusal(a *Request, found [levelCount]*candidate, now time.Time) *Refusal {
	soonest := (*candidate)(nil)
	reasons := []string{}
	for l, k := range found {
		if k == nil {
			continue
		}
		reasons = append(reasons, fmt.Sprintf("%s %s %s", Level(l), k.endpoint.ID, k.describe()))
		if soonest == nil || k.betterThan(soonest) {
			soonest = k
		}
	}
	if soonest == nil && b.isolated {
		return b.isolatedRefusal(now)
	}
	if soonest == nil {
		if s, t := b.retryAtEarliest(a, now); s != nil {
			return refuse(code.NoEndpoint, t, "no endpoint of %q wants requests, %s first", a.Upstream, s.ID)
		}
		return refuse(code.NoEndpoint, b.retryAt(minSuspension, now), "no endpoint of %q is eligible", a.Upstream)
	}
	return refuse(code.RankFull, b.retryAt(soonest.wait, now), "%s", strings.Join(reasons, "; "))
}

// betterThan reports whether a refused request has better prospects at k than at
// o. Free slots at an endpoint that is closed to the request do not help it.
func (k *candidate) betterThan(o *candidate) bool {
	if k.closed() != o.closed() {
		return o.closed()
	}
	return k.done.Before(o.done)
}

// closed reports whether the request may not go there even if slots become free.
func (k *candidate) closed() bool {
	return k.reason == reasonUtilization || k.reason == reasonAllowance
}

// describe returns for logs what the decision on an endpoint was based on.
func (k *candidate) describe() string {
	load := "unknown"
	if k.loadAge >= 0 {
		load = fmt.Sprint(k.load)
	}
	s := fmt.Sprintf("%s: %s of %d, wait %s", k.reason, load, k.endpoint.Slots, k.wait.Round(time.Millisecond))
	if k.strict {
		s += ", strict"
	}
	if k.limited {
		s += ", limit " + k.endpoint.limit.String()
	}
	return s
}

// retryAt returns when a refused client may come back: after the wait, plus a
// random delay so that not all come at once.
func (b *Balancer) retryAt(wait time.Duration, now time.Time) time.Time {
	return now.Add(max(minRetryDelay, wait) + time.Duration(b.options.Random()*float64(retryJitter)))
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
