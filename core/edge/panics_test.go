package edge

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/code"
	"heatherford/core/registry"
)

// panicsLogged makes hosts that are started count their lines on panics.
func panicsLogged(k *cluster) *atomic.Int64 {
	n := &atomic.Int64{}
	k.log = func(kind string, _ ...any) {
		if kind == "panic" {
			n.Add(1)
		}
	}
	return n
}

// panicOn returns a function that answers for endpoints, and panics for requests whose
// target holds a text.
func panicOn(text string) func(context.Context, *EndpointRequest) (*Reply, error) {
	return func(ctx context.Context, s *EndpointRequest) (*Reply, error) {
		if strings.Contains(s.Request.Target, text) {
			panic("cannot send " + s.Request.Target)
		}
		return answerOK(ctx, s)
	}
}

// TestPanicOfAnAttempt guards against the loss of all requests in flight on a host when
// one attempt panics: the others are answered, and its own answer says that the outcome is
// unknown.
func TestPanicOfAnAttempt(t *testing.T) {
	c := qt.New(t)
	k := newCluster(t)
	panics := panicsLogged(k)
	a, b := k.start("a", "z1"), k.start("b", "z1")
	k.waitReady(a, b)
	release := make(chan struct{})
	started := atomic.Int64{}
	k.setSend(func(ctx context.Context, s *EndpointRequest) (*Reply, error) {
		if strings.Contains(s.Request.Target, "slow") {
			started.Add(1)
			select {
			case <-release:
			case <-ctx.Done():
			}
		}
		return panicOn("panic")(ctx, s)
	})
	const others = 4
	answers := make(chan int, others)
	for i := range others {
		go func() {
			q := request(fmt.Sprint("/charge/slow", i))
			q.Object = fmt.Sprint("o", i)
			answers <- a.Serve(context.Background(), q).Status
		}()
	}
	k.eventually(time.Second, "the others at their endpoints", func() bool {
		return started.Load() == others
	})
	// More than there are slots, over all endpoints and both owners.
	const attempts = 30
	for i := range attempts {
		q := request("/charge/panic")
		q.Object = fmt.Sprint("p", i)
		x := a.Serve(t.Context(), q)
		c.Check(x.Status, qt.Equals, http.StatusBadGateway)
		c.Check(x.Code.Outcome(), qt.Equals, code.Unknown)
	}
	close(release)
	for range others {
		c.Check(<-answers, qt.Equals, http.StatusOK)
	}
	for i := range attempts {
		q := request("/charge/well")
		q.Object = fmt.Sprint("p", i)
		c.Check(a.Serve(t.Context(), q).Status, qt.Equals, http.StatusOK)
	}
	c.Check(panics.Load(), qt.Equals, int64(attempts))
	c.Check(a.Panics()+b.Panics(), qt.Equals, uint64(attempts))
}

// TestPanicOfAnObservation guards against the loss of an answer that is ready.
func TestPanicOfAnObservation(t *testing.T) {
	c := qt.New(t)
	k := newCluster(t)
	a := k.start("a", "z1")
	k.waitReady(a)
	a.options.Observe = func(*Observation) {
		panic("cannot count it")
	}
	c.Check(a.Serve(t.Context(), request("/charge/1")).Status, qt.Equals, http.StatusOK)
	c.Check(a.Panics(), qt.Equals, uint64(1))
}

// TestPanicOfACheck guards against the same loss when the check of a broken endpoint
// panics: it counts as one that has not crashed.
func TestPanicOfACheck(t *testing.T) {
	c := qt.New(t)
	k := newCluster(t)
	panics := panicsLogged(k)
	a := k.start("a", "z1")
	k.waitReady(a)
	k.setRefuses(func(string) bool {
		panic("cannot dial")
	})
	k.setSend(func(context.Context, *EndpointRequest) (*Reply, error) {
		return nil, failure(true)
	})
	began := time.Now()
	x := a.Serve(t.Context(), request("/charge/1"))
	c.Check(x.Status, qt.Equals, http.StatusBadGateway)
	c.Check(time.Since(began) < 500*time.Millisecond, qt.IsTrue)
	c.Check(panics.Load(), qt.Equals, int64(1))
	k.setSend(answerOK)
	c.Check(a.Serve(t.Context(), request("/charge/2")).Status, qt.Equals, http.StatusOK)
}

// TestPanicOfAnEvent guards against the end of all hosts by one heartbeat that a panic
// meets: the event is left out.
func TestPanicOfAnEvent(t *testing.T) {
	k := newCluster(t)
	panics := panicsLogged(k)
	a, b := k.start("a", "z1"), k.start("b", "z1")
	k.waitReady(a, b)
	a.post(t.Context(), func(*control) {
		panic("an event")
	})
	k.eventually(time.Second, "the panic", func() bool {
		return panics.Load() == 1
	})
	k.declare(5, 1)
	k.eventually(time.Second, "the new declaration", func() bool {
		return a.View().Table.Declaration.Version == 5 && len(a.View().Live) == 2
	})
}

// TestPanicOfAStep guards against the loss of all requests in flight when the periodic
// work of a host panics: the host leaves, and they are answered.
func TestPanicOfAStep(t *testing.T) {
	c := qt.New(t)
	k := newCluster(t)
	panicsLogged(k)
	b := k.start("b", "z1")
	broken := atomic.Bool{}
	k.delayed = func(time.Duration) {
		if broken.Load() {
			panic("a step")
		}
	}
	a := k.start("a", "z1")
	k.fails["a"] = true
	k.waitReady(a, b)
	release := make(chan struct{})
	started := make(chan struct{}, 1)
	k.setSend(func(ctx context.Context, s *EndpointRequest) (*Reply, error) {
		started <- struct{}{}
		<-release
		return answerOK(ctx, s)
	})
	answer := make(chan int, 1)
	go func() {
		answer <- a.Serve(context.Background(), request("/charge/1")).Status
	}()
	<-started
	broken.Store(true)
	<-a.Dying()
	c.Check(a.Err(), qt.ErrorMatches, "(?s)panic: a step.*")
	c.Check(a.Ready(), qt.IsFalse)
	k.eventually(300*time.Millisecond, "the other host to know that this one leaves", func() bool {
		for _, m := range b.View().Live {
			if m.Name == "a" {
				return m.Leaving
			}
		}
		return false
	})
	close(release)
	c.Check(<-answer, qt.Equals, http.StatusOK)
}

// TestAnyNumberOfAttempts guards against the loss of requests by a declaration whose number
// of attempts is too large to be held in memory.
func TestAnyNumberOfAttempts(t *testing.T) {
	c := qt.New(t)
	k := newCluster(t)
	d := k.platform.records[registry.OperatorRecords]["declaration"].Declaration
	d.Routes[0].Attempts = math.MaxInt
	d.Routes[1].Attempts = -100
	a := k.start("a", "z1")
	k.waitReady(a)
	for _, p := range []string{"/look/1", "/charge/1"} {
		c.Check(a.Serve(t.Context(), request(p)).Status, qt.Equals, http.StatusOK)
	}
	c.Check(a.Panics(), qt.Equals, uint64(0))
}
