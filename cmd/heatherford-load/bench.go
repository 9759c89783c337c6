package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// bench offers a scenario to the system and counts what comes of it.
type bench struct {
	scenario  *Scenario
	seed      uint64
	transport *http.Transport
	// near holds the hosts of each zone, hosts all by name.
	near    map[string][]Host
	hosts   map[string]Host
	callers []*caller
	// start is the begin of the measured time, end its end.
	start time.Time
	end   time.Time

	lookups  *lookupCounts
	hops     atomic.Int64
	lateness *histogram
	kinds    map[string]*kindCounts
	running  sync.WaitGroup
}

// histogram is a histogram of times that is safe for concurrent use.
type histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newHistogram() *histogram {
	const figures = 3
	return &histogram{
		h: hdrhistogram.New(1, time.Minute.Microseconds(), figures),
	}
}

func (h *histogram) add(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// A value past a minute is left out; no deadline is that long.
	_ = h.h.RecordValue(max(1, d.Microseconds()))
}

// quantile returns a quantile in milliseconds; q is in percent.
func (h *histogram) quantile(q float64) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return float64(h.h.ValueAtQuantile(q)) / 1000
}

type lookupCounts struct {
	asked  atomic.Int64
	failed atomic.Int64
	times  *histogram
}

func (c *lookupCounts) add(started time.Time, ok bool) {
	c.asked.Add(1)
	if !ok {
		c.failed.Add(1)
		return
	}
	c.times.add(time.Since(started))
}

// kindCounts counts the requests of one kind in the measured time.
type kindCounts struct {
	flow *Flow

	mu       sync.Mutex
	asked    int
	tries    int
	outcomes map[outcome]int
	codes    map[int]int
	times    *histogram
	// refusals holds how long refused requests waited for their refusal.
	refusals *histogram
}

func newBench(s *Scenario, seed uint64) *bench {
	b := &bench{
		scenario:  s,
		seed:      seed,
		transport: newTransport(),
		near:      map[string][]Host{},
		hosts:     map[string]Host{},
		lookups: &lookupCounts{
			times: newHistogram(),
		},
		lateness: newHistogram(),
		kinds:    map[string]*kindCounts{},
	}
	for _, h := range s.Hosts {
		b.near[h.Zone] = append(b.near[h.Zone], h)
		b.hosts[h.Name] = h
	}
	for i := range s.Zones {
		b.addCallers(&s.Zones[i])
	}
	for i := range s.Flows {
		f := &s.Flows[i]
		if b.kinds[f.Kind] != nil {
			continue
		}
		b.kinds[f.Kind] = &kindCounts{
			flow:     f,
			outcomes: map[outcome]int{},
			codes:    map[int]int{},
			times:    newHistogram(),
			refusals: newHistogram(),
		}
	}
	return b
}

func (b *bench) addCallers(z *Zone) {
	a := z.First
	for range z.Callers {
		b.callers = append(b.callers, &caller{
			zone:    z,
			address: a,
			bench:   b,
			cache:   map[string]*lookup{},
		})
		a = a.Next()
	}
}

// schedule sets the measured time so that the warm-up begins now.
func (b *bench) schedule() {
	b.start = time.Now().Add(b.scenario.Warmup.Std())
	b.end = b.start.Add(b.scenario.Duration.Std())
}

// run offers all flows and returns once every request has ended.
func (b *bench) run(ctx context.Context) {
	flows := sync.WaitGroup{}
	for i := range b.scenario.Flows {
		flows.Go(func() {
			b.offer(ctx, i)
		})
	}
	flows.Wait()
	b.running.Wait()
}

// offer starts the requests of one flow at their intended times, whatever
// became of earlier ones.
func (b *bench) offer(ctx context.Context, index int) {
	f := &b.scenario.Flows[index]
	from, until := b.start.Add(-b.scenario.Warmup.Std()), b.end
	if f.From > 0 {
		from = b.start.Add(f.From.Std())
	}
	if f.Until > 0 {
		until = b.start.Add(f.Until.Std())
	}
	g := rand.New(rand.NewPCG(b.seed, uint64(index)))
	at := from
	for n := 0; ; n++ {
		at = at.Add(time.Duration(g.ExpFloat64() / f.Rate * float64(time.Second)))
		if !at.Before(until) {
			return
		}
		c := b.callers[g.IntN(len(b.callers))]
		sleep(ctx, time.Until(at))
		if ctx.Err() != nil {
			return
		}
		b.lateness.add(time.Since(at))
		r := &request{
			flow:     f,
			caller:   c,
			id:       fmt.Sprintf("s%d-f%d-%d", b.seed, index, n),
			intended: at,
			deadline: at.Add(f.Deadline.Std()),
		}
		b.running.Go(func() {
			b.finish(r, r.run())
		})
	}
}

// finish counts a request if it was meant to start in the measured time.
func (b *bench) finish(r *request, o outcome) {
	if r.intended.Before(b.start) {
		return
	}
	d := time.Since(r.intended)
	k := b.kinds[r.flow.Kind]
	switch o {
	case outcomeCorrect, outcomeLate:
		k.times.add(d)
	case outcomeNotRun:
		k.refusals.add(d)
	default:
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.asked++
	k.tries += r.tries
	k.outcomes[o]++
	if o != outcomeCorrect {
		k.codes[int(r.code)]++
	}
}

// leg returns the time that a message takes between a caller and a host.
func (b *bench) leg(z *Zone, zone, region string) time.Duration {
	n := b.scenario.Network
	if region == "" {
		region = b.regionOf(zone)
	}
	if region != z.Region {
		return n.Callers.Std() + n.Regions.Std()
	}
	return n.Callers.Std()
}

func (b *bench) regionOf(zone string) string {
	if s := b.near[zone]; len(s) > 0 {
		return s[0].Region
	}
	return ""
}
