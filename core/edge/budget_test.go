package edge

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/budget"
	"heatherford/core/fleet"
	"heatherford/core/registry"
)

// TestRepeatAfterAnOwnersRefusal guards against attempts that no retry budget counts:
// those of requests that an endpoint rejected and the owner of a second endpoint then
// refused.
func TestRepeatAfterAnOwnersRefusal(t *testing.T) {
	c := qt.New(t)
	k := newCluster(t)
	const slack, hosts = 99, 3
	k.retryBudget = budget.WindowOptions{
		Slack:  slack,
		Length: 2 * time.Second,
	}
	for i := range 40 {
		k.addEndpoint(fmt.Sprint("more", i), "z1")
	}
	a, b, d := k.start("a", "z1"), k.start("b", "z1"), k.start("d", "z1")
	k.waitReady(a, b, d)
	k.eventually(3*time.Second, "a part of the retry budget", func() bool {
		return a.Upstreams(time.Now())["desk"].RetriesLeft > 0
	})
	setFault(k, k.forwardsRefused, "b", true)
	setFault(k, k.forwardsRefused, "d", true)
	mu := sync.Mutex{}
	arrived := map[string]bool{}
	// retries are the times of all arrivals of requests that had arrived before.
	retries := []time.Time{}
	k.setSend(func(_ context.Context, s *EndpointRequest) (*Reply, error) {
		mu.Lock()
		defer mu.Unlock()
		if arrived[s.Request.ID] {
			retries = append(retries, time.Now())
		}
		arrived[s.Request.ID] = true
		return rejected(), nil
	})
	for i := range 600 {
		q := request("/charge/")
		q.Object = fmt.Sprint("o", i)
		a.Serve(t.Context(), q)
	}
	for i, end := range retries {
		n := 0
		for _, x := range retries[:i+1] {
			if end.Sub(x) < k.retryBudget.Length {
				n++
			}
		}
		c.Assert(n <= slack/hosts, qt.IsTrue, qt.Commentf("%d retries arrived in a window, %d are this host's part", n, slack/hosts))
	}
}

// TestBudgetOfHostsThatSeeFew guards against parts of the retry budget that exceed
// the whole in sum: hosts that hear nothing of the others take no larger part than
// before.
func TestBudgetOfHostsThatSeeFew(t *testing.T) {
	c := qt.New(t)
	k := newCluster(t)
	const slack = 60
	k.retryBudget = budget.WindowOptions{
		Slack:  slack,
		Length: time.Second,
	}
	s := k.startMany(6, "a", "z1")
	k.waitReady(s...)
	left := func() int {
		n := 0
		for _, e := range s {
			n += e.Upstreams(time.Now())["desk"].RetriesLeft
		}
		return n
	}
	k.eventually(3*time.Second, "most of the retry budget in use", func() bool {
		return left() >= slack/2
	})
	for _, e := range s {
		setFault(k, k.isolated, e.options.Self.Name, true)
	}
	k.eventually(3*time.Second, "each host alone", func() bool {
		for _, e := range s {
			if len(e.View().Live) > 1 {
				return false
			}
		}
		return true
	})
	c.Logf("%d retries are left to all hosts", left())
	c.Check(left() <= slack, qt.IsTrue, qt.Commentf("%d retries are left to all hosts, %d are allowed", left(), slack))
}

// TestColdAllowanceOfHostsThatSeeFew guards against the same for the allowance of
// cold endpoints, which crash if they get more.
func TestColdAllowanceOfHostsThatSeeFew(t *testing.T) {
	c := qt.New(t)
	const hosts = 6
	members := []fleet.Member{}
	for i := range hosts {
		members = append(members, fleet.Member{
			Name: fmt.Sprint("a", i),
			Zone: "z1",
		})
	}
	start := time.Unix(1_000_000, 0)
	for name, now := range map[string]time.Time{
		"all see each other": start,
		"all are alone":      start.Add(time.Minute),
	} {
		own := 0.0
		for _, m := range members {
			x := &control{
				edge: &New(Options{
					Self: m,
				}).shared,
				fleet: fleet.New(m),
			}
			x.fleet.AddListed(members, start)
			x.live = x.fleet.Live(now)
			p := x.placements(now)(&registry.Endpoint{
				ID:   "e1",
				Zone: "z1",
			})
			if p.Owner == m.Name {
				own += p.OwnerColdShare
			}
		}
		c.Check(own <= 1, qt.IsTrue, qt.Commentf("%s: %.1f times the allowance", name, own))
	}
}
