package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"

	"heatherford/core/code"
	"heatherford/core/intent"
	"heatherford/core/work"
)

// independentAttempts is the number of endpoints to which a request is sent, one after
// another, while each rejects it.
const independentAttempts = 3

// independent sends r to the less loaded of two endpoints drawn at random, by the
// load that they report. It is the baseline against which routing through owners is
// measured; it limits neither slots nor caps.
func (d *Dispatcher) independent(ctx context.Context, r *work.Request) (*work.Answer, error) {
	err := code.New(code.NoEndpoint, "dispatch: no endpoint of %q", r.Kind.Upstream)
	for range independentAttempts {
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
	candidates := []intent.Endpoint{}
	for _, u := range d.options.Snapshot().Version.Declaration.Upstreams {
		if u.Name != r.Kind.Upstream {
			continue
		}
		for _, e := range u.Endpoints {
			if !e.Leaving && !slices.Contains(r.Tried, e.Name) {
				candidates = append(candidates, e)
			}
		}
	}
	if len(candidates) == 0 {
		return intent.Endpoint{}, false
	}
	a, b := candidates[rand.IntN(len(candidates))], candidates[rand.IntN(len(candidates))]
	if d.options.ReportedUse(b.Name) < d.options.ReportedUse(a.Name) {
		return b, true
	}
	return a, true
}
