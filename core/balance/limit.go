package balance

import "strconv"

// Limit is what an answer of an endpoint says of its request limit.
type Limit struct {
	// Stated is true if the endpoint states a limit.
	Stated bool
	// Rate is the number of requests per second that the endpoint takes from all
	// hosts together. It is 0 or more, and 0 if no limit is stated.
	Rate float64
}

// String returns the rate, "none" if no limit is stated, or an empty string for nil.
func (l *Limit) String() string {
	switch {
	case l == nil:
		return ""
	case !l.Stated:
		return "none"
	default:
		return strconv.FormatFloat(l.Rate, 'g', -1, 64)
	}
}
