package core

import (
	"context"
	"io"
	"sync"
	"time"

	"heatherford/core/intent"
	"heatherford/core/work"
)

const (
	// loadWindow is the length of the windows over which the load is averaged.
	loadWindow = 5 * time.Second
	// loadWindows is the number of past windows that are kept: a minute in all.
	loadWindows = 12
)

// inFlightLoads averages over time the number of requests that this host has in flight
// at each endpoint. It is safe for concurrent use.
type inFlightLoads struct {
	mu sync.Mutex
	// averages holds an average for each endpoint, by name.
	averages map[string]*loadAverage
}

// loadAverage is the average number of requests in flight at one endpoint.
type loadAverage struct {
	// inFlight is the present number of requests in flight.
	inFlight int
	// requestSeconds is the integral of inFlight over the current window, from
	// windowStart to countedUntil.
	requestSeconds float64
	countedUntil   time.Time
	windowStart    time.Time
	// means are the averages of past windows, the newest last.
	means []float64
}

func newInFlightLoads() *inFlightLoads {
	return &inFlightLoads{
		averages: map[string]*loadAverage{},
	}
}

// add adds n, which may be negative, to the endpoint's requests in flight.
func (f *inFlightLoads) add(now time.Time, endpoint string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.averages[endpoint]
	if c == nil {
		c = &loadAverage{
			countedUntil: now,
			windowStart:  now,
		}
		f.averages[endpoint] = c
	}
	c.advance(now)
	c.inFlight += n
}

// advance adds the time until now, split into windows. Windows that are older than
// those kept are skipped.
func (c *loadAverage) advance(now time.Time) {
	if now.Sub(c.windowStart) > (loadWindows+1)*loadWindow {
		c.means = nil
		c.requestSeconds = 0
		c.windowStart = now.Add(-loadWindows * loadWindow)
		c.countedUntil = c.windowStart
	}
	for end := c.windowStart.Add(loadWindow); !now.Before(end); end = c.windowStart.Add(loadWindow) {
		c.requestSeconds += float64(c.inFlight) * end.Sub(c.countedUntil).Seconds()
		c.means = append(c.means, c.requestSeconds/loadWindow.Seconds())
		if len(c.means) > loadWindows {
			c.means = c.means[1:]
		}
		c.requestSeconds = 0
		c.windowStart = end
		c.countedUntil = end
	}
	c.requestSeconds += float64(c.inFlight) * now.Sub(c.countedUntil).Seconds()
	c.countedUntil = now
}

// peak returns the highest average of the windows that are kept and of the current one.
// The current window counts as at least a second long, so that a few requests at its
// start are no peak.
func (c *loadAverage) peak(now time.Time) float64 {
	c.advance(now)
	m := c.requestSeconds / max(time.Second, now.Sub(c.windowStart)).Seconds()
	for _, x := range c.means {
		m = max(m, x)
	}
	return m
}

// peaks returns the peak at each endpoint where it is not 0, by the endpoint's name.
func (f *inFlightLoads) peaks(now time.Time) map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := map[string]float64{}
	for e, c := range f.averages {
		if n := c.peak(now); n > 0 {
			m[e] = n
		}
	}
	return m
}

// countInFlight returns a function that calls send and counts each request as in flight
// until it fails or its answer's body is closed. It returns nil if send is nil.
func (k *Kernel) countInFlight(send sendFunc) sendFunc {
	if send == nil {
		return nil
	}
	return func(ctx context.Context, e intent.Endpoint, r *work.Request) (*work.Answer, error) {
		k.inFlightLoads.add(k.Now(), e.Name, 1)
		a, err := send(ctx, e, r)
		if err != nil {
			k.inFlightLoads.add(k.Now(), e.Name, -1)
			return nil, err
		}
		a.Body = &countedBody{
			ReadCloser: a.Body,
			done: func() {
				k.inFlightLoads.add(k.Now(), e.Name, -1)
			},
		}
		return a, nil
	}
}

type sendFunc = func(ctx context.Context, e intent.Endpoint, r *work.Request) (*work.Answer, error)

// countedBody is an answer's body that calls done when it is first closed.
type countedBody struct {
	io.ReadCloser
	once sync.Once
	done func()
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	defer b.once.Do(b.done)
	return b.ReadCloser.Close()
}
