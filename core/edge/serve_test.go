package edge

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/code"
)

func failed(sent bool) error {
	return &Failure{
		Sent:   sent,
		Reason: "reset",
		Cause:  errors.New("the connection is gone"),
	}
}

// one returns a host that is ready.
func one(t *testing.T) (*cluster, *Edge) {
	k := newCluster(t)
	a := k.start("a", "z1")
	k.ready(a)
	k.within(time.Second, "a part of the budget", func() bool {
		return a.Upstreams(time.Now())["desk"].RepeatsLeft > 0
	})
	return k, a
}

// TestNoRoute answers 404 for what no declaration has.
func TestNoRoute(t *testing.T) {
	c := qt.New(t)
	_, a := one(t)
	c.Check(a.Serve(t.Context(), request("/other/1")).Status, qt.Equals, http.StatusNotFound)
}

// TestAtMostOnce sends what may not be repeated once only if an endpoint may have it,
// and says so.
func TestAtMostOnce(t *testing.T) {
	c := qt.New(t)
	k, a := one(t)
	sent := atomic.Int64{}
	k.answerBy(func(context.Context, *Sending) (*Reply, error) {
		sent.Add(1)
		return nil, failed(true)
	})
	x := a.Serve(t.Context(), request("/charge/1"))
	c.Check(x.Status, qt.Equals, http.StatusBadGateway)
	c.Check(x.Code.Outcome(), qt.Equals, code.Unknown)
	c.Check(sent.Load(), qt.Equals, int64(1))
}

// TestNotRunElsewhere sends what an endpoint says it did not run to another one.
func TestNotRunElsewhere(t *testing.T) {
	c := qt.New(t)
	k, a := one(t)
	seen := atomic.Pointer[string]{}
	k.answerBy(func(ctx context.Context, s *Sending) (*Reply, error) {
		if seen.CompareAndSwap(nil, &s.Target.ID) {
			return rejected(), nil
		}
		return answer(ctx, s)
	})
	x := a.Serve(t.Context(), request("/charge/1"))
	c.Check(x.Status, qt.Equals, http.StatusOK)
	c.Check(string(x.Body), qt.Not(qt.Equals), *seen.Load())
}

