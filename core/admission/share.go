package admission

import (
	"math"
	"time"

	"heatherford/core/intent"
)

// useWindow is the time constant over which a rank's use of slots is averaged.
const useWindow = time.Second

// rank is the state of one rank at a gate.
type rank struct {
	// planned and floor are shares of the gate's slots.
	planned float64
	floor   float64
	// inFlight is the number of the rank's requests that hold a slot.
	inFlight int
	// use is the decayed mean of inFlight until the gate's changed.
	use float64
	// queued is the decayed mean of the queue's length.
	queued float64
	// refused is the decayed rate of refusals, in requests per second.
	refused float64
	// origins holds the decayed number of requests from each zone.
	origins []float64
	// queue is in the order in which requests are admitted.
	queue []*waiter
	// service is the decayed mean time that a slot is held, or 0, and deviation
	// the decayed mean of its absolute deviation.
	service   time.Duration
	deviation time.Duration
}

// shares is the state of all ranks, the most urgent first.
type shares []rank

// newShares returns the state for the ranks. The most urgent rank's planned
// share leaves room for the floors of all others.
func newShares(ranks []intent.Rank) shares {
	s := make(shares, len(ranks))
	s.set(ranks)
	return s
}

// set changes the shares of the ranks and keeps the rest of the state.
func (s shares) set(ranks []intent.Rank) {
	others := 0.0
	for i := range s {
		s[i].planned, s[i].floor = 0, 0
		if i >= len(ranks) {
			continue
		}
		s[i].planned = ranks[i].Planned
		s[i].floor = ranks[i].Floor
		if i > 0 {
			others += ranks[i].Floor
		}
	}
	s[0].planned = math.Min(s[0].planned, 1-others)
}

// came counts a request from a zone.
func (r *rank) came(zone int) {
	for len(r.origins) <= zone {
		r.origins = append(r.origins, 0)
	}
	r.origins[zone]++
}

// originShares returns the share of each zone in the requests, and makes those
// counted so far weigh less.
func (r *rank) originShares(decay float64) []float64 {
	total := 0.0
	for _, n := range r.origins {
		total += n
	}
	s := make([]float64, len(r.origins))
	for z, n := range r.origins {
		if total > 0 {
			s[z] = n / total
		}
		r.origins[z] = n * decay
	}
	return s
}

// refuse counts a refusal.
func (r *rank) refuse() {
	r.refused += float64(time.Second) / float64(useWindow)
}

// advance brings the decayed means of all ranks forward by d.
func (s shares) advance(d time.Duration) {
	if d <= 0 {
		return
	}
	k := math.Exp(-float64(d) / float64(useWindow))
	for i := range s {
		s[i].use = s[i].use*k + float64(s[i].inFlight)*(1-k)
		s[i].queued = s[i].queued*k + float64(len(s[i].queue))*(1-k)
		s[i].refused *= k
	}
}

// none is the result of next if no request waits.
const none = -1

// next returns the rank whose first request goes next, of those for which ready
// returns true. The order is: the most urgent rank within its planned share;
// the others below their floors; the others within their planned shares; then
// any. Within each step the more urgent goes first.
func (s shares) next(slots int, ready func(i int) bool) int {
	n := float64(slots)
	if s[0].use < s[0].planned*n && ready(0) {
		return 0
	}
	for i := 1; i < len(s); i++ {
		if s[i].use < s[i].floor*n && ready(i) {
			return i
		}
	}
	for i := 1; i < len(s); i++ {
		if s[i].use < s[i].planned*n && ready(i) {
			return i
		}
	}
	for i := range s {
		if ready(i) {
			return i
		}
	}
	return none
}

// available returns the share of the slots that come free that rank i can count
// on.
func (s shares) available(i, slots int) float64 {
	if i == 0 && s[0].use < s[0].planned*float64(slots) {
		// Within its planned share the rank gets every slot that comes free.
		return 1
	}
	others := 0.0
	for j := range s {
		if j != i {
			others += s[j].use
		}
	}
	least := s[i].floor
	if i == 0 {
		least = s[i].planned
	}
	return math.Max(least, 1-others/float64(slots))
}

// wait estimates how long a request of rank i waits behind ahead others of the
// rank.
func (s shares) wait(i, ahead, slots int) time.Duration {
	a := s.available(i, slots)
	if a <= 0 {
		return math.MaxInt64
	}
	w := float64(ahead+1) * float64(s.meanService()) / (a * float64(slots))
	if w > float64(math.MaxInt64/2) {
		return math.MaxInt64
	}
	return time.Duration(w)
}

// meanService returns the mean service time over the ranks, by their use.
func (s shares) meanService() time.Duration {
	sum, weight := 0.0, 0.0
	for i := range s {
		if s[i].service == 0 {
			continue
		}
		w := s[i].use + 1e-3
		sum += w * float64(s[i].service)
		weight += w
	}
	if weight == 0 {
		return 0
	}
	return time.Duration(sum / weight)
}

// serviceOf returns the expected service time of rank i.
func (s shares) serviceOf(i int) time.Duration {
	if s[i].service > 0 {
		return s[i].service
	}
	return s.meanService()
}

// reserve returns the time that a request of rank i should have left when it is
// admitted. Most requests end within it, so that few slots are spent on work
// whose deadline ends it.
func (s shares) reserve(i int) time.Duration {
	const deviations = 2
	return s.serviceOf(i) + deviations*s[i].deviation
}

// learn takes a request's service time into account.
func (s shares) learn(i int, d time.Duration) {
	const gain = 0.1
	r := &s[i]
	if r.service == 0 {
		r.service = d
		return
	}
	off := d - r.service
	r.service += time.Duration(gain * float64(off))
	r.deviation += time.Duration(gain * float64(off.Abs()-r.deviation))
}

const (
	// queuePerSlot bounds each rank's queue in proportion to the slots.
	queuePerSlot = 2
	// floodQueuePerSlot bounds it while the rank is asked for more than it can
	// have: a longer queue would only make every answer later.
	floodQueuePerSlot = 0.5
	// leastQueue is the shortest bound.
	leastQueue = 3
	// floodRefusals is the part of the slots that refused work would have held
	// from which on a rank counts as flooded.
	floodRefusals = 0.2
)

// queueLimit returns the most waiting requests of rank i.
func (s shares) queueLimit(i, slots int) int {
	n := float64(slots) * s.available(i, slots)
	if s[i].refused*s.serviceOf(i).Seconds() <= floodRefusals*n {
		return max(leastQueue, slots*queuePerSlot)
	}
	return max(leastQueue, int(math.Ceil(n*floodQueuePerSlot)))
}
