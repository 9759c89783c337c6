package once_test

import (
	"context"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"heatherford/core/code"
	"heatherford/core/store"
	"heatherford/core/work"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// TestTicketCopies sends copies to both hosts, at once and later. The work runs
// once and all copies get its answer, except for one with another body.
func TestTicketCopies(t *testing.T) {
	c := qt.New(t)
	x := newCluster(c, "h1", "h2")
	k := x.issue("h2")
	group := sync.WaitGroup{}
	for i := range 20 {
		group.Go(func() {
			s, err := x.do([]string{"h1", "h2"}[i%2], request(k, "a"))
			c.Check(err, qt.IsNil)
			c.Check(s, qt.Equals, "done a")
		})
	}
	group.Wait()
	c.Assert(x.ran.Load(), qt.Equals, int64(1))
	_, err := x.do("h2", request(k, "b"))
	c.Assert(code.Of(err), qt.Equals, code.KeyMismatch)
	_, err = x.do("h1", request("", "a"))
	c.Assert(code.Of(err), qt.Equals, code.TicketRequired)
}

// TestTicketHomeGone restarts the home of a ticket whose work has not run and of
// one whose work has.
func TestTicketHomeGone(t *testing.T) {
	c := qt.New(t)
	x := newCluster(c, "h1", "h2")
	before := x.issue("h2")
	after := x.issue("h2")
	_, err := x.do("h1", request(after, "a"))
	c.Assert(err, qt.IsNil)
	x.stops["h1"]()
	x.start("h1")
	for _, h := range []string{"h2", "h1"} {
		_, err = x.do(h, request(before, "a"))
		c.Assert(code.Of(err), qt.Equals, code.NotRunTombstone)
		s, err := x.do(h, request(after, "a"))
		c.Assert(err, qt.IsNil)
		c.Assert(s, qt.Equals, "done a")
	}
	c.Assert(x.ran.Load(), qt.Equals, int64(1))
}

// TestTicketNoHome issues a ticket for a home that does not answer: the issuing
// host becomes the home.
func TestTicketNoHome(t *testing.T) {
	c := qt.New(t)
	x := newCluster(c, "h1", "h2")
	i, err := x.host("h2").Issue(context.Background(), deposit, store.Host{
		Name: "dead",
	})
	c.Assert(err, qt.IsNil)
	c.Assert(i.Home.Name, qt.Equals, "h2")
	s, err := x.do("h1", request(i.Token, "a"))
	c.Assert(err, qt.IsNil)
	c.Assert(s, qt.Equals, "done a")
}

// TestTicketCutOff writes a tombstone for a ticket whose home is unreachable: the
// home does not run a copy that arrives later.
func TestTicketCutOff(t *testing.T) {
	c := qt.New(t)
	x := newCluster(c, "h1", "h2")
	k := x.issue("h2")
	x.cut.Store(true)
	_, err := x.do("h2", request(k, "a"))
	c.Assert(code.Of(err), qt.Equals, code.NotRunTombstone)
	_, err = x.do("h1", request(k, "a"))
	c.Assert(code.Of(err), qt.Equals, code.NotRunTombstone)
	c.Assert(x.ran.Load(), qt.Equals, int64(0))
}

// TestTicketMemoryOnly runs a memory-only ticket while the platform is down. With
// the home unreachable, the outcome is unknown.
func TestTicketMemoryOnly(t *testing.T) {
	c := qt.New(t)
	x := newCluster(c, "h1", "h2")
	x.platform.down.Store(true)
	// The first claim that fails shows that the platform is down.
	r := request(x.issue("h1"), "a")
	r.Deadline = time.Now().Add(200 * time.Millisecond)
	_, err := x.do("h1", r)
	c.Assert(code.Of(err), qt.Equals, code.ClaimFailed)
	k := x.issue("h1")
	s, err := x.do("h1", request(k, "b"))
	c.Assert(err, qt.IsNil)
	c.Assert(s, qt.Equals, "done b")
	x.cut.Store(true)
	_, err = x.do("h2", request(k, "b"))
	c.Assert(code.Of(err), qt.Equals, code.OutcomeUnknown)
	c.Assert(x.ran.Load(), qt.Equals, int64(1))
}

// TestTicketHandOver stops a home with a handover while the platform is down: its
// successor knows what was run and what was not.
func TestTicketHandOver(t *testing.T) {
	c := qt.New(t)
	x := newCluster(c, "h1", "h2", "h3")
	claimed := x.issue("h1")
	_, err := x.do("h1", request(claimed, "a"))
	c.Assert(err, qt.IsNil)
	x.platform.down.Store(true)
	r := request(x.issue("h1"), "a")
	r.Deadline = time.Now().Add(200 * time.Millisecond)
	_, err = x.do("h1", r)
	c.Assert(code.Of(err), qt.Equals, code.ClaimFailed)
	ran := x.issue("h1")
	unused := x.issue("h1")
	_, err = x.do("h1", request(ran, "b"))
	c.Assert(err, qt.IsNil)
	c.Assert(x.host("h1").HandOver(context.Background()), qt.IsNil)
	_, err = x.do("h1", request(x.issue("h1"), "c"))
	c.Assert(code.Of(err), qt.Equals, code.HostStopping)
	x.stops["h1"]()
	x.start("h1")
	for _, h := range []string{"h1", "h2", "h3"} {
		s, err := x.do(h, request(ran, "b"))
		c.Assert(err, qt.IsNil)
		c.Assert(s, qt.Equals, "done b")
		s, err = x.do(h, request(claimed, "a"))
		c.Assert(err, qt.IsNil)
		c.Assert(s, qt.Equals, "done a")
		_, err = x.do(h, request(unused, "d"))
		c.Assert(code.Of(err), qt.Equals, code.HostStopping)
	}
	c.Assert(x.ran.Load(), qt.Equals, int64(2))
}

// TestClaimLostAnswer loses the answers of all commits: claims are resolved by
// reading the rows.
func TestClaimLostAnswer(t *testing.T) {
	c := qt.New(t)
	x := newCluster(c, "h1")
	x.platform.losesAnswers.Store(true)
	k := x.issue("h1")
	s, err := x.do("h1", request(k, "a"))
	c.Assert(err, qt.IsNil)
	c.Assert(s, qt.Equals, "done a")
	c.Assert(x.ran.Load(), qt.Equals, int64(1))
}

// TestClaimOwnKey sends copies under a caller key to two hosts.
func TestClaimOwnKey(t *testing.T) {
	c := qt.New(t)
	x := newCluster(c, "h1", "h2")
	const key = "7c7ac5b8-own-key-of-a-caller"
	for _, h := range []string{"h1", "h2", "h1"} {
		s, err := x.do(h, request(key, "a"))
		c.Assert(err, qt.IsNil)
		c.Assert(s, qt.Equals, "done a")
	}
	_, err := x.do("h2", request(key, "b"))
	c.Assert(code.Of(err), qt.Equals, code.KeyMismatch)
	c.Assert(x.ran.Load(), qt.Equals, int64(1))
	_, err = x.do("h1", request("short", "a"))
	c.Assert(code.Of(err), qt.Equals, code.RequestInvalid)

	// Without the platform a host can't know whether another has run the work.
	x.platform.down.Store(true)
	r := request(key+"2", "a")
	r.Deadline = time.Now().Add(200 * time.Millisecond)
	_, err = x.do("h1", r)
	c.Assert(code.Of(err), qt.Equals, code.CopyRefused)
	x.platform.down.Store(false)
	_, err = x.do("h2", request(key+"2", "a"))
	c.Assert(err, qt.IsNil)
	_, err = x.do("h1", request(key+"2", "a"))
	c.Assert(err, qt.IsNil)
	c.Assert(x.ran.Load(), qt.Equals, int64(2))
}

// TestTicketAbandoned cancels the only copy before the request is sent: it is
// never sent, and a later copy gets that result.
func TestTicketAbandoned(t *testing.T) {
	c := qt.New(t)
	x := newCluster(c, "h1")
	queued := make(chan struct{})
	x.run = func(ctx context.Context, r *work.Request) (*work.Answer, error) {
		close(queued)
		<-ctx.Done()
		return x.answer(ctx, r)
	}
	k := x.issue("h1")
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-queued
		cancel()
	}()
	_, err := x.host("h1").Do(ctx, request(k, "a"), x.run)
	c.Assert(code.Of(err), qt.Equals, code.RequestCancelled)
	_, err = x.do("h1", request(k, "a"))
	c.Assert(code.Of(err), qt.Equals, code.RequestCancelled)
	c.Assert(x.ran.Load(), qt.Equals, int64(0))
}

