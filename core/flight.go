package core

import (
	"context"
	"io"
	"sync"
	"time"

	"heatherford/core/intent"
	"heatherford/core/work"
)

// peakWindow is how long a peak of the load is remembered, at least.
const peakWindow = time.Minute

// flights counts the requests that this host has in flight at endpoints. It is
// safe for concurrent use.
type flights struct {
	mu     sync.Mutex
	counts map[string]*flightCount
}

type flightCount struct {
	now int
	// peak is the most since the window began, last the most in the window
	// before.
	peak  int
	last  int
	begun time.Time
}

func newFlights() *flights {
	return &flights{
		counts: map[string]*flightCount{},
	}
}

func (f *flights) add(now time.Time, endpoint string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.counts[endpoint]
	if c == nil {
		c = &flightCount{
			begun: now,
		}
		f.counts[endpoint] = c
	}
	c.roll(now)
	c.now += n
	c.peak = max(c.peak, c.now)
}

// roll begins a new window if the present one is over.
func (c *flightCount) roll(now time.Time) {
	if now.Sub(c.begun) < peakWindow {
		return
	}
	c.last = c.peak
	if now.Sub(c.begun) >= 2*peakWindow {
		c.last = c.now
	}
	c.peak = c.now
	c.begun = now
}

// at returns the requests in flight at the endpoint.
func (f *flights) at(endpoint string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.counts[endpoint]; c != nil {
		return c.now
	}
	return 0
}

// total returns the requests in flight at all endpoints.
func (f *flights) total() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, c := range f.counts {
		n += c.now
	}
	return n
}

// peaks returns the most requests in flight at each endpoint of late.
func (f *flights) peaks(now time.Time) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := map[string]int{}
	for e, c := range f.counts {
		c.roll(now)
		if n := max(c.peak, c.last); n > 0 {
			m[e] = n
		}
	}
	return m
}

// counted returns send with its requests counted until their answers end.
func (k *Kernel) counted(send sendFunc) sendFunc {
	if send == nil {
		return nil
	}
	return func(ctx context.Context, e intent.Endpoint, r *work.Request) (*work.Answer, error) {
		k.flights.add(k.Now(), e.Name, 1)
		a, err := send(ctx, e, r)
		if err != nil {
			k.flights.add(k.Now(), e.Name, -1)
			return nil, err
		}
		a.Body = &flightBody{
			ReadCloser: a.Body,
			done: func() {
				k.flights.add(k.Now(), e.Name, -1)
			},
		}
		return a, nil
	}
}

type sendFunc = func(ctx context.Context, e intent.Endpoint, r *work.Request) (*work.Answer, error)

// flightBody is an answer's body that tells when it was closed.
type flightBody struct {
	io.ReadCloser
	once sync.Once
	done func()
}

// Close implements io.Closer.
func (b *flightBody) Close() error {
	defer b.once.Do(b.done)
	return b.ReadCloser.Close()
}
