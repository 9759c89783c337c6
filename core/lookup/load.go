package lookup

import "time"

// Load is what an owner tells of its endpoints of one upstream. It is
// immutable.
type Load struct {
	// Slots is the number of requests that the owner may have in flight.
	Slots int
	// Use holds for each rank the mean number of slots that its requests held,
	// waited for or were refused. The sum exceeds Slots in a flood.
	Use []float64
	// Origins holds for each rank the shares of Use that came from callers of
	// each availability zone, in the declaration's order. They sum to 1, or are
	// missing if nothing is known.
	Origins [][]float64
	// Service is the mean time that a request holds a slot, 0 if unknown.
	Service time.Duration
}

// Source names an owner and the upstream that it owns endpoints of.
type Source struct {
	Host     string
	Upstream string
}

// Loads holds the newest known load of each source. What is known of others
// lags; without news the last load stands.
type Loads map[Source]Load

// Total returns the share of the slots that all ranks use.
func (l Load) Total() float64 {
	if l.Slots == 0 {
		return 1
	}
	n := 0.0
	for _, u := range l.Use {
		n += u
	}
	return n / float64(l.Slots)
}

// bears returns the requests per second that an owner bears, in proportion to
// others of the same upstream. An owner of cold endpoints bears less.
func (l Load) bears() float64 {
	if l.Service == 0 {
		return float64(l.Slots)
	}
	return float64(l.Slots) / l.Service.Seconds()
}

// demand adds to sums what the callers of each zone ask of the owner, as far as
// a request of the rank has to give way: all of its own and of more urgent
// ranks, and of the others at most their floors. Without known origins, callers
// are taken to be in the zone home.
func (l Load) demand(sums []float64, rank int, floors []float64, home int32) {
	for i, u := range l.Use {
		if i > rank && i < len(floors) {
			u = min(u, floors[i]*float64(l.Slots))
		}
		if !l.knowsOrigins(i, len(sums)) {
			sums[home] += u
			continue
		}
		for z, share := range l.Origins[i] {
			sums[z] += u * share
		}
	}
}

// knowsOrigins reports whether the origins of a rank's requests are known in as
// many zones. They are not if the owner's declaration has others.
func (l Load) knowsOrigins(rank, zones int) bool {
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
