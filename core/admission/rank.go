package admission

import (
	"math"
	"time"

	"heatherford/core/intent"
)

// useWindow is the time constant of a rank's decayed means of slots in use, queue length
// and refusals.
const useWindow = time.Second

// rankState is the state of one rank at a controller.
type rankState struct {
	// planned and floor are shares of the controller's slots.
	planned float64
	floor   float64
	// inFlight is the number of the rank's requests that hold a slot.
	inFlight int
	// use is the decayed mean of inFlight, as of the controller's updatedAt.
	use float64
	// queued is the decayed mean of the queue's length.
	queued float64
	// refused is the decayed rate of refusals, in requests per second.
	refused float64
	// origins holds the decayed number of requests from each zone.
	origins []float64
	// queue is in the order in which requests are admitted.
	queue []*waiter
	// service is the weighted moving average of the time that a slot is held, or 0 before
	// the first request ends. deviation is that of the absolute difference from service.
	service   time.Duration
	deviation time.Duration
}

// rankStates holds the states of all ranks, the most urgent first.
type rankStates []rankState

// newRankStates returns the states of the ranks, before any request.
func newRankStates(ranks []intent.Rank) rankStates {
	s := make(rankStates, len(ranks))
	s.set(ranks)
	return s
}

// set changes the shares of the ranks and keeps the rest of the state. The most urgent
// rank's planned share is limited so that the floors of all others fit beside it.
func (s rankStates) set(ranks []intent.Rank) {
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

// countOrigin counts a request from a zone.
func (r *rankState) countOrigin(zone int) {
	for len(r.origins) <= zone {
		r.origins = append(r.origins, 0)
	}
	r.origins[zone]++
}

// originShares returns the share of each zone in the requests, then multiplies the counts
// by decay.
func (r *rankState) originShares(decay float64) []float64 {
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

// countRefusal counts a refusal.
func (r *rankState) countRefusal() {
	r.refused += float64(time.Second) / float64(useWindow)
}

// advance updates the decayed means of all ranks for d of elapsed time.
func (s rankStates) advance(d time.Duration) {
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

// none is the result of next and of firstAdmissible if no waiting request can be admitted.
const none = -1

// next returns the rank of which a request is admitted next, among those for which ready
// returns true, or none. The order is: the most urgent rank within its planned share; the
// others below their floors; the others within their planned shares; then any. Within each
// step the more urgent rank goes first.
func (s rankStates) next(slots int, ready func(i int) bool) int {
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

// availableShare returns the share of the slots becoming free that rank i can count on.
func (s rankStates) availableShare(i, slots int) float64 {
	if i == 0 && s[0].use < s[0].planned*float64(slots) {
		// Within its planned share the rank gets every slot that becomes free.
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

// expectedWait estimates how long a request of rank i waits behind ahead others of the rank.
func (s rankStates) expectedWait(i, ahead, slots int) time.Duration {
	a := s.availableShare(i, slots)
	if a <= 0 {
		return math.MaxInt64
	}
	w := float64(ahead+1) * float64(s.meanService()) / (a * float64(slots))
	if w > float64(math.MaxInt64/2) {
		return math.MaxInt64
	}
	return time.Duration(w)
}

// meanService returns the mean service time over the ranks, weighted by their use, or 0 if
// it is not known.
func (s rankStates) meanService() time.Duration {
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

// serviceOf returns the expected service time of rank i, or 0 if it is not known.
func (s rankStates) serviceOf(i int) time.Duration {
	if s[i].service > 0 {
		return s[i].service
	}
	return s.meanService()
}

// requiredTime returns the time before its deadline by which a request of rank i must be
// admitted: the expected service time plus twice its mean deviation. Most requests end
// within it, so that few slots are spent on requests that the deadline cuts off.
func (s rankStates) requiredTime(i int) time.Duration {
	const deviations = 2
	return s.serviceOf(i) + deviations*s[i].deviation
}

// observeService adds a request's service time to the weighted moving averages.
func (s rankStates) observeService(i int, d time.Duration) {
	const gain = 0.1
	r := &s[i]
	if r.service == 0 {
		r.service = d
		return
	}
	diff := d - r.service
	r.service += time.Duration(gain * float64(diff))
	r.deviation += time.Duration(gain * float64(diff.Abs()-r.deviation))
}

const (
	// queuePerSlot limits each rank's queue in proportion to the slots.
	queuePerSlot = 2
	// overloadQueuePerSlot is the limit while the rank is overloaded, in proportion to
	// its available slots: a longer queue would only make every answer later.
	overloadQueuePerSlot = 0.5
	// minQueue is the smallest limit of a queue, in requests.
	minQueue = 3
	// overloadRefusals is the ratio of the slots that refused requests would have held to
	// the available slots above which a rank counts as overloaded.
	overloadRefusals = 0.2
)

// queueLimit returns the largest number of waiting requests of rank i.
func (s rankStates) queueLimit(i, slots int) int {
	n := float64(slots) * s.availableShare(i, slots)
	if s[i].refused*s.serviceOf(i).Seconds() <= overloadRefusals*n {
		return max(minQueue, slots*queuePerSlot)
	}
	return max(minQueue, int(math.Ceil(n*overloadQueuePerSlot)))
}
