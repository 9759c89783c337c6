package host

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"heatherford/core/edge"
	"heatherford/core/fleet"
	"heatherford/io/internal/keepalive"
	"heatherford/io/internal/wire"
)

const (
	// carryPath is where a host takes requests that another one passes on.
	carryPath = "/carry"
	// headerCarry holds what is said of a request or answer, in JSON; the body
	// is that of the request or answer.
	headerCarry = "Heatherford-Carry"
	// headerCarryID names the request on its connection.
	headerCarryID = "Heatherford-Carry-Id"
	// carryConnections is the most connections to one other host.
	carryConnections = 128
	// carryDials bounds new connections to one other host, a second.
	carryDials = 200
	// carryIdle is how long an unused connection is kept: shorter than the
	// other host keeps it.
	carryIdle = 10 * time.Second
	// maxCarried is the longest body that is passed on.
	maxCarried = 64 << 20
)

// Carry passes a request on to another host. The error is an *edge.Failure.
func (l *Link) Carry(ctx context.Context, to fleet.Member, c *edge.ForwardRequest) (*edge.ForwardResult, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return nil, &edge.Failure{
			Reason: "unreachable",
			Cause:  err,
		}
	}
	a, err := l.pool(to.PeerAddr).Do(ctx, &wire.Call{
		ID:     c.ID,
		Method: http.MethodPost,
		Path:   carryPath,
		Header: http.Header{
			headerCarry: {string(b)},
		},
		Body: c.Body,
		Once: c.Once,
	})
	if err != nil {
		return nil, carryFailure(err)
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return nil, carryFailure(err)
	}
	x := &edge.ForwardResult{}
	err = json.Unmarshal([]byte(a.Header.Get(headerCarry)), x)
	if err == nil {
		err = checkResult(x)
	}
	if err != nil {
		return nil, &edge.Failure{
			Sent:   true,
			Reason: "unreadable",
			Cause:  err,
		}
	}
	if x.Reply != nil {
		x.Reply.Body = body
	}
	return x, nil
}

// checkResult returns an error unless exactly one of a reply, a refusal and a failure is
// set, and the reply's status is one of a final answer.
func checkResult(x *edge.ForwardResult) error {
	const statuses = 1000
	n := 0
	for _, set := range []bool{x.Reply != nil, x.Refusal != nil, x.Failure != nil} {
		if set {
			n++
		}
	}
	switch {
	case n != 1:
		return fmt.Errorf("host: a result has %d of a reply, a refusal and a failure", n)
	case x.Reply != nil && (x.Reply.Status < http.StatusOK || x.Reply.Status >= statuses):
		return fmt.Errorf("host: a reply has the status %d", x.Reply.Status)
	default:
		return nil
	}
}

func carryFailure(err error) error {
	x := &edge.Failure{
		Sent:   true,
		Reason: "reset",
		Cause:  err,
	}
	f := (*wire.Failure)(nil)
	if !errors.As(err, &f) || !f.Sent {
		x.Sent = false
		x.Reason = "unreachable"
	}
	return x
}

func (l *Link) pool(a netip.AddrPort) *wire.Pool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pools[a]
	if p == nil {
		p = wire.New(wire.Options{
			Address:        a,
			Dial:           dial,
			Connections:    carryConnections,
			DialsPerSecond: carryDials,
			DialBurst:      carryConnections,
			IDHeader:       headerCarryID,
			Whole:          maxCarried,
			MaxAnswer:      maxCarried,
			Proofless:      true,
			OnceIdle:       carryIdle,
			Patient:        true,
			Idle:           carryIdle,
		})
		l.pools[a] = p
	}
	return p
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
	}
	return d.DialContext(ctx, network, address)
}

// serveCarry takes a request that another host passes on.
func (l *Link) serveCarry(w http.ResponseWriter, r *http.Request) {
	c := &edge.ForwardRequest{}
	if err := json.Unmarshal([]byte(r.Header.Get(headerCarry)), c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCarried))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.Body = b
	keepalive.Begin(r.Context(), c.Request)
	x := l.options.Take(r.Context(), c)
	if r.Context().Err() != nil {
		// The other host has gone; there is nobody to answer.
		keepalive.Abandoned(r.Context())
		panic(http.ErrAbortHandler)
	}
	s, err := json.Marshal(x)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set(headerCarryID, c.ID)
	h.Set(headerCarry, string(s))
	if l.server.Stopping() {
		h.Set("Connection", "close")
	}
	h["Content-Type"] = nil
	h["Date"] = nil
	if x.Reply != nil {
		w.Write(x.Reply.Body)
	}
}
