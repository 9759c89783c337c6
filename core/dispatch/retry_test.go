package dispatch

import (
	"context"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/code"
	"heatherford/core/intent"
	"heatherford/core/lookup"
	"heatherford/core/snapshot"
	"heatherford/core/store"
	"heatherford/core/work"
)

func whole() (*work.Answer, error) {
	return &work.Answer{
		Body: io.NopCloser(strings.NewReader("whole")),
	}, nil
}

// finish reads an answer to its end and closes it.
func finish(c *qt.C, a *work.Answer) {
	_, err := io.ReadAll(a.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(a.Body.Close(), qt.IsNil)
}

// TestRetryAmplification checks the retry budget when an upstream answers for a while
// and then fails every request: retries add at most a tenth of the earlier answers.
func TestRetryAmplification(t *testing.T) {
	c := qt.New(t)
	const good, bad = 100, 1000
	now := time.Now()
	sent, failing := 0, false
	d := newDispatcher(func() time.Time { return now }, func(intent.Endpoint, *work.Request) (*work.Answer, error) {
		sent++
		if failing {
			return nil, code.New(code.RepeatableNoAnswer, "test: no answer")
		}
		return whole()
	})
	for range good {
		a, err := d.Do(context.Background(), newRequest(now))
		c.Assert(err, qt.IsNil)
		finish(c, a)
	}
	c.Assert(sent, qt.Equals, good)
	failing = true
	for range bad {
		// By then, suspended endpoints are tried again.
		now = now.Add(3 * time.Second)
		r := newRequest(now)
		r.Deadline = now.Add(20 * time.Millisecond)
		_, err := d.Do(context.Background(), r)
		c.Assert(code.Of(err).Outcome(), qt.Equals, code.Unknown)
	}
	c.Assert(sent >= good+bad && sent <= good+bad+good/10+1, qt.IsTrue, qt.Commentf("%d", sent))
}

func TestRetryNeverGoesToTheSameEndpoint(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	tried := []string{}
	d := newDispatcher(func() time.Time { return now }, func(e intent.Endpoint, _ *work.Request) (*work.Answer, error) {
		tried = append(tried, e.Name)
		return nil, code.New(code.UpstreamRefused, "test: refused")
	})
	for range 100 {
		d.budget("u").RecordSuccess()
	}
	r := newRequest(now)
	r.Deadline = now.Add(20 * time.Millisecond)
	_, err := d.Do(context.Background(), r)
	c.Assert(err, qt.IsNotNil)
	slices.Sort(tried)
	c.Assert(tried, qt.DeepEquals, []string{"e1", "e2"})
}

// TestRetryDoesNotHideAnUnknownOutcome has the second attempt rejected: the outcome
// stays unknown, since the first attempt may have run.
func TestRetryDoesNotHideAnUnknownOutcome(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	sent := 0
	d := newDispatcher(func() time.Time { return now }, func(intent.Endpoint, *work.Request) (*work.Answer, error) {
		sent++
		if sent == 1 {
			return nil, code.New(code.RepeatableNoAnswer, "test: no answer")
		}
		return nil, code.New(code.UpstreamRefused, "test: refused")
	})
	_, err := d.Do(context.Background(), newRequest(now))
	c.Assert(sent, qt.Equals, 2)
	c.Assert(code.Of(err).Outcome(), qt.Equals, code.Unknown)
}

func TestRetryOnlyOfRepeatableWork(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	sent := 0
	d := newDispatcher(func() time.Time { return now }, func(intent.Endpoint, *work.Request) (*work.Answer, error) {
		sent++
		return nil, code.New(code.OutcomeUnknown, "test: no answer")
	})
	r := newRequest(now)
	r.Kind.Repeatable = false
	_, err := d.Do(context.Background(), r)
	c.Assert(code.Of(err), qt.Equals, code.OutcomeUnknown)
	c.Assert(sent, qt.Equals, 1)
}

// TestRetryHedges has one endpoint that does not answer: the other one does, and the
// first attempt is cancelled.
func TestRetryHedges(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(time.Now, nil)
	cancelled := make(chan string, 1)
	silent := ""
	d.options.Send = func(ctx context.Context, e intent.Endpoint, _ *work.Request) (*work.Answer, error) {
		if silent == "" {
			return whole()
		}
		if e.Name != silent {
			return whole()
		}
		<-ctx.Done()
		cancelled <- e.Name
		return nil, code.New(code.RepeatableNoAnswer, "test: cancelled")
	}
	a, err := d.Do(context.Background(), newRequest(time.Now()))
	c.Assert(err, qt.IsNil)
	finish(c, a)
	// Of two endpoints with equal shares of free slots, the first is taken.
	silent = "e1"
	r := newRequest(time.Now())
	r.Deadline = r.Deadline.Add(time.Minute)
	a, err = d.Do(context.Background(), r)
	c.Assert(err, qt.IsNil)
	finish(c, a)
	c.Assert(<-cancelled, qt.Equals, silent)
	d.Close()
}

// withFreeHost adds a second host, which has free slots, to the dispatcher's snapshot.
func withFreeHost(d *Dispatcher) {
	s := *d.options.Snapshot()
	n := *s.Version.Declaration
	n.Upstreams = []intent.Upstream{
		{
			Name: "u",
			Endpoints: []intent.Endpoint{
				{
					Name:  "e3",
					Zone:  "here-1",
					Slots: 9,
				},
			},
		},
	}
	s.Table = lookup.New(lookup.Options{
		Declaration: &n,
		Hosts: []store.Host{
			{
				Name:   "h2",
				Zone:   "here-1",
				Region: "here",
			},
		},
		Owners: map[string]string{
			"e3": "h2",
		},
		Loads: lookup.Loads{
			lookup.Source{
				Host:     "h2",
				Upstream: "u",
			}: {
				Slots: 9,
			},
		},
		Self: "h1",
		Zone: "here-1",
	})
	d.options.Snapshot = func() *snapshot.Snapshot {
		return &s
	}
}

// TestSpreadTakesOneHop fills this host's slots: the next request is forwarded to the
// host with free slots, and a request that was forwarded to this host is not forwarded
// again.
func TestSpreadTakesOneHop(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	d := newDispatcher(func() time.Time { return now }, func(intent.Endpoint, *work.Request) (*work.Answer, error) {
		return whole()
	})
	hops := 0
	d.options.Forward = func(_ context.Context, h store.Host, r *work.Request) (*work.Answer, error) {
		hops++
		c.Check(h.Name, qt.Equals, "h2")
		c.Check(r.Immediate, qt.IsTrue)
		return whole()
	}
	withFreeHost(d)
	for range 2 {
		_, err := d.Do(context.Background(), newRequest(now))
		c.Assert(err, qt.IsNil)
	}
	c.Assert(hops, qt.Equals, 0)
	_, err := d.Do(context.Background(), newRequest(now))
	c.Assert(err, qt.IsNil)
	c.Assert(hops, qt.Equals, 1)
	r := newRequest(now)
	r.Hop = true
	r.Immediate = true
	_, err = d.Do(context.Background(), r)
	c.Assert(code.Of(err), qt.Equals, code.HopRefused)
	c.Assert(hops, qt.Equals, 1)
}

// TestSpreadWaitsHereIfNobodyTakesIt has the other host refuse a request: it is not
// forwarded there again at once, but waits for a slot of this host.
func TestSpreadWaitsHereIfNobodyTakesIt(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(time.Now, func(intent.Endpoint, *work.Request) (*work.Answer, error) {
		return whole()
	})
	hops := 0
	held := []*work.Answer{}
	d.options.Forward = func(context.Context, store.Host, *work.Request) (*work.Answer, error) {
		hops++
		// Meanwhile a slot of this host becomes free.
		finish(c, held[0])
		held = held[1:]
		return nil, code.New(code.HopRefused, "test: no slot is free")
	}
	withFreeHost(d)
	for range 2 {
		a, err := d.Do(context.Background(), newRequest(time.Now()))
		c.Assert(err, qt.IsNil)
		held = append(held, a)
	}
	a, err := d.Do(context.Background(), newRequest(time.Now()))
	c.Assert(err, qt.IsNil)
	c.Assert(a.Host, qt.Equals, "h1")
	c.Assert(hops, qt.Equals, 1)
}
