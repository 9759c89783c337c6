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

const (
	// easyUse is the share of slots in use up to which an owner takes all work
	// of its own zone.
	easyUse = 0.75
	// fullUse is the share from which it takes none if others have room.
	fullUse = 1.05
)

// useFor returns the share of the slots that a request of the rank cannot have:
// what its own and more urgent ranks use, and of the others at most their
// floors.
func (l Load) useFor(rank int, floors []float64) float64 {
	if l.Slots == 0 {
		return fullUse
	}
	n := 0.0
	for i, u := range l.Use {
		if i > rank && i < len(floors) {
			u = min(u, floors[i]*float64(l.Slots))
		}
		n += u
	}
	return n / float64(l.Slots)
}

// total returns the share of the slots that all ranks use.
func (l Load) total() float64 {
	if l.Slots == 0 {
		return fullUse
	}
	n := 0.0
	for _, u := range l.Use {
		n += u
	}
	return n / float64(l.Slots)
}

// room returns the share, between 0 and 1, of its part of the work that an owner
// takes at the use.
func room(use float64) float64 {
	return min(1, max(0, (fullUse-use)/(fullUse-easyUse)))
}
