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
	limit map[string]balance.Limit
	// arrivals holds when requests came to each endpoint, in order.
	arrivals map[string][]time.Time
	work     time.Duration
}

func newLimitedEndpoints() *limitedEndpoints {
	return &limitedEndpoints{
		limit:    map[string]balance.Limit{},
		arrivals: map[string][]time.Time{},
		work:     20 * time.Millisecond,
	}
}

// state has the endpoints state a limit.
func (s *limitedEndpoints) state(rate float64, ids ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.limit[id] = balance.Limit{
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
	s.mu.Lock()
	defer s.mu.Unlock()
	most, first := 0, 0
	for i, a := range s.arrivals[id] {
		for s.arrivals[id][first].Before(t) && first < i || a.Sub(s.arrivals[id][first]) > limitWindow {
			first++
		}
		if !a.Before(t) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// offer sends requests to random ones of the hosts until ctx ends, at a rate per
// second. The returned function waits for their answers.
func offer(ctx context.Context, rate int, hosts func() []*Edge, path string) (wait func()) {
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
			s := hosts()
			q := request(path)
			q.Object = fmt.Sprint("o", i%40)
			group.Go(func() {
				s[rand.IntN(len(s))].Serve(context.WithoutCancel(ctx), q)
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
	wait := offer(ctx, 120, func() []*Edge {
		return hosts
	}, "/look/")
	const rate = 5.0
	s.state(rate, "e1", "e3")
	began := time.Now().Add(time.Second)
	<-time.After(time.Second + limitWindow + 500*time.Millisecond)
	cancel()
	wait()
	const bound = limitOvershoot*rate*4 + limitSlack
	for _, id := range []string{"e1", "e3"} {
		n := s.mostInWindow(id, began)
		c.Check(float64(n) <= bound, qt.IsTrue, qt.Commentf("%s got %d requests in %s, the bound is %g", id, n, limitWindow, bound))
		c.Check(n >= rate*4/2, qt.IsTrue, qt.Commentf("%s got only %d requests in %s", id, n, limitWindow))
	}
}
