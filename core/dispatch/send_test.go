package dispatch

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/code"
	"heatherford/core/intent"
	"heatherford/core/lookup"
	"heatherford/core/outcome"
	"heatherford/core/quota"
	"heatherford/core/snapshot"
	"heatherford/core/store"
	"heatherford/core/timeline"
	"heatherford/core/work"
)

// newDispatcher returns the dispatcher of a host that owns two endpoints with one slot
// each. The cap of the link from the other region is 0 there.
func newDispatcher(now func() time.Time, send func(e intent.Endpoint, r *work.Request) (*work.Answer, error)) *Dispatcher {
	d := &intent.Declaration{
		Ranks: []intent.Rank{
			{
				Name:    "urgent",
				Planned: 1,
			},
		},
		Kinds: []intent.Kind{
			{
				Name:       "k",
				Rank:       "urgent",
				Upstream:   "u",
				Repeatable: true,
			},
		},
		Regions: []intent.Region{
			{
				Name:  "here",
				Zones: []string{"here-1"},
				Cap:   2,
			},
			{
				Name:  "there",
				Zones: []string{"there-1"},
				Cap:   2,
			},
		},
		Sites: []intent.Site{
			{
				Name: "there",
				Zone: "there-1",
			},
		},
		Blocks: []intent.Block{
			{
				Prefix: netip.MustParsePrefix("10.9.0.0/16"),
				Site:   "there",
			},
		},
	}
	h := store.Host{
		Name:   "h1",
		Zone:   "here-1",
		Region: "here",
		State:  store.HostLive,
	}
	s := &snapshot.Snapshot{
		Version: &intent.Version{
			Number:      1,
			Declaration: d,
		},
		Hosts: map[string]store.Host{
			h.Name: h,
		},
		Owned: map[string][]snapshot.Own{},
		Table: lookup.New(lookup.Options{
			Declaration: d,
			Hosts:       []store.Host{h},
			Zone:        h.Zone,
			Self:        h.Name,
		}),
	}
	x := New(Options{
		Self: h.Name,
		Snapshot: func() *snapshot.Snapshot {
			return s
		},
		Send: func(_ context.Context, e intent.Endpoint, r *work.Request) (*work.Answer, error) {
			return send(e, r)
		},
		Record:  func(timeline.Event) {},
		Results: outcome.New(func(outcome.Result) {}),
		Now:     now,
	})
	for _, n := range []string{"e1", "e2"} {
		s.Owned["u"] = append(s.Owned["u"], snapshot.Own{
			Endpoint: intent.Endpoint{
				Name:  n,
				Zone:  h.Zone,
				Slots: 1,
			},
			Slots:   1,
			Reduced: 1,
			Longest: time.Minute,
		})
		l := quota.Limits{
			Slots: 1,
			Shares: []quota.CapShare{
				{
					Name:  quota.LinkCap("there", "here"),
					Limit: 0,
				},
			},
		}
		x.Ledger(n).Set(quota.Allowance{
			Full:        l,
			BeyondLease: l,
			Reduced:     l,
		})
	}
	return x
}

func newRequest(now time.Time) *work.Request {
	return &work.Request{
		ID: "r1",
		Kind: intent.Kind{
			Name:       "k",
			Rank:       "urgent",
			Upstream:   "u",
			Repeatable: true,
		},
		Header:   http.Header{},
		Deadline: now.Add(time.Second),
	}
}

