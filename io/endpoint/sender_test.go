package endpoint_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"heatherford/core/balance"
	"heatherford/core/edge"
	"heatherford/io/endpoint"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var headers = endpoint.Headers{
	RequestID:  "Id",
	DeadlineMS: "Left",
	Expected:   "For",
	ByHost:     "By-Host",
	Mark:       "Mark",
	NotRun:     "Not-Run",
	Load:       "Load",
	ColdMS:     "Cold",
	Limit: []string{
		"Own-Limit",
		"Limit",
	},
	Leaving: []string{
		"Own-Leaving",
		"Leaving",
	},
}

// script is what an endpoint does with the requests of a connection, one function
// for each.
type script []func(c net.Conn, r *http.Request)

// say answers with text, in which ID stands for the request's identifier.
func say(text string) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		io.WriteString(c, strings.ReplaceAll(strings.ReplaceAll(text, "ID", r.Header.Get("Id")), "\n", "\r\n"))
	}
}

const whole = "HTTP/1.1 200 OK\nId: ID\nMark: m\nLoad: 2,1,3\nContent-Length: 5\n\nwhole"

func reset(c net.Conn, _ *http.Request) {
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// host is an endpoint that follows a script for each connection.
type host struct {
	listener net.Listener
	mu       sync.Mutex
	// scripts are those of the next connections. The last one stays.
	scripts []script
	seen    []*http.Request
	opened  int
	// open is the number of connections that have not ended, and ended is signalled
	// at the end of each.
	open  int
	ended *sync.Cond
	// conns are all connections.
	conns []net.Conn
}

func listen(c *qt.C, scripts ...script) *host {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	h := &host{
		listener: l,
		scripts:  scripts,
	}
	h.ended = sync.NewCond(&h.mu)
	done := sync.WaitGroup{}
	done.Go(func() {
		for {
			x, err := l.Accept()
			if err != nil {
				return
			}
			s := h.begin(x)
			done.Go(func() {
				defer h.end()
				h.play(x, s)
			})
		}
	})
	c.Cleanup(func() {
		l.Close()
		done.Wait()
	})
	return h
}

// closeAll closes all connections, as at the end of the endpoint's process.
func (h *host) closeAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		c.Close()
	}
}

// begin counts a new connection and returns its script.
func (h *host) begin(c net.Conn) script {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conns = append(h.conns, c)
	h.opened++
	h.open++
	s := h.scripts[0]
	if len(h.scripts) > 1 {
		h.scripts = h.scripts[1:]
	}
	return s
}

func (h *host) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open--
	h.ended.Broadcast()
}

// awaitIdle waits until all connections have ended, whether or not a request came on
// them.
func (h *host) awaitIdle() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for h.open > 0 {
		h.ended.Wait()
	}
}

// follow sets the scripts of the connections to come.
func (h *host) follow(scripts ...script) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.scripts = scripts
}

func (h *host) play(c net.Conn, s script) {
	defer c.Close()
	r := bufio.NewReader(c)
	for _, f := range s {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		h.mu.Lock()
		h.seen = append(h.seen, q)
		h.mu.Unlock()
		f(c, q)
	}
	// The other side closes.
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	_, _ = io.Copy(io.Discard, r)
}

func (h *host) requests() []*http.Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*http.Request{}, h.seen...)
}

type bench struct {
	c      *qt.C
	sender *endpoint.Sender
	host   *host
	n      atomic.Int64
}

func newBench(t *testing.T, scripts ...script) *bench {
	c := qt.New(t)
	b := &bench{
		c:      c,
		sender: endpoint.New(headers),
		host:   listen(c, scripts...),
	}
	c.Cleanup(func() {
		b.sender.Close()
	})
	return b
}

func (b *bench) send(once bool) (*edge.Reply, error) {
	return b.sendWithin(time.Second, once)
}

// defaultTarget is the target of requests where a test names none.
const defaultTarget = "/look//7%2F8?x=1&&y"

// sendWithin sends a request whose client waits for a time.
func (b *bench) sendWithin(d time.Duration, once bool) (*edge.Reply, error) {
	return b.sendMethod(defaultTarget, d, http.MethodPost, once)
}

