package quota

import (
	"slices"
	"strings"
)

// CapName is the name of a cap that counts only some of an endpoint's requests.
type CapName string

// LinkCap returns the name of the cap on the link between two regions.
func LinkCap(from, to string) CapName {
	return CapName("link/" + from + "/" + to)
}

// ShiftCap returns the name of the cap on a traffic shift.
func ShiftCap(name string) CapName {
	return CapName("shift/" + name)
}

// Limits are limits of the requests in flight at one endpoint. They are immutable. The zero
// value allows nothing.
type Limits struct {
	// Slots limits all requests. It is never negative.
	Slots int `json:"slots"`
	// Shares limit the requests that count against a cap. They are ordered by name, and each
	// name occurs once.
	Shares []CapShare `json:"parts,omitempty"`
}

// CapShare is an endpoint's share of a cap.
type CapShare struct {
	Name CapName `json:"name"`
	// Limit is the largest number of requests in flight. It is never negative.
	Limit int `json:"limit"`
}

// Of returns the limit of a cap: its share, or all slots if l has no share of it.
func (l Limits) Of(n CapName) int {
	i, ok := slices.BinarySearchFunc(l.Shares, n, func(p CapShare, n CapName) int {
		return strings.Compare(string(p.Name), string(n))
	})
	if !ok {
		return l.Slots
	}
	return min(l.Shares[i].Limit, l.Slots)
}

// Has reports whether l has a share of the cap.
func (l Limits) Has(n CapName) bool {
	return slices.ContainsFunc(l.Shares, func(p CapShare) bool {
		return p.Name == n
	})
}

// IsZero reports whether l allows no request.
func (l Limits) IsZero() bool {
	return l.Slots == 0
}

// Covers reports whether l allows all that o allows.
func (l Limits) Covers(o Limits) bool {
	if o.Slots > l.Slots {
		return false
	}
	for _, p := range l.Shares {
		if o.Of(p.Name) > l.Of(p.Name) {
			return false
		}
	}
	return true
}

// Equal reports whether l and o allow the same.
func (l Limits) Equal(o Limits) bool {
	return l.Covers(o) && o.Covers(l)
}

// Min returns what both l and o allow.
func (l Limits) Min(o Limits) Limits {
	return l.combine(o, func(a, b int) int {
		return min(a, b)
	})
}

// Max returns what l or o allows.
func (l Limits) Max(o Limits) Limits {
	return l.combine(o, func(a, b int) int {
		return max(a, b)
	})
}

// Plus returns what l and o allow together.
func (l Limits) Plus(o Limits) Limits {
	return l.combine(o, func(a, b int) int {
		return a + b
	})
}

// Minus returns what l leaves to others if a host uses all of o.
func (l Limits) Minus(o Limits) Limits {
	return l.combine(o, func(a, b int) int {
		return max(a-b, 0)
	})
}

// Reduced returns the reduced limit, the part of l that its owner keeps without a lease: half,
// rounded up. Leased returns the other part; the two sum to l.
func (l Limits) Reduced() Limits {
	const halves = 2
	return l.combine(l, func(a, _ int) int {
		return (a + 1) / halves
	})
}

// Leased returns the part of l that its owner may use only with a lease.
func (l Limits) Leased() Limits {
	return l.Minus(l.Reduced())
}

// combine applies f to the slots and to every share that l or o has.
func (l Limits) combine(o Limits, f func(a, b int) int) Limits {
	c := Limits{
		Slots: f(l.Slots, o.Slots),
	}
	for _, n := range names(l, o) {
		c.Shares = append(c.Shares, CapShare{
			Name:  n,
			Limit: f(l.Of(n), o.Of(n)),
		})
	}
	return c
}

// names returns the names of the caps of which a or b has a share, ordered and each once.
func names(a, b Limits) []CapName {
	s := make([]CapName, 0, len(a.Shares)+len(b.Shares))
	for _, p := range a.Shares {
		s = append(s, p.Name)
	}
	for _, p := range b.Shares {
		s = append(s, p.Name)
	}
	slices.Sort(s)
	return slices.Compact(s)
}
