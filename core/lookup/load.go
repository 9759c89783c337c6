package lookup

import "time"

// Load is what an owner reports about the endpoints of one upstream that it owns.
// It is immutable.
type Load struct {
	// Slots is the number of requests that the owner may have in flight at these
	// endpoints.
	Slots int
	// Demand holds for each rank the mean number of slots that its requests held,
	// waited for or were refused. The sum exceeds Slots in an overload.
	Demand []float64
	// Origins holds for each rank the shares of Demand that came from callers in
	// each availability zone, in the declaration's order. The shares of a rank
	// sum to 1; they are missing or all 0 if the origins are unknown.
	Origins [][]float64
	// ServiceTime is the mean time that a request holds a slot, 0 if unknown.
	ServiceTime time.Duration
}

// Source names an owner and the upstream that it owns endpoints of.
type Source struct {
	Host     string
	Upstream string
}

// Loads holds the newest known load of each source. Loads of other hosts arrive
// with a delay; a load stays in use until a newer one arrives.
type Loads map[Source]Load

// Utilization returns the demand of all ranks as a share of the slots. It exceeds
// 1 in an overload, and is 1 without slots.
func (l Load) Utilization() float64 {
	if l.Slots == 0 {
		return 1
	}
	n := 0.0
	for _, u := range l.Demand {
		n += u
	}
	return n / float64(l.Slots)
}

// capacity returns the rate of requests that an owner can serve. Only its ratio to
// the capacity of other owners of the upstream has a meaning: an unknown service
// time counts as one second. Cold endpoints have a longer service time and thus
// a smaller capacity.
func (l Load) capacity() float64 {
	if l.ServiceTime == 0 {
		return float64(l.Slots)
	}
	return float64(l.Slots) / l.ServiceTime.Seconds()
}

// demand adds to sums, by the zone of the callers, the slots of the owner that
// are not available to further requests of the rank: the whole demand of the
// rank and of more urgent ranks, and of less urgent ranks at most their floors.
// If the origins are unknown, all callers count as callers in the zone home.
func (l Load) demand(sums []float64, rank int, floors []float64, home int32) {
	for i, u := range l.Demand {
		if i > rank && i < len(floors) {
			u = min(u, floors[i]*float64(l.Slots))
		}
		if !l.hasOrigins(i, len(sums)) {
			sums[home] += u
			continue
		}
		for z, share := range l.Origins[i] {
			sums[z] += u * share
		}
	}
}

// hasOrigins reports whether the origins of a rank's requests are known for this
// number of zones. The numbers differ if the owner has a declaration with other
// zones.
func (l Load) hasOrigins(rank, zones int) bool {
	if rank >= len(l.Origins) || len(l.Origins[rank]) != zones {
		return false
	}
	for _, share := range l.Origins[rank] {
		if share > 0 {
			return true
		}
	}
	return false
}