// sendTo sends a request with a target, whose client waits for a time.
func (b *bench) sendTo(target string, d time.Duration, once bool) (*edge.Reply, error) {
	return b.sendMethod(target, d, http.MethodPost, once)
}

// sendMethod is sendTo with a method; only a POST has a body.
func (b *bench) sendMethod(target string, d time.Duration, method string, once bool) (*edge.Reply, error) {
	body := []byte(nil)
	if method == http.MethodPost {
		body = []byte("a body")
	}
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	id := b.n.Add(1)
	return b.sender.Send(ctx, &edge.EndpointRequest{
		Once:     once,
		Deadline: time.Now().Add(d),
		Target: balance.Target{
			ID:      "e1",
			Address: b.host.listener.Addr().String(),
		},
		Request: &edge.Request{
			ID:     fmt.Sprint("q", id),
			Method: method,
			Host:   "desk.example",
			Target: target,
			Header: http.Header{
				"Own": {"a", "b"},
			},
			Body: body,
		},
	})
}

// TestForwarded sends method, path, query, host and headers unchanged, with the time
// that is left and the endpoint's name.
func TestForwarded(t *testing.T) {
	b := newBench(t, script{say(whole)})
	a, err := b.send(true)
	b.c.Assert(err, qt.IsNil)
	b.c.Check(string(a.Body), qt.Equals, "whole")
	b.c.Check(a.Ran && a.Genuine, qt.IsTrue)
	b.c.Check(a.Load, qt.Equals, 3)
	q := b.host.requests()[0]
	b.c.Check(q.RequestURI, qt.Equals, "/look//7%2F8?x=1&&y")
	b.c.Check(q.Host, qt.Equals, "desk.example")
	b.c.Check(q.Header["Own"], qt.DeepEquals, []string{"a", "b"})
	b.c.Check(q.Header.Get("For"), qt.Equals, "e1")
	b.c.Check(q.Header.Get("By-Host"), qt.Equals, "1")
	b.c.Check(q.Header.Get("Left"), qt.Matches, `\d{3}|1000`)
	b.c.Check(q.Header.Get("User-Agent"), qt.Equals, "")
}

// TestTargets guards against requests that count against their endpoint for the form of
// their target: one that no endpoint could get is not sent, and says so.
func TestTargets(t *testing.T) {
	b := newBench(t, script{say(whole), say(whole)})
	_, err := b.sendTo("http://desk.example/look//7%2F8?x=1&&y", time.Second, true)
	b.c.Assert(err, qt.IsNil)
	b.c.Check(b.host.requests()[0].RequestURI, qt.Equals, "/look//7%2F8?x=1&&y")
	_, err = b.sendTo("http://desk.example", time.Second, true)
	b.c.Assert(err, qt.IsNil)
	b.c.Check(b.host.requests()[1].RequestURI, qt.Equals, "/")
	for _, s := range []string{"*", ":80", "desk.example:80/%zz", "/%zz"} {
		_, err := b.sendTo(s, time.Second, true)
		f := (*edge.Failure)(nil)
		b.c.Assert(errors.As(err, &f), qt.IsTrue, qt.Commentf("%s: %v", s, err))
		b.c.Check(f.Sent, qt.IsFalse)
		b.c.Check(f.Reason, qt.Equals, edge.ReasonInvalid, qt.Commentf("%s", s))
	}
}

