package wire_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/io/internal/wire"
)

// pausingPeer takes a request slowly, answers with half of a body, and sends the other
// half later. It runs in virtual time.
type pausingPeer struct {
	// readPause is the pause within the reading of a request, and answerPause that within
	// the answer. A negative answerPause has no end.
	readPause   time.Duration
	answerPause time.Duration
	// length is the length of the answer's body in bytes.
	length int
	// group is the goroutines that serve requests.
	group sync.WaitGroup
}

// dial opens a connection to the peer. A goroutine serves one request on it.
func (p *pausingPeer) dial(context.Context, string, string) (net.Conn, error) {
	a, b := net.Pipe()
	p.group.Go(func() {
		p.serve(b)
	})
	return a, nil
}

func (p *pausingPeer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	q, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	<-time.After(p.readPause)
	if q.Header.Get("Expect") != "" {
		io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	half := strings.Repeat("x", p.length/2)
	io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": "+q.Header.Get(idHeader)+
		"\r\nContent-Length: "+strconv.Itoa(p.length)+"\r\n\r\n"+half)
	if p.answerPause < 0 {
		_, _ = io.Copy(io.Discard, r)
		return
	}
	<-time.After(p.answerPause)
	io.WriteString(c, half)
}

// exchange makes a call with so much time and returns the body and how long it took.
func (p *pausingPeer) exchange(o wire.Options, q *wire.Call, timeout time.Duration) (body string, took time.Duration, err error) {
	o.Address = netip.MustParseAddrPort("127.0.0.1:1")
	o.Dial = p.dial
	o.Connections = 1
	o.DialsPerSecond = 1e6
	o.IDHeader = idHeader
	o.MaxAnswer = 1 << 20
	pool := wire.New(o)
	// In virtual time, what still waits at the end of the test would never end.
	defer p.group.Wait()
	defer pool.Close()
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	a, err := pool.Do(ctx, q)
	if err != nil {
		return "", time.Since(start), err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return string(b), time.Since(start), err
}

// pauseCalls are the calls for which a pause of the peer is no reason to give up: those
// to a patient pool, those that must be sent once, and answers of which a part was passed
// on.
func pauseCalls() map[string]struct {
	options wire.Options
	once    bool
} {
	const whole = 1 << 16
	return map[string]struct {
		options wire.Options
		once    bool
	}{
		"patient": {
			options: wire.Options{
				Proofless: true,
				Patient:   true,
				Whole:     whole,
			},
		},
		"patient once": {
			options: wire.Options{
				Proofless: true,
				Patient:   true,
				Whole:     whole,
			},
			once: true,
		},
		"once": {
			options: wire.Options{
				Whole: whole,
			},
			once: true,
		},
		"streamed": {},
	}
}

// TestVirtualPauseWithinAnswer guards against an answer that is lost since its peer pauses within
// it: the call waits until its own deadline.
func TestVirtualPauseWithinAnswer(t *testing.T) {
	for name, x := range pauseCalls() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p := &pausingPeer{
					answerPause: 10 * time.Second,
					length:      10,
				}
				b, took, err := p.exchange(x.options, newCall(x.once, true), time.Minute)
				c.Assert(err, qt.IsNil)
				c.Check(len(b), qt.Equals, p.length)
				c.Check(took, qt.Equals, p.answerPause)
			})
		})
	}
}

// TestVirtualSilenceWithinAnswer checks that a call ends at its deadline if its peer never goes on.
func TestVirtualSilenceWithinAnswer(t *testing.T) {
	for name, x := range pauseCalls() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				const timeout = 20 * time.Second
				p := &pausingPeer{
					answerPause: -1,
					length:      10,
				}
				_, took, err := p.exchange(x.options, newCall(x.once, true), timeout)
				f := (*wire.Failure)(nil)
				c.Assert(errors.As(err, &f), qt.IsTrue)
				c.Check(f.Step, qt.Equals, wire.StepBody)
				c.Check(f.Sent, qt.IsTrue)
				c.Check(took, qt.Equals, timeout)
			})
		})
	}
}

// TestVirtualPauseWithinRequest guards against a request that is broken off since its peer pauses
// while it reads a long body.
func TestVirtualPauseWithinRequest(t *testing.T) {
	for name, x := range pauseCalls() {
		if name == "streamed" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p := &pausingPeer{
					readPause: 10 * time.Second,
					length:    10,
				}
				q := newCall(x.once, true)
				q.Body = make([]byte, 1<<20)
				b, took, err := p.exchange(x.options, q, time.Minute)
				c.Assert(err, qt.IsNil)
				c.Check(len(b), qt.Equals, p.length)
				c.Check(took, qt.Equals, p.readPause)
			})
		})
	}
}

// TestVirtualRepeatableGivesUp checks that a call that may be sent again does not wait for an
// answer of which nothing was passed on.
func TestVirtualRepeatableGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := &pausingPeer{
			answerPause: 10 * time.Second,
			length:      10,
		}
		_, took, err := p.exchange(wire.Options{
			Whole: 1 << 16,
		}, newCall(false, false), time.Minute)
		f := (*wire.Failure)(nil)
		c.Assert(errors.As(err, &f), qt.IsTrue)
		c.Check(f.Silent, qt.IsTrue)
		c.Check(took < time.Second, qt.IsTrue)
	})
}
