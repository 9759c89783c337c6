package timeline

import (
	"cmp"
	"slices"
	"time"
)

// Query says which events are asked for.
type Query struct {
	// Request limits the answer to one request, if it is not empty.
	Request string
	// Since is the earliest wall-clock time asked for.
	Since time.Time
	// Kinds limit the answer, if there are any.
	Kinds []Kind
	// Limit is the most events asked for; the newest are kept. Zero stands
	// for no limit.
	Limit int
}

// Matches reports whether e is asked for.
func (q Query) Matches(e *Event) bool {
	if q.Request != "" && e.Request != q.Request {
		return false
	}
	if len(q.Kinds) > 0 && !slices.Contains(q.Kinds, e.Kind) {
		return false
	}
	return q.Since.IsZero() || e.At.Wall >= q.Since.UnixNano()
}

// Answer is what one host knows of a query.
type Answer struct {
	Host string `json:"host"`
	// Error says why the host did not answer, or is empty.
	Error string `json:"error,omitempty"`
	// Forgotten is true if the host has forgotten events, or left out some
	// for the limit, that may have been asked for.
	Forgotten bool    `json:"forgotten,omitempty"`
	Events    []Event `json:"-"`
}

// Select answers q from r for the host.
func Select(r *Ring, host string, q Query) Answer {
	a := Answer{
		Host:   host,
		Events: r.Events(q.Matches),
	}
	f := r.Forgotten()
	a.Forgotten = f != Stamp{} && (q.Since.IsZero() || f.Wall >= q.Since.UnixNano())
	if q.Limit > 0 && len(a.Events) > q.Limit {
		a.Events = a.Events[len(a.Events)-q.Limit:]
		a.Forgotten = true
	}
	return a
}

// Merge returns the events of all answers so that each stands after those that
// it may depend on.
func Merge(answers []Answer) []Event {
	s := []Event{}
	for _, a := range answers {
		s = append(s, a.Events...)
	}
	Sort(s)
	return s
}

// Sort orders events by their stamps, and those of equal stamps by host.
func Sort(s []Event) {
	slices.SortStableFunc(s, func(a, b Event) int {
		return cmp.Or(
			cmp.Compare(a.At.Wall, b.At.Wall),
			cmp.Compare(a.At.Count, b.At.Count),
			cmp.Compare(a.Host, b.Host),
		)
	})
}
