package endpoint

import (
	"context"
	"errors"
	"math"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"heatherford/core/balance"
	"heatherford/core/edge"
	"heatherford/io/internal/wire"
)

const (
	// dialTimeout bounds the opening of a connection. It is several times the
	// way to another region and back.
	dialTimeout = 300 * time.Millisecond
	// resetWait is how long a probe waits for the end of a connection that was opened.
	resetWait = 20 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount find out a connection whose
	// other end is gone within 8 s, in the absence of any other bound. No
	// TCP_USER_TIMEOUT is set, which would take the place of the count.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// idle is how long an unused connection is kept unless the endpoint states
	// a shorter time.
	idle = 8 * time.Second
	// onceIdle is the same for requests that may not be repeated: an endpoint
	// may forget a connection without notice that was unused for as little as a
	// fifth of a second, and what is sent on it then is lost.
	onceIdle = 180 * time.Millisecond
	// maxAnswerBytes is the longest answer that is taken.
	maxAnswerBytes = 32 << 20
	// dialsPerSecond and dialBurst bound a host's new connections to one
	// endpoint.
	dialsPerSecond = 100
	dialBurst      = 32
	// maxConnections is the most connections to one endpoint.
	maxConnections = 96
	// sharers is the number of hosts whose connections an endpoint has to bear
	// together.
	sharers = 24
	// skipForeign is the most late answers to other requests that are dropped.
	skipForeign = 2
	// maxLoad is the most running or waiting requests that an endpoint can report.
	maxLoad = 1 << 20
	// maxBackoff is the longest time for which an endpoint may ask for no requests. One that
	// it states by mistake would otherwise hold until its next start.
	maxBackoff = 10 * time.Minute
	// forgetAge is how long connections to an endpoint without requests are
	// kept in mind.
	forgetAge = time.Minute
)

// errContradiction says that an answer reports a success and that the request was not run.
var errContradiction = errors.New("endpoint: a success of a request that was not run")

// Headers are the names of the headers between a host and an endpoint.
type Headers struct {
	// RequestID carries the request's identifier, which the endpoint echoes.
	RequestID string
	// DeadlineMS carries the time left in milliseconds.
	DeadlineMS string
	// Expected names the endpoint that the request is for. Any other endpoint
	// answers 421 and does not run it.
	Expected string
	// ByHost marks a request that a host sends, which no host takes for a client's. Empty
	// stands for none.
	ByHost string
	// Mark is the endpoint's mark on an answer of its own.
	Mark string
	// NotRun states that the endpoint did not run the request.
	NotRun string
	// Load carries the running requests, the waiting ones and the slots.
	Load string
	// ColdMS carries how long the endpoint stays cold, in milliseconds.
	ColdMS string
	// Limit are the names under which an endpoint may state the requests a second,
	// as a decimal number, that it takes from all hosts together. The first one that
	// an answer has counts.
	Limit []string
	// Leaving are the names under which an endpoint may state, as "1", that it leaves.
	// The first one that an answer has counts.
	Leaving []string
}

// Sender sends requests to endpoints. It is safe for concurrent use.
type Sender struct {
	// Source is the host's address, from which connections are opened; the zero Addr stands
	// for any. It is set before the first request.
	Source netip.Addr

	headers Headers
	room    room

	mu    sync.Mutex
	pools map[poolKey]*pooled
	swept time.Time
}

type poolKey struct {
	id      string
	address string
}

type pooled struct {
	pool *wire.Pool
	used time.Time
}

// New returns a sender without connections.
func New(h Headers) *Sender {
	return &Sender{
		headers: h,
		pools:   map[poolKey]*pooled{},
	}
}

// Close closes all idle connections.
func (s *Sender) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.pool.Close()
	}
}

