package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/balance"
	"heatherford/core/registry"
)

// The bound on the requests to an endpoint that states a limit, over all hosts.
const (
	limitWindow    = 4 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5
)

// limitedEndpoints answer for endpoints that state a request limit. It is safe for
// concurrent use.
type limitedEndpoints struct {
	mu sync.Mutex
	// limit is what the answers of each endpoint state. A missing one states none.
	limit map[string]balance.StatedLimit
	// arrivals holds when requests came to each endpoint, in order.
	arrivals map[string][]time.Time
	work     time.Duration
}

func newLimitedEndpoints() *limitedEndpoints {
	return &limitedEndpoints{
		limit:    map[string]balance.StatedLimit{},
		arrivals: map[string][]time.Time{},
		work:     20 * time.Millisecond,
	}
}

// state has the endpoints state a limit.
func (s *limitedEndpoints) state(rate float64, ids ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.limit[id] = balance.StatedLimit{
			Stated: true,
			Rate:   rate,
		}
	}
}

func (s *limitedEndpoints) send(ctx context.Context, q *EndpointRequest) (*Reply, error) {
	id := q.Target.ID
	s.mu.Lock()
	s.arrivals[id] = append(s.arrivals[id], time.Now())
	s.mu.Unlock()
	select {
	case <-time.After(s.work):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.limit[id]
	return &Reply{
		Status:  http.StatusOK,
		Body:    []byte(id),
		Ran:     true,
		Genuine: true,
		Load:    1,
		Limit:   &l,
	}, nil
}

// mostInWindow returns the most requests that came to an endpoint within limitWindow,
// of those after a time.
func (s *limitedEndpoints) mostInWindow(id string, t time.Time) int {
	return s.mostWithin(id, limitWindow, t)
}

// mostWithin returns the most requests that came to an endpoint within any time of a
// length, of those after a time.
func (s *limitedEndpoints) mostWithin(id string, d time.Duration, t time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, first := 0, 0
	for i, a := range s.arrivals[id] {
		for s.arrivals[id][first].Before(t) && first < i || a.Sub(s.arrivals[id][first]) > d {
			first++
		}
		if !a.Before(t) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// checkBound checks that no endpoint got more than a limit allows within limitWindow,
// of the requests after a time.
func (s *limitedEndpoints) checkBound(c *qt.C, rate float64, t time.Time, ids ...string) {
	bound := limitOvershoot*rate*limitWindow.Seconds() + limitSlack
	for _, id := range ids {
		n := s.mostInWindow(id, t)
		c.Check(float64(n) <= bound, qt.IsTrue, qt.Commentf("%s got %d requests in %s, the bound is %g", id, n, limitWindow, bound))
	}
}

// offer sends requests to random ones of the hosts until ctx ends, at a rate per
// second. The returned function waits for their answers.
func offer(ctx context.Context, rate int, hosts []*Edge) (wait func()) {
	group := sync.WaitGroup{}
	group.Go(func() {
		t := time.NewTicker(time.Second / time.Duration(rate))
		defer t.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			q := request("/look/")
			q.Object = fmt.Sprint("o", i%40)
			group.Go(func() {
				hosts[rand.IntN(len(hosts))].Serve(context.WithoutCancel(ctx), q)
			})
		}
	})
	return group.Wait
}

// TestStatedLimitIsKept guards against an endpoint that gets more requests than the
// limit that it states, from all hosts together.
func TestStatedLimitIsKept(t *testing.T) {
	c := qt.New(t)
	k := newCluster(t)
	s := newLimitedEndpoints()
	k.setSend(s.send)
	hosts := append(k.startMany(2, "a", "z1"), k.startMany(2, "b", "z2")...)
	k.waitReady(hosts...)
	ctx, cancel := context.WithCancel(t.Context())
	wait := offer(ctx, 120, hosts)
	const rate = 5.0
	s.state(rate, "e1", "e3")
	began := time.Now().Add(time.Second)
	<-time.After(time.Second + limitWindow + 500*time.Millisecond)
	cancel()
	wait()
	s.checkBound(c, rate, began, "e1", "e3")
	for _, id := range []string{"e1", "e3"} {
		n := s.mostInWindow(id, began)
		c.Check(n >= rate*4/2, qt.IsTrue, qt.Commentf("%s got only %d requests in %s", id, n, limitWindow))
	}
}

// withdraw has the endpoints state no limit.
func (s *limitedEndpoints) withdraw(ids ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		delete(s.limit, id)
	}
}

// since returns the number of requests that came to an endpoint after a time.
func (s *limitedEndpoints) since(id string, t time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, a := range s.arrivals[id] {
		if !a.Before(t) {
			n++
		}
	}
	return n
}

// TestLimitAcrossOwners guards against an endpoint that gets more than its limit as its
// owners change, since each new one does not know what the last one knew, or several
// count themselves the owner.
func TestLimitAcrossOwners(t *testing.T) {
	c := qt.New(t)
	k := newCluster(t)
	s := newLimitedEndpoints()
	k.setSend(s.send)
	hosts := append(k.startMany(4, "a", "z1"), k.startMany(2, "b", "z2")...)
	k.waitReady(hosts...)
	const rate = 5.0
	s.state(rate, "e1", "e2")
	ctx, cancel := context.WithCancel(t.Context())
	wait := offer(ctx, 120, hosts)
	// Only the first requests tell of the limit.
	<-time.After(700 * time.Millisecond)
	began := time.Now()
	for i := range 3 {
		for _, n := range []string{"a0", "a1", "a2", "a3"} {
			setFault(k, k.isolated, n, i < 2)
			<-time.After(500 * time.Millisecond)
			setFault(k, k.isolated, n, false)
			if i == 0 {
				// The next one is cut off before the last one is known to be back.
				continue
			}
			<-time.After(200 * time.Millisecond)
		}
	}
	cancel()
	wait()
	s.checkBound(c, rate, began, "e1", "e2")
}

// TestLimitOfASplitZone guards against parts of a zone that do not hear each other and
// each send as much as the limit of an endpoint allows.
func TestLimitOfASplitZone(t *testing.T) {
	c := qt.New(t)
	k := newCluster(t)
	s := newLimitedEndpoints()
	k.setSend(s.send)
	hosts := k.startMany(4, "a", "z1")
	k.waitReady(hosts...)
	const rate = 10.0
	s.state(rate, "e1", "e2")
	ctx, cancel := context.WithCancel(t.Context())
	wait := offer(ctx, 200, hosts)
	<-time.After(700 * time.Millisecond)
	for _, n := range []string{"a0", "a1", "a2", "a3"} {
		setFault(k, k.isolated, n, true)
	}
	began := time.Now()
	<-time.After(6 * time.Second)
	cancel()
	wait()
	s.checkBound(c, rate, began, "e1", "e2")
}

// TestRestartedHostKnowsLimits guards against a host that owns an endpoint after a
// restart and does not know the limit that the endpoint stated before.
func TestRestartedHostKnowsLimits(t *testing.T) {
	c := qt.New(t)
	k := newCluster(t)
	s := newLimitedEndpoints()
	k.setSend(s.send)
	hosts := append(k.startMany(1, "a", "z1"), k.startMany(1, "b", "z2")...)
	k.waitReady(hosts...)
	s.state(3, "e1", "e2", "e3", "e4")
	// The host of the other zone learns of them by the heartbeats between zones.
	k.eventually(5*time.Second, "the limits are known in the other zone", func() bool {
		q := request("/look/")
		q.Object = fmt.Sprint("o", rand.IntN(40))
		hosts[rand.IntN(2)].Serve(t.Context(), q)
		return len(hosts[1].balancer.StatedLimits(time.Now())) == 4
	})
	setFault(k, k.isolated, "a0", true)
	fresh := k.start("a1", "z1")
	k.eventually(5*time.Second, "ready", fresh.Ready)
	m := fresh.balancer.StatedLimits(time.Now())
	for _, id := range []string{"e1", "e2"} {
		c.Check(m[id].StatedLimit, qt.Equals, balance.StatedLimit{
			Stated: true,
			Rate:   3,
		}, qt.Commentf("%s", id))
	}
}

// TestLimitEnds guards against a limit that outlives the endpoint's word, also one that
// allowed nothing.
func TestLimitEnds(t *testing.T) {
	c := qt.New(t)
	k := newCluster(t)
	s := newLimitedEndpoints()
	k.setSend(s.send)
	hosts := append(k.startMany(2, "a", "z1"), k.startMany(2, "b", "z2")...)
	k.waitReady(hosts...)
	s.state(0, "e1")
	s.state(5, "e2")
	ctx, cancel := context.WithCancel(t.Context())
	wait := offer(ctx, 120, hosts)
	<-time.After(time.Second)
	began := time.Now()
	<-time.After(4 * time.Second)
	c.Check(s.since("e1", began) <= 2, qt.IsTrue, qt.Commentf("%d requests in 4 s at an endpoint that takes none", s.since("e1", began)))
	s.withdraw("e1", "e2")
	<-time.After(5 * time.Second)
	began = time.Now()
	<-time.After(2 * time.Second)
	cancel()
	wait()
	for _, id := range []string{"e1", "e2"} {
		c.Check(s.since(id, began) > 20, qt.IsTrue, qt.Commentf("%s got %d requests in 2 s without a limit", id, s.since(id, began)))
	}
}

// TestColdEndpointOfUnreachableOwners guards against a cold endpoint that gets more than
// it bears while hosts stand in for owners that they cannot reach.
func TestColdEndpointOfUnreachableOwners(t *testing.T) {
	c := qt.New(t)
	k := newCluster(t)
	s := newLimitedEndpoints()
	k.setSend(s.send)
	e := k.endpoint("e1", "z1")
	e.ColdLeft = 20 * time.Second
	k.platform.put(registry.Endpoints, e.ID, registry.Record{
		Endpoint: &e,
	})
	hosts := append(k.startMany(4, "a", "z1"), k.startMany(2, "b", "z2")...)
	k.waitReady(hosts...)
	ctx, cancel := context.WithCancel(t.Context())
	wait := offer(ctx, 200, hosts)
	for _, n := range []string{"a0", "a1", "a2", "a3", "a0", "a1"} {
		setFault(k, k.isolated, n, true)
		<-time.After(600 * time.Millisecond)
		setFault(k, k.isolated, n, false)
	}
	cancel()
	wait()
	// The declaration allows 10 requests a second, 1.5 times that and 5 are borne.
	const bound = 1.5*10 + 5
	n := s.mostWithin("e1", time.Second, time.Time{})
	c.Check(n <= bound, qt.IsTrue, qt.Commentf("%d requests in a second, the bound is %g", n, bound))
	c.Check(n > 0, qt.IsTrue)
}
