package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// ids numbers the requests of a run.
var ids atomic.Int64

// answer is what a client got.
type answer struct {
	id string
	// status is 0 if the connection ended without an answer.
	status   int
	body     string
	seal     string
	instance string
	sent     time.Time
	took     time.Duration
}

func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DisableCompression: true,
		},
	}
}

// call is a request of a client.
type call struct {
	client *http.Client
	host   *host
	method string
	path   string
	body   string
	object string
	// wait is the deadline that the client states, and leave how long it stays, if that is
	// shorter.
	wait  time.Duration
	leave time.Duration
}

// ask sends a request to a host and waits for the answer.
func ask(ctx context.Context, c *call) answer {
	a := answer{
		id:   fmt.Sprintf("q%08d", ids.Add(1)),
		sent: time.Now(),
	}
	stay := c.wait
	if c.leave > 0 {
		stay = c.leave
	}
	ctx, cancel := context.WithTimeout(ctx, stay)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.host.callers+c.path, io.NopCloser(strings.NewReader(c.body)))
	if err != nil {
		return a
	}
	q.ContentLength = int64(len(c.body))
	if c.body == "" {
		q.Body = nil
	}
	q.Host = hostName
	q.Header.Set(headerID, a.id)
	q.Header.Set(headerDeadline, fmt.Sprint(c.wait.Milliseconds()))
	if c.object != "" {
		q.Header.Set(headerObject, c.object)
	}
	x, err := c.client.Do(q)
	if err == nil {
		b, readErr := io.ReadAll(x.Body)
		x.Body.Close()
		if readErr == nil {
			a.status = x.StatusCode
			a.body = string(b)
			a.seal = x.Header.Get(headerSeal)
			a.instance = x.Header.Get(headerInstance)
		}
	}
	a.took = time.Since(a.sent)
	return a
}

// tally counts answers by their status. It is safe for concurrent use.
type tally struct {
	mu sync.Mutex
	n  map[int]int
}

func (t *tally) add(a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.n == nil {
		t.n = map[int]int{}
	}
	t.n[a.status]++
}

// take returns the counts and begins anew.
func (t *tally) take() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := fmt.Sprint(t.n)
	t.n = nil
	return s
}