// Send sends a request and returns the whole answer. The error is an
// *edge.Failure, whose Sent is false only if the endpoint cannot have the
// request.
func (s *Sender) Send(ctx context.Context, x *edge.EndpointRequest) (*edge.Reply, error) {
	p, err := s.pool(x)
	if err != nil {
		return nil, &edge.Failure{
			Reason: "unreachable",
			Cause:  err,
		}
	}
	q := x.Request
	a, err := p.Do(ctx, &wire.Call{
		ID:     q.ID,
		Method: q.Method,
		Host:   q.Host,
		Path:   originForm(q.Target),
		Header: s.header(x),
		Body:   q.Body,
		Fresh:  x.NewConn,
		Once:   x.Once,
	})
	if err != nil {
		return nil, failureOf(err)
	}
	defer a.Body.Close()
	b, err := s.room.read(a)
	if err != nil {
		return nil, failureOf(err)
	}
	if a.Header.Get(s.headers.NotRun) != "" && a.Status < http.StatusBadRequest {
		return nil, &edge.Failure{
			Sent:   true,
			Reason: "unreadable",
			Cause:  errContradiction,
		}
	}
	return s.reply(a, b), nil
}

// originForm returns a request's target as endpoints take it: its path and query. A client
// may send the whole URL, as to a proxy. A target that is no URL stays as it is.
func originForm(target string) string {
	if strings.HasPrefix(target, "/") {
		return target
	}
	u, err := url.Parse(target)
	if err != nil || u.Host == "" {
		return target
	}
	return u.RequestURI()
}

// Probe opens a connection to an endpoint and closes it.
func (s *Sender) Probe(ctx context.Context, t balance.Target) edge.ProbeResult {
	c, err := s.dial(ctx, "tcp", t.Address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return edge.ProbeRefused
	case err != nil:
		return edge.ProbeSilent
	}
	defer c.Close()
	// What accepts connections on behalf of an endpoint resets those that lead nowhere.
	if err := c.SetReadDeadline(time.Now().Add(resetWait)); err != nil {
		return edge.ProbeReset
	}
	if _, err := c.Read(make([]byte, 1)); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return edge.ProbeReset
	}
	return edge.ProbeAccepted
}

// Lost reports whether an endpoint has closed a connection that was kept for further requests.
func (s *Sender) Lost(t balance.Target) bool {
	s.mu.Lock()
	p := s.pools[poolKey{
		id:      t.ID,
		address: t.Address,
	}]
	s.mu.Unlock()
	return p != nil && p.pool.Lost()
}

// header returns the headers that go to the endpoint.
func (s *Sender) header(x *edge.EndpointRequest) http.Header {
	h := x.Request.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	left := max(1, time.Until(x.Deadline).Milliseconds())
	h.Set(s.headers.DeadlineMS, strconv.FormatInt(left, 10))
	h.Set(s.headers.Expected, x.Target.ID)
	if s.headers.ByHost != "" {
		h.Set(s.headers.ByHost, "1")
	}
	return h
}

func (s *Sender) reply(a *wire.Reply, body []byte) *edge.Reply {
	r := &edge.Reply{
		Status:    a.Status,
		Header:    a.Header,
		Body:      body,
		Ran:       a.Header.Get(s.headers.NotRun) == "" && a.Status != http.StatusMisdirectedRequest,
		Misplaced: a.Status == http.StatusMisdirectedRequest,
		Genuine:   a.Header.Get(s.headers.Mark) != "",
		Load:      loadOf(a.Header.Get(s.headers.Load)),
		ColdLeft:  coldOf(a.Header.Get(s.headers.ColdMS)),
	}
	r.Limit = s.limitOf(a.Header, r)
	r.Leaving = s.leavingOf(a.Header, r)
	if r.Status == http.StatusServiceUnavailable {
		r.Backoff = backoffOf(a.Header.Values("Retry-After"))
	}
	return r
}

// leavingOf reports whether an answer says that the endpoint leaves. A success without the
// endpoint's mark is nobody's word.
func (s *Sender) leavingOf(h http.Header, r *edge.Reply) bool {
	if r.Ran && !r.Genuine && r.Status < http.StatusMultipleChoices {
		return false
	}
	for _, n := range s.headers.Leaving {
		if v := h.Values(n); len(v) > 0 {
			return len(v) == 1 && v[0] == "1"
		}
	}
	return false
}

