package main

import (
	"errors"
	"fmt"
	"io"
)

// Expectation is a bound on the result of a run. One of its fields beside the
// names is set.
type Expectation struct {
	// Kind is the kind of work that LeastCorrect and LeastShare concern.
	Kind string `json:"kind,omitempty"`
	// Upstream is the upstream that LeastGoodput concerns; LeastShare is of its
	// capacity.
	Upstream string `json:"upstream,omitempty"`
	// LeastCorrect is the share of the requests answered correctly in time.
	LeastCorrect float64 `json:"least_correct,omitempty"`
	// LeastShare is the share of the capacity that correct answers in time
	// took.
	LeastShare float64 `json:"least_share,omitempty"`
	// LeastGoodput is that of all kinds.
	LeastGoodput float64 `json:"least_goodput,omitempty"`
	// MostOverSlots bounds the requests in flight over the slots at every
	// endpoint.
	MostOverSlots float64 `json:"most_over_slots,omitempty"`
}

// errExpectation is the error of a run that broke a bound.
var errExpectation = errors.New("the run broke a bound")

// expect prints a line for each bound, without figures where it held, and
// returns an error if one did not.
func (r *Report) expect(out io.Writer, s *Scenario) error {
	err := error(nil)
	for _, e := range s.Expect {
		text, value, held := r.hold(s, e)
		if held {
			fmt.Fprintf(out, "%s: held\n", text)
			continue
		}
		fmt.Fprintf(out, "%s: broken, %.4f\n", text, value)
		err = errExpectation
	}
	return err
}

func (r *Report) hold(s *Scenario, e Expectation) (text string, value float64, held bool) {
	switch {
	case e.LeastCorrect > 0:
		k := r.kind(e.Kind)
		value = float64(k.Correct) / float64(max(1, k.Asked))
		return fmt.Sprintf("%s: at least %.1f%% correct in time", e.Kind, 100*e.LeastCorrect), value, value >= e.LeastCorrect
	case e.LeastShare > 0:
		value = float64(r.kind(e.Kind).Correct) / r.Seconds / s.capacity(e.Upstream)
		return fmt.Sprintf("%s: at least %.0f%% of the capacity", e.Kind, 100*e.LeastShare), value, value >= e.LeastShare
	case e.LeastGoodput > 0:
		for _, u := range r.Upstreams {
			if u.Name == e.Upstream {
				value = u.Goodput
			}
		}
		return fmt.Sprintf("%s: goodput at least %.0f%% of the capacity", e.Upstream, 100*e.LeastGoodput), value, value >= e.LeastGoodput
	default:
		for _, x := range r.Endpoints {
			value = max(value, x.PeakOverSlots)
		}
		return fmt.Sprintf("every endpoint: at most %.2f in flight for a slot", e.MostOverSlots), value, value <= e.MostOverSlots
	}
}

func (r *Report) kind(name string) KindReport {
	for _, k := range r.Kinds {
		if k.Kind == name {
			return k
		}
	}
	return KindReport{}
}

func (s *Scenario) capacity(upstream string) float64 {
	for _, u := range s.Upstreams {
		if u.Name == upstream {
			return u.capacity()
		}
	}
	return 0
}