// TestTicketLeftRunning cancels the only copy after the request was sent: the work
// goes on, and a later copy gets the answer.
func TestTicketLeftRunning(t *testing.T) {
	c := qt.New(t)
	x := newCluster(c, "h1")
	sent := make(chan struct{})
	leave := make(chan struct{})
	x.run = func(ctx context.Context, r *work.Request) (*work.Answer, error) {
		a, err := x.answer(ctx, r)
		close(sent)
		<-leave
		return a, err
	}
	k := x.issue("h1")
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-sent
		cancel()
	}()
	_, err := x.host("h1").Do(ctx, request(k, "a"), x.run)
	c.Assert(code.Of(err), qt.Equals, code.OutcomeUnknown)
	close(leave)
	s, err := x.do("h1", request(k, "a"))
	c.Assert(err, qt.IsNil)
	c.Assert(s, qt.Equals, "done a")
}

// TestWholeLargeAnswer streams an answer that is too large to keep to the first
// copy; a later one gets OutcomeUnrecorded.
func TestWholeLargeAnswer(t *testing.T) {
	c := qt.New(t)
	x := newCluster(c, "h1")
	large := strings.Repeat("x", 1<<20)
	x.run = func(ctx context.Context, r *work.Request) (*work.Answer, error) {
		if _, err := x.answer(ctx, r); err != nil {
			return nil, err
		}
		return textAnswer(large), nil
	}
	k := x.issue("h1")
	s, err := x.do("h1", request(k, "a"))
	c.Assert(err, qt.IsNil)
	c.Assert(s == large, qt.IsTrue)
	_, err = x.do("h1", request(k, "a"))
	c.Assert(code.Of(err), qt.Equals, code.OutcomeUnrecorded)
	c.Assert(x.ran.Load(), qt.Equals, int64(1))
}

// BenchmarkTicketRun claims and runs a request and keeps its answer. kept-bytes/op
// is the memory that one ticket still uses afterwards.
func BenchmarkTicketRun(b *testing.B) {
	c := qt.New(b)
	x := newCluster(c, "h1")
	before := heap()
	n := 0
	for b.Loop() {
		n++
		r := request("", "a")
		r.Ticket = x.issue("h1")
		_, err := x.do("h1", r)
		c.Assert(err, qt.IsNil)
	}
	b.ReportMetric(float64(heap()-before)/float64(n), "kept-bytes/op")
}

func heap() uint64 {
	runtime.GC()
	m := runtime.MemStats{}
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
