package once_test

import (
	"context"
	"io"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"go.uber.org/goleak"
	"gopkg.in/tomb.v2"

	"heatherford/core/code"
	"heatherford/core/intent"
	"heatherford/core/once"
	"heatherford/core/snapshot"
	"heatherford/core/store"
	"heatherford/core/ticket"
	"heatherford/core/timeline"
	"heatherford/core/work"
	"heatherford/standin/platform"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// platformFake is a table whose calls can fail.
type platformFake struct {
	table *platform.Table
	down  atomic.Bool
	// loses makes commits take effect and their answers get lost.
	loses atomic.Bool
	// before is called before each commit, unless it is nil.
	before  func()
	commits atomic.Int64
}

func (p *platformFake) store() store.Store {
	return store.Store{
		Commit: func(_ context.Context, t store.Transaction) (store.Committed, error) {
			p.commits.Add(1)
			if p.before != nil {
				p.before()
			}
			if p.down.Load() {
				return store.Committed{}, code.New(code.PlatformDown, "test: down")
			}
			a, ok := p.table.Commit(t)
			switch {
			case p.loses.Load():
				return a, code.New(code.PlatformUnknown, "test: lost")
			case !ok:
				return a, code.New(code.PlatformConflict, "test: conflict")
			default:
				return a, nil
			}
		},
		Read: func(_ context.Context, q store.Query) ([]store.Row, error) {
			if p.down.Load() {
				return nil, code.New(code.PlatformDown, "test: down")
			}
			return p.table.Read(q), nil
		},
	}
}

// cluster is a few hosts that share a platform.
type cluster struct {
	c        *qt.C
	platform *platformFake
	// mu guards hosts.
	mu       sync.Mutex
	hosts    map[string]*once.Once
	stores   map[string]*store.Store
	snapshot *snapshot.Snapshot
	// ran counts the dispatches of all hosts.
	ran atomic.Int64
	// cut makes hosts unreachable for each other.
	cut atomic.Bool
	// run dispatches; it is the same on all hosts.
	run func(ctx context.Context, r *work.Request) (*work.Answer, error)
	// stops end each host.
	stops map[string]func()
}

func newCluster(c *qt.C, names ...string) *cluster {
	x := &cluster{
		c: c,
		platform: &platformFake{
			table: platform.NewTable(),
		},
		hosts:  map[string]*once.Once{},
		stores: map[string]*store.Store{},
		stops:  map[string]func(){},
		snapshot: &snapshot.Snapshot{
			Hosts: map[string]store.Host{},
		},
	}
	x.run = x.answer
	for _, n := range names {
		x.snapshot.Hosts[n] = store.Host{
			Name: n,
		}
	}
	for _, n := range names {
		x.start(n)
	}
	c.Cleanup(func() {
		for _, f := range x.stops {
			f()
		}
	})
	return x
}

func (x *cluster) host(name string) *once.Once {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.hosts[name]
}

// start starts a host, or a new incarnation of it.
func (x *cluster) start(name string) {
	s := x.platform.store()
	o := once.New(once.Options{
		Self:   name,
		Writes: 250,
		Store:  &s,
		Snapshot: func() *snapshot.Snapshot {
			return x.snapshot
		},
		Pass: func(ctx context.Context, h store.Host, r *work.Request) (*work.Answer, error) {
			if x.cut.Load() {
				return nil, code.New(code.PeerUnreachable, "test: cut off")
			}
			q := *r
			q.Hop = true
			return x.host(h.Name).Do(ctx, &q, x.run)
		},
		Ask: func(_ context.Context, h store.Host) (once.Home, error) {
			return x.host(h.Name).Self(), nil
		},
		AskKeyring: func(_ context.Context, h store.Host) (ticket.Keyring, error) {
			return x.host(h.Name).Keyring(), nil
		},
		Announce: func(_ context.Context, h store.Host, a once.Home) error {
			x.mu.Lock()
			defer x.mu.Unlock()
			if o := x.hosts[h.Name]; o != nil {
				o.Heard(name, a)
			}
			return nil
		},
		PlatformDown: func() bool {
			return false
		},
		HandOver: func(_ context.Context, h store.Host, l once.Handover) error {
			x.host(h.Name).TakeOver(l)
			return nil
		},
		Record: func(timeline.Event) {},
		Log:    log.NewNopLogger(),
		Now:    time.Now,
	})
	x.mu.Lock()
	x.hosts[name] = o
	x.mu.Unlock()
	t := &tomb.Tomb{}
	t.Go(func() error {
		return o.Run(t)
	})
	for len(o.Keyring().Secrets) == 0 {
		<-time.After(time.Millisecond)
	}
	x.stops[name] = sync.OnceFunc(func() {
		t.Kill(nil)
		x.c.Check(t.Wait(), qt.IsNil)
	})
}

// answer runs the work by counting it.
func (x *cluster) answer(ctx context.Context, r *work.Request) (*work.Answer, error) {
	if !work.Start(ctx) {
		return nil, code.New(code.RequestCancelled, "test: cancelled")
	}
	x.ran.Add(1)
	return textAnswer("done " + string(r.Body)), nil
}

func textAnswer(s string) *work.Answer {
	return &work.Answer{
		Status: 200,
		Body:   io.NopCloser(strings.NewReader(s)),
		Length: int64(len(s)),
	}
}

var deposit = intent.Kind{
	Name: "deposit",
}

// issue returns a ticket for h1 that the host issues.
func (x *cluster) issue(at string) string {
	i, err := x.host(at).Issue(context.Background(), deposit, x.snapshot.Hosts["h1"])
	x.c.Assert(err, qt.IsNil)
	x.c.Assert(i.Home.Name, qt.Equals, "h1")
	return i.Token
}

func request(key, body string) *work.Request {
	return &work.Request{
		ID:       "r",
		Kind:     deposit,
		Method:   "POST",
		Path:     "/",
		Key:      key,
		Body:     []byte(body),
		Deadline: time.Now().Add(2 * time.Second),
	}
}

// do sends a copy to a host and returns the answer's body.
func (x *cluster) do(host string, r *work.Request) (string, error) {
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	defer cancel()
	a, err := x.host(host).Do(ctx, r, x.run)
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

// TestTicketCopies sends copies to both hosts at once and later: the work runs
// once and all get its answer, but for a copy with another body.
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

// TestTicketHomeGone replaces the home before and after its work has run.
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

// TestTicketCutOff gives up a ticket for a home that is cut off: the home does
// not run it when its copy comes.
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

// TestTicketMemoryOnly goes on without the platform; with the home gone the
// outcome is unknown.
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

// TestTicketHandOver stops a home as planned while the platform is down: its
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

// TestClaimLostAnswer loses the answers of all commits: claims are settled by
// reading them back.
func TestClaimLostAnswer(t *testing.T) {
	c := qt.New(t)
	x := newCluster(c, "h1")
	x.platform.loses.Store(true)
	k := x.issue("h1")
	s, err := x.do("h1", request(k, "a"))
	c.Assert(err, qt.IsNil)
	c.Assert(s, qt.Equals, "done a")
	c.Assert(x.ran.Load(), qt.Equals, int64(1))
}

// TestClaimGroup lets many requests come while one transaction is written: the
// others share few.
func TestClaimGroup(t *testing.T) {
	c := qt.New(t)
	x := newCluster(c, "h1")
	x.platform.before = func() {
		<-time.After(20 * time.Millisecond)
	}
	x.platform.commits.Store(0)
	group := sync.WaitGroup{}
	const requests = 100
	for range requests {
		k := x.issue("h1")
		group.Go(func() {
			_, err := x.do("h1", request(k, "a"))
			c.Check(err, qt.IsNil)
		})
	}
	group.Wait()
	c.Assert(x.ran.Load(), qt.Equals, int64(requests))
	c.Assert(x.platform.commits.Load() <= 20, qt.IsTrue, qt.Commentf("%d commits", x.platform.commits.Load()))
}

// TestClaimConflictInGroup buries one of several tickets that are claimed
// together: the others are claimed all the same.
func TestClaimConflictInGroup(t *testing.T) {
	c := qt.New(t)
	x := newCluster(c, "h1", "h2")
	buried := x.issue("h2")
	x.cut.Store(true)
	_, err := x.do("h2", request(buried, "a"))
	c.Assert(code.Of(err), qt.Equals, code.NotRunTombstone)
	x.platform.before = func() {
		<-time.After(10 * time.Millisecond)
	}
	group := sync.WaitGroup{}
	for i := range 20 {
		k := x.issue("h1")
		if i == 10 {
			k = buried
		}
		group.Go(func() {
			_, err := x.do("h1", request(k, "a"))
			if i == 10 {
				c.Check(code.Of(err), qt.Equals, code.NotRunTombstone)
				return
			}
			c.Check(err, qt.IsNil)
		})
	}
	group.Wait()
	c.Assert(x.ran.Load(), qt.Equals, int64(19))
}

// TestClaimOwnKey sends a caller's own key to two hosts.
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

	// Without the platform nothing is known of other hosts.
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

// TestTicketAbandoned leaves before the request is sent: it never is, and a
// copy that comes later is told so.
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

// TestTicketLeftRunning leaves after the request was sent: it goes on, and a
// copy that comes later gets the answer.
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
// copy; a later one is told that it is gone.
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

// BenchmarkTicketRun runs work with its claim and keeps the answer. The bytes
// are those that remain of one ticket.
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
