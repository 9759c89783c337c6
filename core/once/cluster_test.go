package once_test

import (
	"context"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
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

// platformFake is a table whose calls can fail.
type platformFake struct {
	table *platform.Table
	down  atomic.Bool
	// losesAnswers makes the answers of commits get lost after the commits took
	// effect.
	losesAnswers atomic.Bool
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
			case p.losesAnswers.Load():
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

// cluster is a set of hosts that share a platform.
type cluster struct {
	c        *qt.C
	platform *platformFake
	// mu protects hosts.
	mu       sync.Mutex
	hosts    map[string]*once.Once
	stores   map[string]*store.Store
	snapshot *snapshot.Snapshot
	// ran counts the dispatches of all hosts.
	ran atomic.Int64
	// cut makes hosts unreachable for each other.
	cut atomic.Bool
	// run dispatches a request; all hosts use it.
	run func(ctx context.Context, r *work.Request) (*work.Answer, error)
	// stops holds the functions that stop the hosts, by name.
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

// start starts a host, or a new incarnation of it, and waits until it has the
// signing secrets.
func (x *cluster) start(name string) {
	s := x.platform.store()
	o := once.New(once.Options{
		Host:       name,
		CommitRate: 250,
		Store:      &s,
		Snapshot: func() *snapshot.Snapshot {
			return x.snapshot
		},
		Forward: func(ctx context.Context, h store.Host, r *work.Request) (*work.Answer, error) {
			if x.cut.Load() {
				return nil, code.New(code.PeerUnreachable, "test: cut off")
			}
			q := *r
			q.Hop = true
			return x.host(h.Name).Do(ctx, &q, x.run)
		},
		FetchHome: func(_ context.Context, h store.Host) (once.Home, error) {
			o := x.host(h.Name)
			if o == nil {
				return once.Home{}, code.New(code.PeerUnreachable, "test: no host %q", h.Name)
			}
			return o.Home(), nil
		},
		FetchKeyring: func(_ context.Context, h store.Host) (ticket.Keyring, error) {
			return x.host(h.Name).Keyring(), nil
		},
		Announce: func(_ context.Context, h store.Host, a once.Home) error {
			x.mu.Lock()
			defer x.mu.Unlock()
			if o := x.hosts[h.Name]; o != nil {
				o.SetHome(name, a)
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
		Record:  func(timeline.Event) {},
		Log:     log.NewNopLogger(),
		Metrics: tally.NoopScope,
		Now:     time.Now,
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

// answer counts the dispatch and answers it.
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

// issue returns the token of a ticket whose home is h1, issued by the host at.
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

// do sends a copy of r to a host and returns the answer's body.
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