// TestNotRunAnywhere promises that nothing was run only if that is so.
func TestNotRunAnywhere(t *testing.T) {
	c := qt.New(t)
	k, a := one(t)
	sent := atomic.Int64{}
	k.answerBy(func(context.Context, *Sending) (*Reply, error) {
		sent.Add(1)
		return rejected(), nil
	})
	x := a.Serve(t.Context(), request("/charge/1"))
	c.Check(x.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(x.Code.Outcome(), qt.Equals, code.NotRun)
	c.Check(x.Again.IsZero(), qt.IsFalse)
	c.Check(sent.Load(), qt.Equals, int64(2))

	// The first sending may have run, so that a later rejection promises nothing.
	sent.Store(0)
	k.answerBy(func(context.Context, *Sending) (*Reply, error) {
		if sent.Add(1) == 1 {
			return nil, failed(true)
		}
		return rejected(), nil
	})
	x = a.Serve(t.Context(), request("/look/1"))
	c.Check(x.Status, qt.Equals, http.StatusBadGateway)
}

// TestUnreachableCostsNothing tries other endpoints where no connection can be opened,
// also for what may not be repeated.
func TestUnreachableCostsNothing(t *testing.T) {
	c := qt.New(t)
	k, a := one(t)
	first := atomic.Pointer[string]{}
	k.answerBy(func(ctx context.Context, s *Sending) (*Reply, error) {
		if first.CompareAndSwap(nil, &s.Target.ID) {
			return nil, failed(false)
		}
		return answer(ctx, s)
	})
	c.Check(a.Serve(t.Context(), request("/charge/1")).Status, qt.Equals, http.StatusOK)
}

// TestRepeatedElsewhere repeats what may be repeated after a broken answer, an
// endpoint's failure and an answer without its mark.
func TestRepeatedElsewhere(t *testing.T) {
	c := qt.New(t)
	for _, f := range []func() (*Reply, error){
		func() (*Reply, error) { return nil, failed(true) },
		func() (*Reply, error) {
			return &Reply{
				Status:  http.StatusInternalServerError,
				Ran:     true,
				Genuine: true,
				Load:    -1,
			}, nil
		},
		func() (*Reply, error) {
			return &Reply{
				Status: http.StatusOK,
				Ran:    true,
				Load:   -1,
			}, nil
		},
	} {
		k, a := one(t)
		first := atomic.Bool{}
		k.answerBy(func(ctx context.Context, s *Sending) (*Reply, error) {
			if first.CompareAndSwap(false, true) {
				return f()
			}
			return answer(ctx, s)
		})
		c.Check(a.Serve(t.Context(), request("/look/1")).Status, qt.Equals, http.StatusOK)
		first.Store(false)
		x := a.Serve(t.Context(), request("/charge/1"))
		c.Check(x.Status >= http.StatusInternalServerError, qt.IsTrue)
		c.Check(x.Status, qt.Not(qt.Equals), http.StatusServiceUnavailable)
	}
}

// TestNoPromiseByAnEndpointsWord does not pass on a status that promises that nothing
// was run, where the endpoint says nothing of that.
func TestNoPromiseByAnEndpointsWord(t *testing.T) {
	c := qt.New(t)
	k, a := one(t)
	k.answerBy(func(context.Context, *Sending) (*Reply, error) {
		return &Reply{
			Status: http.StatusServiceUnavailable,
			Ran:    true,
			Load:   -1,
		}, nil
	})
	c.Check(a.Serve(t.Context(), request("/charge/1")).Status, qt.Equals, http.StatusBadGateway)
}

// TestRouteTimeout answers at the route's time, though the client would wait longer,
// and ends the work at the endpoint.
func TestRouteTimeout(t *testing.T) {
	c := qt.New(t)
	k, a := one(t)
	ended := make(chan struct{}, 8)
	k.answerBy(func(ctx context.Context, _ *Sending) (*Reply, error) {
		<-ctx.Done()
		ended <- struct{}{}
		return nil, failed(true)
	})
	began := time.Now()
	x := a.Serve(t.Context(), request("/charge/1"))
	d := time.Since(began)
	c.Check(x.Status, qt.Equals, http.StatusGatewayTimeout)
	c.Check(d > 900*time.Millisecond && d < 1200*time.Millisecond, qt.IsTrue, qt.Commentf("%s", d))
	<-ended
}

// TestClientGone ends the work at the endpoint when the client leaves.
func TestClientGone(t *testing.T) {
	c := qt.New(t)
	k, a := one(t)
	began, ended := make(chan struct{}, 8), make(chan struct{}, 8)
	k.answerBy(func(ctx context.Context, _ *Sending) (*Reply, error) {
		began <- struct{}{}
		<-ctx.Done()
		ended <- struct{}{}
		return nil, failed(true)
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan *Answer)
	go func() {
		done <- a.Serve(ctx, request("/look/1"))
	}()
	<-began
	cancel()
	<-ended
	c.Check(<-done, qt.IsNil)
}

// TestSilentEndpoint sends what may be repeated to a second endpoint if the first one
// stays silent for long, and takes the first answer.
func TestSilentEndpoint(t *testing.T) {
	c := qt.New(t)
	k, a := one(t)
	first := atomic.Bool{}
	k.answerBy(func(ctx context.Context, s *Sending) (*Reply, error) {
		if first.CompareAndSwap(false, true) {
			<-ctx.Done()
			return nil, failed(true)
		}
		return answer(ctx, s)
	})
	x := a.Serve(t.Context(), request("/look/1"))
	c.Check(x.Status, qt.Equals, http.StatusOK)
}

// TestWeights keeps the parts of a route at their weights.
func TestWeights(t *testing.T) {
	c := qt.New(t)
	k, _ := one(t)
	k.declare(3, 0.8)
	a := k.start("b", "z1")
	k.within(3*time.Second, "the weights", func() bool {
		return a.Ready() && a.View().Table.Declaration.Version == 3
	})
	r := a.View().Table.Find("desk.example", "/look/1")
	n := map[string]int{}
	for range 1000 {
		n[a.splits.next(r)]++
	}
	c.Check(n, qt.DeepEquals, map[string]int{
		"desk": 800,
		"till": 200,
	})
}

// TestOwnerSends passes requests on to the endpoint's owner, and sends by itself if
// the owner cannot be reached.
func TestOwnerSends(t *testing.T) {
	c := qt.New(t)
	k := newCluster(t)
	a, b := k.start("a", "z1"), k.start("b", "z1")
	k.ready(a, b)
	for range 20 {
		q := request("/look/1")
		q.Object = q.ID
		c.Check(a.Serve(t.Context(), q).Status, qt.Equals, http.StatusOK)
	}
	k.isolate("b", true)
	for range 20 {
		q := request("/charge/1")
		q.Object = q.ID
		c.Check(a.Serve(t.Context(), q).Status, qt.Equals, http.StatusOK)
	}
}

// TestSmallWorkIsWide places routes that move few bytes over the region.
func TestSmallWorkIsWide(t *testing.T) {
	c := qt.New(t)
	_, a := one(t)
	r := a.View().Table.Find("desk.example", "/look/1")
	c.Check(a.sizes.wide(r), qt.IsFalse)
	for range sizeLeast {
		a.sizes.observe(r, 1000)
	}
	c.Check(a.sizes.wide(r), qt.IsTrue)
	for range 200 {
		a.sizes.observe(r, 9000)
	}
	c.Check(a.sizes.wide(r), qt.IsFalse)
	c.Check(a.sizes.wide(a.View().Table.Find("desk.example", "/charge/1")), qt.IsTrue)
}
