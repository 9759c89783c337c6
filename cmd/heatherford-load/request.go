package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"heatherford/core/code"
	"heatherford/core/work"
)

// maxTries bounds what a caller does for one request.
const maxTries = 3

// backoff is the shortest wait of a caller that was refused, if the refusal says
// no other; the longest is twice that.
const backoff = 50 * time.Millisecond

// outcome is how a request ended for its caller.
type outcome string

const (
	outcomeCorrect outcome = "correct"
	outcomeLate    outcome = "late"
	outcomeNotRun  outcome = "not_run"
	outcomeUnknown outcome = "unknown"
	outcomeWrong   outcome = "wrong"
)

// request is one request of a caller.
type request struct {
	flow     *Flow
	caller   *caller
	id       string
	intended time.Time
	deadline time.Time
	tries    int
	// code is the last numbered code that a host answered with, retryAfter the
	// wait that it asked for.
	code       code.Code
	retryAfter time.Duration
}

// run carries out the request as a caller does: it looks up, sends, and tries
// another host where that is safe.
func (r *request) run() outcome {
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline)
	defer cancel()
	o := outcomeNotRun
	refused := false
	for r.tries < maxTries {
		l, err := r.caller.hosts(ctx, r.flow)
		if err != nil {
			return o
		}
		if len(l.Hosts) == 0 {
			return outcomeNotRun
		}
		h := l.Hosts[min(r.tries, len(l.Hosts)-1)]
		r.tries++
		o = r.send(ctx, h, l.Ticket)
		switch {
		case o == outcomeCorrect || o == outcomeWrong || ctx.Err() != nil:
			return r.inTime(o)
		case o == outcomeUnknown && !r.flow.Repeatable:
			return o
		case o == outcomeNotRun && r.code != 0:
			// An answer of the system, not a dead host: back off, once.
			if refused {
				return o
			}
			refused = true
			w := max(backoff, r.retryAfter)
			if time.Until(r.deadline) < w {
				return o
			}
			sleep(ctx, w+rand.N(w))
		default:
			r.caller.forget(r.flow.Kind)
		}
	}
	return o
}

func (r *request) inTime(o outcome) outcome {
	if o == outcomeCorrect && time.Now().After(r.deadline) {
		return outcomeLate
	}
	return o
}

// send sends the request to one host.
func (r *request) send(ctx context.Context, h Host, ticket string) outcome {
	r.code = 0
	path := "/items/" + r.id
	u := "http://" + h.Address.String() + "/v1/work/" + r.flow.Kind + path
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, u, strings.NewReader(r.id))
	if err != nil {
		return outcomeNotRun
	}
	q.GetBody = nil
	q.Header.Set(work.HeaderRequestID, r.id)
	q.Header.Set(work.HeaderCaller, r.caller.address.String())
	q.Header.Set(work.HeaderDeadline, r.deadline.UTC().Format(time.RFC3339Nano))
	if !r.flow.Repeatable {
		q.Header.Set(work.HeaderIdempotencyKey, r.id)
	}
	if ticket != "" && !r.flow.Repeatable {
		q.Header.Set(work.HeaderTicket, ticket)
	}
	leg := r.caller.bench.leg(r.caller.zone, h.Zone, h.Region)
	sleep(ctx, leg)
	a, err := r.caller.bench.transport.RoundTrip(q)
	if err != nil {
		return failure(err)
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	sleep(ctx, leg+r.hop(h, a))
	if err != nil {
		return outcomeUnknown
	}
	return r.judge(a, b, path)
}

// hop returns the time that messages of a hop between hosts take, which nothing
// on loopback adds.
func (r *request) hop(h Host, a *http.Response) time.Duration {
	o, ok := r.caller.bench.hosts[a.Header.Get(work.HeaderHost)]
	if !ok || o.Name == h.Name {
		return 0
	}
	r.caller.bench.hops.Add(1)
	const ways = 2
	switch {
	case o.Zone == h.Zone:
		return 0
	case o.Region == h.Region:
		return ways * r.caller.bench.scenario.Network.Zones.Std()
	default:
		return ways * r.caller.bench.scenario.Network.Regions.Std()
	}
}

func (r *request) judge(a *http.Response, body []byte, path string) outcome {
	n, _ := strconv.Atoi(a.Header.Get(work.HeaderCode))
	r.code = code.Code(n)
	wait, _ := strconv.Atoi(a.Header.Get("Retry-After"))
	r.retryAfter = time.Duration(wait) * time.Second
	switch r.code.Outcome() {
	case code.NotRun:
		return outcomeNotRun
	case code.Unknown:
		return outcomeUnknown
	default:
	}
	head := fmt.Sprintf("POST %s ran on ", path)
	s := string(body)
	if a.StatusCode != http.StatusOK || !strings.HasPrefix(s, head) || !strings.HasSuffix(s, ": "+r.id+"\n") {
		return outcomeWrong
	}
	return outcomeCorrect
}

func failure(err error) outcome {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return outcomeNotRun
	}
	return outcomeUnknown
}
