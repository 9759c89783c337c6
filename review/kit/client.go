package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// answer is what a client got.
type answer struct {
	status int
	sealed bool
	body   []byte
	err    error
	sent   time.Time
	ended  time.Time
}

// caller is a client with connections that it keeps.
type caller struct {
	client *http.Client
}

func newCaller() *caller {
	d := net.Dialer{Timeout: time.Second}
	return &caller{
		client: &http.Client{
			Transport: &http.Transport{
				DialContext:        d.DialContext,
				DisableCompression: true,
			},
		},
	}
}

// send sends a request once and waits for its answer until the deadline.
func (c *caller) send(front, method, path, id, key string, deadline time.Duration, body []byte) answer {
	a := answer{
		sent: time.Now(),
	}
	// A client waits a little longer than it says.
	const slack = time.Second
	ctx, cancel := context.WithTimeout(context.Background(), deadline+slack)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	if len(body) > 0 {
		// Nothing sends the request a second time.
		r.GetBody = nil
	}
	r.Host = siteHost
	r.Header.Set(headerID, id)
	r.Header.Set("X-Heatherford-Affinity-Key", key)
	r.Header.Set(headerDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	x, err := c.client.Do(r)
	if err == nil {
		a.status = x.StatusCode
		a.sealed = x.Header.Get(headerSeal) != ""
		a.body, err = io.ReadAll(x.Body)
		_ = x.Body.Close()
	}
	a.err = err
	a.ended = time.Now()
	return a
}
