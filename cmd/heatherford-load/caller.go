package main

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"
)

// caller is one caller of the system. It asks for look-ups, keeps each until its
// expiry, and is safe for concurrent use.
type caller struct {
	zone    *Zone
	address netip.Addr
	bench   *bench

	mu sync.Mutex
	// cache holds the newest look-up of each kind.
	cache map[string]*lookup
}

// lookup is the part of a look-up's answer that a caller uses.
type lookup struct {
	Hosts     []Host    `json:"hosts"`
	ExpiresAt time.Time `json:"expires_at"`
	Ticket    string    `json:"ticket"`
}

func newTransport() *http.Transport {
	const idle = 4096
	return &http.Transport{
		DialContext: (&net.Dialer{
			Timeout: time.Second,
		}).DialContext,
		MaxIdleConns:        idle,
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
}

// hosts returns the hosts to send to, from the cache or by a look-up. A request
// that needs a ticket always looks up, since a ticket is good for one request.
func (c *caller) hosts(ctx context.Context, f *Flow) (*lookup, error) {
	if l := c.cached(f.Kind); l != nil && f.Repeatable {
		return l, nil
	}
	l, err := c.lookUp(ctx, f.Kind)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cache[f.Kind] = l
	return l, nil
}

func (c *caller) cached(kind string) *lookup {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.cache[kind]
	if l == nil || !time.Now().Before(l.ExpiresAt) {
		return nil
	}
	return l
}

// forget drops a look-up that named a host which does not answer.
func (c *caller) forget(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cache, kind)
}

// lookUp asks hosts of the caller's own zone first, then any.
func (c *caller) lookUp(ctx context.Context, kind string) (*lookup, error) {
	const tries = 4
	err := error(nil)
	for i := range tries {
		l := (*lookup)(nil)
		l, err = c.ask(ctx, c.entry(i), kind)
		if err == nil || ctx.Err() != nil {
			return l, err
		}
	}
	return nil, err
}

func (c *caller) entry(try int) Host {
	if s := c.bench.near[c.zone.Name]; try < 2 && len(s) > 0 {
		return s[rand.IntN(len(s))]
	}
	s := c.bench.scenario.Hosts
	return s[rand.IntN(len(s))]
}

func (c *caller) ask(ctx context.Context, h Host, kind string) (*lookup, error) {
	q := url.Values{
		"kind":   {kind},
		"caller": {c.address.String()},
	}
	u := "http://" + h.Address.String() + "/v1/lookup?" + q.Encode()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	leg := c.bench.leg(c.zone, h.Zone, h.Region)
	sleep(ctx, leg)
	a, err := c.bench.transport.RoundTrip(r)
	if err != nil {
		c.bench.lookups.add(started, false)
		return nil, err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	sleep(ctx, leg)
	if err == nil && a.StatusCode != http.StatusOK {
		err = refusedLookup{}
	}
	c.bench.lookups.add(started, err == nil)
	if err != nil {
		return nil, err
	}
	l := &lookup{}
	return l, json.Unmarshal(b, l)
}

// refusedLookup is the error of a look-up that a host refused.
type refusedLookup struct{}

func (refusedLookup) Error() string {
	return "the look-up was refused"
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
