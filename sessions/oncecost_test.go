package sessions

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"heatherford/core/code"
	"heatherford/standin/platform"
)

const (
	costRate     = 300
	costDuration = 20 * time.Second
	costHosts    = 4
	costTills    = 12
	costTillSlot = 3
	costService  = 5 * time.Millisecond
)

// load is the result of requests that came at a fixed rate.
type load struct {
	mu      sync.Mutex
	elapsed []time.Duration
	// failed counts the requests without an answer, by code.
	failed map[code.Code]int
}

// offer sends requests of the kind at a fixed rate for a while, each after its own
// look-up, which is not counted.
func offer(w *onceWorld, kind string, d time.Duration) *load {
	l := &load{
		failed: map[code.Code]int{},
	}
	t := &http.Transport{
		MaxIdleConnsPerHost: costRate,
	}
	defer t.CloseIdleConnections()
	x := &http.Client{
		Transport: t,
		Timeout:   copyTimeout,
	}
	tick := time.NewTicker(time.Second / costRate)
	defer tick.Stop()
	group := sync.WaitGroup{}
	for i := range int(d.Seconds() * float64(costRate)) {
		<-tick.C
		group.Go(func() {
			l.one(w, x, kind, i)
		})
	}
	group.Wait()
	return l
}

func (l *load) one(w *onceWorld, x *http.Client, kind string, i int) {
	ctx := context.Background()
	h := w.hosts[i%len(w.hosts)]
	a, err := lookUp(ctx, x, h.toCallers.Addr().String(), kind)
	if err != nil {
		l.add(0, 0)
		return
	}
	body := fmt.Sprintf("%s-%d", kind, i)
	start := time.Now()
	s, err := sendCopy(ctx, x, a.Hosts[0].Address, kind, a.Ticket, body)
	if err != nil || !strings.HasPrefix(s.body, "ran "+body+" on ") {
		l.add(s.code, 0)
		return
	}
	l.add(code.Answered, time.Since(start))
}

func (l *load) add(n code.Code, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n != code.Answered {
		l.failed[n]++
		return
	}
	l.elapsed = append(l.elapsed, d)
}

// quantile returns the time within which the share of the answers came.
func (l *load) quantile(share float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.elapsed) == 0 {
		return 0
	}
	sort.Slice(l.elapsed, func(i, j int) bool {
		return l.elapsed[i] < l.elapsed[j]
	})
	return l.elapsed[int(share*float64(len(l.elapsed)-1))]
}

// newCostWorld starts a world whose leases and statistics have settled.
func newCostWorld(b *testing.B, delay time.Duration) *onceWorld {
	w, err := newOnceWorld(b.TempDir(), costHosts, costTills, costTillSlot, costService)
	b.Cleanup(w.close)
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), untilDeadline)
	defer cancel()
	if err := w.waitReady(ctx); err != nil {
		b.Fatal(err)
	}
	w.platform.SetFaults(platform.Faults{
		DelayMS: int(delay.Milliseconds()),
	})
	const settle = 3 * time.Second
	offer(w, onceDeposit, settle)
	offer(w, onceWaiver, settle)
	return w
}

// BenchmarkClaimCost offers 300 requests a second of work that may not be
// repeated, and as many that may be, and compares the times that callers see.
func BenchmarkClaimCost(b *testing.B) {
	for _, delay := range []time.Duration{2 * time.Millisecond, 20 * time.Millisecond} {
		b.Run(delay.String(), func(b *testing.B) {
			for range b.N {
				claimCost(b, newCostWorld(b, delay))
			}
		})
	}
}

func claimCost(b *testing.B, w *onceWorld) {
	before := w.commits.Load()
	plain := offer(w, onceWaiver, costDuration)
	idle := w.commits.Load() - before
	before = w.commits.Load()
	claimed := offer(w, onceDeposit, costDuration)
	commits := w.commits.Load() - before
	ms := func(d time.Duration) float64 {
		return float64(d.Microseconds()) / 1000
	}
	b.ReportMetric(ms(plain.quantile(0.5)), "plain-p50-ms")
	b.ReportMetric(ms(plain.quantile(0.99)), "plain-p99-ms")
	b.ReportMetric(ms(claimed.quantile(0.5)), "claimed-p50-ms")
	b.ReportMetric(ms(claimed.quantile(0.99)), "claimed-p99-ms")
	b.ReportMetric(float64(commits-idle)/costDuration.Seconds(), "claim-writes/s")
	b.ReportMetric(float64(len(claimed.elapsed))/costDuration.Seconds(), "answers/s")
	b.Logf("not answered: plain %v, claimed %v", plain.failed, claimed.failed)
}

// BenchmarkSilentAll loses track of all connections between hosts, endpoints
// and the platform at once, and reports what callers see in the second after it,
// of work that may be repeated and of work that may not.
func BenchmarkSilentAll(b *testing.B) {
	for _, kind := range []string{onceWaiver, onceDeposit} {
		b.Run(kind, func(b *testing.B) {
			for range b.N {
				silentAll(b, newCostWorld(b, 2*time.Millisecond), kind)
			}
		})
	}
}

func silentAll(b *testing.B, w *onceWorld, kind string) {
	for _, r := range w.toTills {
		r.Silence()
	}
	for _, h := range w.hosts {
		h.toPeers.Silence()
	}
	w.toPlatform.Silence()
	first := offer(w, kind, time.Second)
	second := offer(w, kind, time.Second)
	ms := func(d time.Duration) float64 {
		return float64(d.Microseconds()) / 1000
	}
	b.ReportMetric(ms(first.quantile(0.5)), "first-p50-ms")
	b.ReportMetric(ms(first.quantile(0.99)), "first-p99-ms")
	b.ReportMetric(ms(first.quantile(1)), "first-max-ms")
	b.ReportMetric(ms(second.quantile(0.99)), "second-p99-ms")
	b.Logf("not answered: first second %v, next second %v", first.failed, second.failed)
}
