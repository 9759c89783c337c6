package quota

import (
	"slices"
	"strings"
)

// Name is the name of a cap that counts only some of an endpoint's requests.
type Name string

// Link returns the name of the cap on the link between two regions.
func Link(from, to string) Name {
	return Name("link/" + from + "/" + to)
}

// Shift returns the name of the cap on a traffic shift.
func Shift(name string) Name {
	return Name("shift/" + name)
}

// Limits are limits of the requests in flight at one endpoint. They are immutable. The zero
// value allows nothing.
type Limits struct {
	// Slots limits all requests. It is never negative.
	Slots int `json:"slots"`
	// Parts limit the requests that count against a cap. They are ordered by name, and each
	// name occurs once.
	Parts []Part `json:"parts,omitempty"`
}

// Part is an endpoint's share of a cap.
type Part struct {
	Name Name `json:"name"`
	// Limit is the largest number of requests in flight. It is never negative.
	Limit int `json:"limit"`
}

// Of returns the limit of a cap: its share, or all slots if l has no share of it.
func (l Limits) Of(n Name) int {
	i, ok := slices.BinarySearchFunc(l.Parts, n, func(p Part, n Name) int {
		return strings.Compare(string(p.Name), string(n))
	})
	if !ok {
		return l.Slots
	}
	return min(l.Parts[i].Limit, l.Slots)
}

// Has reports whether l has a share of the cap.
func (l Limits) Has(n Name) bool {
	return slices.ContainsFunc(l.Parts, func(p Part) bool {
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
	for _, p := range l.Parts {
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

// Smaller returns the reduced limit, the part of l that its owner keeps without a lease: half,
// rounded up. Rest returns the other part; the two sum to l.
func (l Limits) Smaller() Limits {
	const halves = 2
	return l.combine(l, func(a, _ int) int {
		return (a + 1) / halves
	})
}

// Rest returns the part of l that its owner may use only with a lease.
func (l Limits) Rest() Limits {
	return l.Minus(l.Smaller())
}

// combine applies f to the slots and to every share that l or o has.
func (l Limits) combine(o Limits, f func(a, b int) int) Limits {
	c := Limits{
		Slots: f(l.Slots, o.Slots),
	}
	for _, n := range names(l, o) {
		c.Parts = append(c.Parts, Part{
			Name:  n,
			Limit: f(l.Of(n), o.Of(n)),
		})
	}
	return c
}

// names returns the names of the caps of which a or b has a share, ordered and each once.
func names(a, b Limits) []Name {
	s := make([]Name, 0, len(a.Parts)+len(b.Parts))
	for _, p := range a.Parts {
		s = append(s, p.Name)
	}
	for _, p := range b.Parts {
		s = append(s, p.Name)
	}
	slices.Sort(s)
	return slices.Compact(s)
}