// TestAnswers tells how each way of answering is understood.
func TestAnswers(t *testing.T) {
	for _, k := range []struct {
		name string
		do   func(net.Conn, *http.Request)
		// ran and failed are what is understood; sent is true if the endpoint
		// may have the request.
		ran    bool
		failed string
	}{
		{"whole", say(whole), true, ""},
		{"refused", say("HTTP/1.1 503 Service Unavailable\nId: ID\nNot-Run: 1\nContent-Length: 0\n\n"), false, ""},
		{"elsewhere", say("HTTP/1.1 421 Misdirected Request\nContent-Length: 0\nId: ID\n\n"), false, ""},
		{"other request", say("HTTP/1.1 200 OK\nId: other\nMark: m\nContent-Length: 2\n\nno"), false, "foreign"},
		{"short", func(c net.Conn, r *http.Request) {
			say("HTTP/1.1 200 OK\nId: ID\nMark: m\nContent-Length: 9\n\nshort")(c, r)
			reset(c, r)
		}, false, "incomplete"},
		{"no answer", reset, false, "reset"},
		{"two heads", say("HTTP/1.1 503 Service HTTP/1.1 200 OK\nId: ID\nMark: m\nContent-Length: 0\n\n"), false, "unreadable"},
		{"folded line", say("HTTP/1.1 200 OK\nId: ID\nMark: m\n Content-Length: 0\n\n"), false, "unreadable"},
		{"no protocol", say("what is that\n\n"), false, "reset"},
		{"bytes behind", say(whole + "and more"), false, "incomplete"},
	} {
		t.Run(k.name, func(t *testing.T) {
			b := newBench(t, script{k.do})
			a, err := b.send(true)
			if k.failed == "" {
				b.c.Assert(err, qt.IsNil)
				b.c.Check(a.Ran, qt.Equals, k.ran)
				return
			}
			f := (*edge.Failure)(nil)
			b.c.Assert(errors.As(err, &f), qt.IsTrue)
			b.c.Check(f.Sent, qt.IsTrue)
			b.c.Check(f.Reason, qt.Equals, k.failed)
		})
	}
}

// TestEndsWithConnection takes an answer without a length that ends with its
// connection, and none that is reset on the way.
func TestEndsWithConnection(t *testing.T) {
	const open = "HTTP/1.1 200 OK\nId: ID\nMark: m\n\nall of it"
	b := newBench(t,
		script{func(c net.Conn, r *http.Request) {
			say(open)(c, r)
			c.Close()
		}},
		script{func(c net.Conn, r *http.Request) {
			say(open)(c, r)
			<-time.After(20 * time.Millisecond)
			reset(c, r)
		}})
	a, err := b.send(true)
	b.c.Assert(err, qt.IsNil)
	b.c.Check(string(a.Body), qt.Equals, "all of it")
	_, err = b.send(true)
	b.c.Check(err, qt.IsNotNil)
}

// TestLateExtraAnswer drops a second answer to an earlier request that comes where the
// next one is due.
func TestLateExtraAnswer(t *testing.T) {
	extra := ""
	b := newBench(t, script{
		func(c net.Conn, r *http.Request) {
			extra = r.Header.Get("Id")
			say(whole)(c, r)
		},
		func(c net.Conn, r *http.Request) {
			say(strings.ReplaceAll(whole, "ID", extra))(c, r)
			say(strings.ReplaceAll(whole, "whole", "right"))(c, r)
		},
	})
	_, err := b.send(false)
	b.c.Assert(err, qt.IsNil)
	a, err := b.send(true)
	b.c.Assert(err, qt.IsNil)
	b.c.Check(string(a.Body), qt.Equals, "right")
	b.c.Check(b.host.opened, qt.Equals, 1)
}

// TestKeepAlive does not use a connection that the endpoint is about to close.
func TestKeepAlive(t *testing.T) {
	for _, h := range []string{"Connection: close", "Keep-Alive: timeout=0"} {
		b := newBench(t, script{say(strings.Replace(whole, "Mark: m", "Mark: m\n"+h, 1))})
		for range 2 {
			_, err := b.send(false)
			b.c.Assert(err, qt.IsNil)
		}
		b.c.Check(b.host.opened, qt.Equals, 2, qt.Commentf("%s", h))
	}
}

// TestForgottenConnection does not send what may not be repeated on a connection that
// was unused for a while.
func TestForgottenConnection(t *testing.T) {
	b := newBench(t, script{say(whole), reset}, script{say(whole)})
	_, err := b.send(true)
	b.c.Assert(err, qt.IsNil)
	<-time.After(250 * time.Millisecond)
	_, err = b.send(true)
	b.c.Assert(err, qt.IsNil)
	b.c.Check(b.host.opened, qt.Equals, 2)
}

// TestUnreachable says that an endpoint cannot have a request if no connection opens.
func TestUnreachable(t *testing.T) {
	b := newBench(t, script{})
	b.host.listener.Close()
	_, err := b.send(true)
	f := (*edge.Failure)(nil)
	b.c.Assert(errors.As(err, &f), qt.IsTrue)
	b.c.Check(f.Sent, qt.IsFalse)
}

