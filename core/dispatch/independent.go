package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"

	"heatherford/core/code"
	"heatherford/core/intent"
	"heatherford/core/work"
)

// independentTries is the number of endpoints that are asked one after the
// other while they refuse.
const independentTries = 3

// independent sends r to the less loaded of two endpoints drawn at random, by
// the load that they report. It is the baseline that owners are measured
// against, and bounds nothing.
func (d *Dispatcher) independent(ctx context.Context, r *work.Request) (*work.Answer, error) {
	err := code.New(code.NoEndpoint, "dispatch: no endpoint of %q", r.Kind.Upstream)
	for range independentTries {
		e, ok := d.lessLoaded(r)
		if !ok {
			return nil, err
		}
		a, sendErr := d.options.Send(ctx, e, r)
		if sendErr == nil {
			a.Host = d.options.Self
			return a, nil
		}
		err = sendErr
		r.Tried = append(r.Tried, e.Name)
		if code.Of(err) != code.UpstreamRefused {
			return nil, err
		}
	}
	return nil, err
}

func (d *Dispatcher) lessLoaded(r *work.Request) (intent.Endpoint, bool) {
	s := []intent.Endpoint{}
	for _, u := range d.options.Snapshot().Version.Declaration.Upstreams {
		if u.Name != r.Kind.Upstream {
			continue
		}
		for _, e := range u.Endpoints {
			if !e.Leaving && !slices.Contains(r.Tried, e.Name) {
				s = append(s, e)
			}
		}
	}
	if len(s) == 0 {
		return intent.Endpoint{}, false
	}
	a, b := s[rand.IntN(len(s))], s[rand.IntN(len(s))]
	if d.options.Reported(b.Name) < d.options.Reported(a.Name) {
		return b, true
	}
	return a, true
}
