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
	// loadWindow is the time over which the load is averaged.
	loadWindow = 5 * time.Second
	// loadWindows is the number of windows that are remembered: a minute.
	loadWindows = 12
)

// flights averages the requests that this host has in flight at endpoints over
// time. It is safe for concurrent use.
type flights struct {
	mu     sync.Mutex
	counts map[string]*flightCount
}

type flightCount struct {
	// now is the number of requests in flight.
	now int
	// area is the sum of now over the time since begun, in request seconds.
	area float64
	// seen is the time up to which area counts.
	seen  time.Time
	begun time.Time
	// means are the averages of earlier windows, the newest last.
	means []float64
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
			seen:  now,
			begun: now,
		}
		f.counts[endpoint] = c
	}
	c.advance(now)
	c.now += n
}

// advance counts the time until now, in as many windows as it takes. Windows
// beyond those that are remembered are left out.
func (c *flightCount) advance(now time.Time) {
	if now.Sub(c.begun) > (loadWindows+1)*loadWindow {
		c.means = nil
		c.area = 0
		c.begun = now.Add(-loadWindows * loadWindow)
		c.seen = c.begun
	}
	for end := c.begun.Add(loadWindow); !now.Before(end); end = c.begun.Add(loadWindow) {
		c.area += float64(c.now) * end.Sub(c.seen).Seconds()
		c.means = append(c.means, c.area/loadWindow.Seconds())
		if len(c.means) > loadWindows {
			c.means = c.means[1:]
		}
		c.area = 0
		c.begun = end
		c.seen = end
	}
	c.area += float64(c.now) * now.Sub(c.seen).Seconds()
	c.seen = now
}

// load returns the highest average of late. The window that goes on counts as if
// it had begun a second ago, at least.
func (c *flightCount) load(now time.Time) float64 {
	c.advance(now)
	m := c.area / max(time.Second, now.Sub(c.begun)).Seconds()
	for _, x := range c.means {
		m = max(m, x)
	}
	return m
}

// loads returns the load of late at each endpoint that has had any.
func (f *flights) loads(now time.Time) map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := map[string]float64{}
	for e, c := range f.counts {
		if n := c.load(now); n > 0 {
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