// TestCancelled closes the connection at once when the request is cancelled.
func TestCancelled(t *testing.T) {
	closed := make(chan time.Time, 1)
	b := newBench(t, script{func(c net.Conn, _ *http.Request) {
		_, _ = io.Copy(io.Discard, c)
		closed <- time.Now()
	}})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := b.sender.Send(ctx, &edge.EndpointRequest{
		Deadline: time.Now().Add(time.Minute),
		Target: balance.Target{
			ID:      "e1",
			Address: b.host.listener.Addr().String(),
		},
		Request: &edge.Request{
			ID:     "q",
			Method: http.MethodGet,
			Target: "/",
		},
	})
	b.c.Check(err, qt.IsNotNil)
	select {
	case <-closed:
	case <-time.After(500 * time.Millisecond):
		b.c.Fatal("the connection is still open")
	}
}

// TestProbe tells an endpoint that has crashed, at whose address nobody listens, from one
// that lives and one that cannot be reached.
func TestProbe(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	target := balance.Target{
		ID:      "e1",
		Address: l.Addr().String(),
	}
	s := &endpoint.Sender{}
	c.Check(s.Probe(t.Context(), target), qt.Equals, edge.ProbeAccepted)
	go func() {
		for {
			x, err := l.Accept()
			if err != nil {
				return
			}
			_ = x.Close()
		}
	}()
	c.Check(s.Probe(t.Context(), target), qt.Equals, edge.ProbeReset)
	c.Assert(l.Close(), qt.IsNil)
	c.Check(s.Probe(t.Context(), target), qt.Equals, edge.ProbeRefused)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	c.Check(s.Probe(ended, target), qt.Equals, edge.ProbeSilent)
}

// TestUnreadableStatus guards against what is no answer and is taken for one, or waited behind: the
// request may have run, and the host knows at once.
func TestUnreadableStatus(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\nId: ID\nMark: m\nContent-Length: 6\n\nforged"
	for _, status := range []string{"000 Odd", "020 Odd", "+20 Odd", "700 Odd", "103 Early Hints"} {
		for _, once := range []bool{false, true} {
			t.Run(fmt.Sprint(status, once), func(t *testing.T) {
				b := newBench(t, script{say("HTTP/1.1 " + status + "\nId: ID\nMark: m\nContent-Length: 60\n\n" + inner)})
				began := time.Now()
				a, err := b.send(once)
				b.c.Check(a, qt.IsNil)
				f := (*edge.Failure)(nil)
				b.c.Assert(errors.As(err, &f), qt.IsTrue)
				b.c.Check(f.Sent, qt.IsTrue)
				b.c.Check(f.Reason, qt.Equals, "unreadable")
				b.c.Check(time.Since(began) < 500*time.Millisecond, qt.IsTrue)
			})
		}
	}
}

// TestLost checks that an endpoint which has closed a kept connection is told from one that has not,
// without a further connection.
func TestLost(t *testing.T) {
	b := newBench(t, script{say(whole), say(whole)})
	target := balance.Target{
		ID:      "e1",
		Address: b.host.listener.Addr().String(),
	}
	b.c.Check(b.sender.Lost(target), qt.IsFalse)
	_, err := b.send(false)
	b.c.Assert(err, qt.IsNil)
	b.c.Check(b.sender.Lost(target), qt.IsFalse)
	b.host.closeAll()
	for began := time.Now(); !b.sender.Lost(target); <-time.After(time.Millisecond) {
		b.c.Assert(time.Since(began) < time.Second, qt.IsTrue)
	}
	b.c.Check(b.host.opened, qt.Equals, 1)
}

// TestSource guards against requests that leave a host with several addresses by another one
// than its own.
func TestSource(t *testing.T) {
	from := make(chan string, 1)
	b := newBench(t, script{func(c net.Conn, r *http.Request) {
		from <- c.RemoteAddr().(*net.TCPAddr).IP.String()
		say(whole)(c, r)
	}})
	b.sender.Source = netip.MustParseAddr("127.0.1.9")
	_, err := b.send(true)
	b.c.Assert(err, qt.IsNil)
	b.c.Check(<-from, qt.Equals, "127.0.1.9")
}