// TestGrantLedgerAfterRetry checks that a slot stays in use until the deadline at an
// endpoint where the request may still run, and only there.
func TestGrantLedgerAfterRetry(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	tried := []string{}
	d := newDispatcher(func() time.Time { return now }, func(e intent.Endpoint, r *work.Request) (*work.Answer, error) {
		tried = append(tried, e.Name)
		if len(tried) == 1 {
			r.MayRun = true
			return nil, code.New(code.RepeatableNoAnswer, "test: no answer")
		}
		return &work.Answer{
			Body: io.NopCloser(strings.NewReader("whole")),
		}, nil
	})
	a, err := d.Do(context.Background(), newRequest(now))
	c.Assert(err, qt.IsNil)
	_, err = io.ReadAll(a.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(a.Body.Close(), qt.IsNil)
	c.Assert(tried, qt.HasLen, 2)
	c.Assert(d.Ledger(tried[0]).Drained(now), qt.IsFalse)
	c.Assert(d.Ledger(tried[1]).Drained(now), qt.IsTrue)
	c.Assert(d.Ledger(tried[0]).Drained(now.Add(time.Second)), qt.IsTrue)
}

// TestGrantLedgerOfASecondSending sends a request to the same endpoint twice, as after
// a connection on which no answer came: the first sending counts until the deadline,
// and without a free slot there is no second sending.
func TestGrantLedgerOfASecondSending(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	allowed := []bool{}
	d := newDispatcher(func() time.Time { return now }, func(_ intent.Endpoint, r *work.Request) (*work.Answer, error) {
		allowed = append(allowed, r.Resend())
		return &work.Answer{
			Body: io.NopCloser(strings.NewReader("whole")),
		}, nil
	})
	d.Ledger("e1").Set(quota.Allowance{
		Full: quota.Limits{
			Slots: 2,
		},
		BeyondLease: quota.Limits{
			Slots: 2,
		},
		Reduced: quota.Limits{
			Slots: 2,
		},
	})
	for range 2 {
		a, err := d.Do(context.Background(), newRequest(now))
		c.Assert(err, qt.IsNil)
		_, err = io.ReadAll(a.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(a.Body.Close(), qt.IsNil)
	}
	// The second request finds e1 with its one slot in use, and e2 with one slot.
	c.Assert(allowed, qt.DeepEquals, []bool{true, false})
	c.Assert(d.Ledger("e1").InFlight(), qt.Equals, 1)
	c.Assert(d.Ledger("e1").Drained(now.Add(time.Second)), qt.IsTrue)
}

// TestCapReached checks that a request over a link whose cap is reached is refused at
// once as not run, and that other requests are not refused.
func TestCapReached(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	d := newDispatcher(func() time.Time { return now }, func(intent.Endpoint, *work.Request) (*work.Answer, error) {
		return &work.Answer{
			Body: io.NopCloser(strings.NewReader("whole")),
		}, nil
	})
	r := newRequest(now)
	r.Caller = netip.MustParseAddr("10.9.1.1")
	_, err := d.Do(context.Background(), r)
	c.Assert(code.Of(err), qt.Equals, code.CapReached)
	c.Assert(code.Of(err).Outcome(), qt.Equals, code.NotRun)
	r = newRequest(now)
	r.Caller = netip.MustParseAddr("10.8.1.1")
	_, err = d.Do(context.Background(), r)
	c.Assert(err, qt.IsNil)
}

// TestCapRemembersWhatAnotherHostPassedOn has a cap block a request that another host
// forwarded and that may not wait here. For a while, less urgent ranks are then limited
// to their floor at that cap, as they are after a request that came from a caller.
// Without that, urgent and batch work got equal shares in an overload over a link
// (session region_loss).
func TestCapRemembersWhatAnotherHostPassedOn(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	d := newDispatcher(func() time.Time { return now }, func(intent.Endpoint, *work.Request) (*work.Answer, error) {
		return whole()
	})
	r := newRequest(now)
	r.Caller = netip.MustParseAddr("10.9.1.1")
	r.Hop = true
	r.Immediate = true
	_, err := d.Do(context.Background(), r)
	c.Assert(code.Of(err), qt.Equals, code.HopRefused)

	link := quota.LinkCap("there", "here")
	wide := quota.Limits{
		Slots: 3,
		Shares: []quota.CapShare{
			{
				Name:  link,
				Limit: 3,
			},
		},
	}
	l := d.Ledger("e1")
	l.Set(quota.Allowance{
		Full:        wide,
		BeyondLease: wide,
		Reduced:     wide,
	})
	batch := quota.Request{
		Deadline: now.Add(time.Second),
		Caps:     []quota.CapName{link},
		Rank:     1,
	}
	_, refusal := l.Reserve(now, batch)
	c.Assert(refusal, qt.Equals, quota.Allowed)
	c.Assert(l.Check(now, batch), qt.Equals, quota.NoCapShare)
}