// limitOf returns what an answer says of the endpoint's limit, or nil if it says
// nothing. Only a whole answer of the endpoint's own says that there is none: a
// rejection may lack the header.
func (s *Sender) limitOf(h http.Header, r *edge.Reply) *balance.StatedLimit {
	v := ""
	for _, n := range s.headers.Limit {
		if v = h.Get(n); v != "" {
			break
		}
	}
	own := r.Ran && r.Genuine
	switch {
	case r.Misplaced || (r.Ran && !r.Genuine):
		return nil
	case v == "" && own:
		return &balance.StatedLimit{}
	case v == "":
		return nil
	}
	x, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
		return nil
	}
	return &balance.StatedLimit{
		Stated: true,
		Rate:   x,
	}
}

// seconds matches a time in seconds.
var seconds = regexp.MustCompile(`^[0-9]+(\.[0-9]+)?$`)

// backoffOf returns for how long the endpoint wants no requests, or zero if it does not
// state that clearly. A date is not used, since its clock may differ.
func backoffOf(v []string) time.Duration {
	if len(v) != 1 || !seconds.MatchString(v[0]) {
		return 0
	}
	x, err := strconv.ParseFloat(v[0], 64)
	if err != nil || x > maxBackoff.Seconds() {
		return maxBackoff
	}
	return time.Duration(x * float64(time.Second))
}

// loadOf returns the running and waiting requests of a report, or -1 for one that cannot be
// true.
func loadOf(v string) int {
	f := strings.Split(v, ",")
	const fields = 3
	if len(f) != fields {
		return -1
	}
	running, err := strconv.Atoi(strings.TrimSpace(f[0]))
	waiting, err2 := strconv.Atoi(strings.TrimSpace(f[1]))
	if err != nil || err2 != nil || running < 0 || waiting < 0 || running > maxLoad || waiting > maxLoad {
		return -1
	}
	return running + waiting
}

func coldOf(v string) time.Duration {
	n, err := strconv.ParseInt(v, 10, 32)
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

func failureOf(err error) error {
	x := &edge.Failure{
		Sent:   true,
		Reason: "reset",
		Cause:  err,
	}
	f := (*wire.Failure)(nil)
	if errors.Is(err, errUnstated) || errors.Is(err, errHeld) {
		x.Reason = "endless"
		return x
	}
	if !errors.As(err, &f) {
		// The call could not be encoded.
		x.Sent = false
		x.Reason = edge.ReasonInvalid
		return x
	}
	x.Sent = f.Sent
	switch {
	case !f.Sent:
		x.Reason = "unreachable"
	case errors.Is(err, wire.ErrForeign):
		x.Reason = "foreign"
	case errors.Is(err, wire.ErrHead), errors.Is(err, wire.ErrSpliced), errors.Is(err, wire.ErrStatus), errors.Is(err, wire.ErrInterim):
		x.Reason = "unreadable"
	case f.Silent:
		x.Reason = "silent"
	case f.Step == wire.StepBody:
		x.Reason = "incomplete"
	}
	return x
}

func (s *Sender) pool(x *edge.EndpointRequest) (*wire.Pool, error) {
	a, err := netip.ParseAddrPort(x.Target.Address)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	k := poolKey{
		id:      x.Target.ID,
		address: x.Target.Address,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	p := s.pools[k]
	if p == nil {
		p = &pooled{
			pool: wire.New(wire.Options{
				Address:        a,
				Dial:           s.dial,
				Connections:    connections(x.Target.Connections),
				DialsPerSecond: dialsPerSecond,
				DialBurst:      dialBurst,
				IDHeader:       s.headers.RequestID,
				Whole:          atOnceBytes,
				MaxAnswer:      maxAnswerBytes,
				Proofless:      true,
				OnceIdle:       onceIdle,
				Patient:        true,
				CloseFramed:    true,
				SkipForeign:    skipForeign,
				Idle:           idle,
			}),
		}
		s.pools[k] = p
	}
	p.used = now
	return p.pool, nil
}

// sweep closes the connections to endpoints that got nothing for long, such as
// those that are gone.
func (s *Sender) sweep(now time.Time) {
	if now.Sub(s.swept) < forgetAge {
		return
	}
	s.swept = now
	for k, p := range s.pools {
		if now.Sub(p.used) > forgetAge {
			p.pool.Close()
			delete(s.pools, k)
		}
	}
}

// connections returns the most connections of this host to an endpoint that
// accepts so many from all.
func connections(all int) int {
	if all == 0 {
		return maxConnections
	}
	return max(1, min(maxConnections, all/sharers))
}
