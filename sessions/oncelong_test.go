package sessions

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"sort"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/code"
	_ "heatherford/io/platform"
	"heatherford/standin/platform"
	"heatherford/standin/relay"
)

var (
	onceSeed     = flag.Uint64("seed", 1, "`seed` of the faults of TestOnceLong")
	onceRequests = flag.Int("requests", 400, "`number` of requests of TestOnceLong")
)

const (
	onceCallers = 32
	// onceCopies is the most copies that a caller sends of one request.
	onceCopies  = 6
	copyTimeout = 2500 * time.Millisecond
	// copyPause is the pause before the second copy. It doubles from copy to
	// copy.
	copyPause = 50 * time.Millisecond
)

// TestOnceLong sends work that may not be repeated through daemons that are
// killed and paused, over connections that are cut and go silent, with a
// platform that fails, all at random from the seed. A longer run:
//
//	go test ./sessions -run TestOnceLong -count=1 -v -timeout 60m -seed 1 -requests 100000
func TestOnceLong(t *testing.T) {
	c := qt.New(t)
	const hosts, tills, slots = 4, 4, 9
	w, err := newOnceWorld(c.TempDir(), hosts, tills, slots, 3*time.Millisecond)
	defer w.close()
	c.Assert(err, qt.IsNil)
	ready, cancel := context.WithTimeout(context.Background(), untilDeadline)
	defer cancel()
	c.Assert(w.waitReady(ready), qt.IsNil)

	faults := newFaults(w, *onceSeed)
	l := newLedgerCheck(w)
	l.run(*onceRequests, faults.run)
	t.Log(l.report())
	t.Log(faults.report())
	c.Assert(l.violations, qt.HasLen, 0)
}

// ledgerCheck sends requests and compares what callers were told with what the
// endpoints ran.
type ledgerCheck struct {
	world *onceWorld

	mu sync.Mutex
	// ended counts the requests by what the caller was told in the end.
	ended map[code.Outcome]int
	codes map[code.Code]int
	// reasons counts the copies that were told "outcome unknown".
	reasons    map[string]int
	copies     int
	unanswered int
	notRunRuns []string
	elapsed    []time.Duration
	violations []string
}

func newLedgerCheck(w *onceWorld) *ledgerCheck {
	return &ledgerCheck{
		world: w,
		ended: map[code.Outcome]int{},
		codes: map[code.Code]int{},

		reasons: map[string]int{},
	}
}

// run sends n requests while the faults are brought about. What was told is
// checked again after all processes have had the time to run what they might.
func (l *ledgerCheck) run(n int, faults func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	work := make(chan int)
	group := sync.WaitGroup{}
	for i := range onceCallers {
		group.Go(func() {
			l.call(work, rand.New(rand.NewPCG(*onceSeed, uint64(i))))
		})
	}
	chaos := sync.WaitGroup{}
	chaos.Go(func() {
		faults(ctx)
	})
	for i := range n {
		work <- i
	}
	close(work)
	group.Wait()
	cancel()
	chaos.Wait()
	<-time.After(onceDeadline)
	for _, s := range l.notRunRuns {
		if l.world.runs(s) > 0 {
			l.violate("%s was run later, its caller was told that it was not", s)
		}
	}
}

// call sends requests from one caller until there are no more.
func (l *ledgerCheck) call(work <-chan int, dice *rand.Rand) {
	t := &http.Transport{
		ResponseHeaderTimeout: copyTimeout,
	}
	defer t.CloseIdleConnections()
	x := &http.Client{
		Transport: t,
		Timeout:   copyTimeout,
	}
	for i := range work {
		l.request(x, dice, fmt.Sprintf("deposit-%d", i))
	}
}

// request sends copies of one request until one is answered for good.
func (l *ledgerCheck) request(x *http.Client, dice *rand.Rand, body string) {
	start := time.Now()
	ctx := context.Background()
	a := lookedUp{}
	for {
		h := l.world.hosts[dice.IntN(len(l.world.hosts))]
		s, err := lookUp(ctx, x, h.toCallers.Addr().String(), onceDeposit)
		if err == nil && s.Ticket != "" {
			a = s
			break
		}
		x.CloseIdleConnections()
		<-time.After(pollInterval)
	}
	last := toldAnswer{
		code: code.OutcomeUnknown,
	}
	address := a.Hosts[0].Address
	for i := range onceCopies {
		if i > 0 {
			<-time.After(copyPause << (i - 1))
		}
		s, err := sendCopy(ctx, x, address, onceDeposit, a.Ticket, body)
		l.copy(body, s, err)
		if err == nil {
			last = s
			if o := s.code.Outcome(); o != code.Unknown {
				break
			}
		} else {
			x.CloseIdleConnections()
		}
		address = l.world.hosts[dice.IntN(len(l.world.hosts))].toCallers.Addr().String()
	}
	l.end(body, last, time.Since(start))
}

// copy checks what one copy was told.
func (l *ledgerCheck) copy(body string, s toldAnswer, err error) {
	runs := l.world.runs(body)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.copies++
	if err != nil {
		l.unanswered++
		return
	}
	l.codes[s.code]++
	switch s.code.Outcome() {
	case code.Executed:
		if runs != 1 || !strings.HasPrefix(s.body, "ran "+body+" on till-") || len(s.body) != len("ran "+body+" on till-1") {
			l.violateLocked("%s ran %d times and its caller got %q", body, runs, s.body)
		}
	case code.NotRun:
		l.notRunRuns = append(l.notRunRuns, body)
		if runs > 0 {
			l.violateLocked("%s ran %d times and its caller was told %d: %s", body, runs, s.code, s.body)
		}
	default:
		l.reasons[reason(s.body)]++
	}
}

var variable = regexp.MustCompile(`"[^"]*"|\d+[\d.:]*`)

// reason returns a refusal's message without names and numbers.
func reason(body string) string {
	x := struct {
		Message string `json:"message"`
	}{}
	if json.Unmarshal([]byte(body), &x) != nil {
		return body
	}
	return variable.ReplaceAllString(x.Message, "_")
}

func (l *ledgerCheck) end(body string, s toldAnswer, elapsed time.Duration) {
	runs := l.world.runs(body)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended[s.code.Outcome()]++
	l.elapsed = append(l.elapsed, elapsed)
	if runs > 1 {
		l.violateLocked("%s ran %d times", body, runs)
	}
}

func (l *ledgerCheck) violate(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violateLocked(format, args...)
}

func (l *ledgerCheck) violateLocked(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

func (l *ledgerCheck) report() string {
	n := len(l.elapsed)
	sort.Slice(l.elapsed, func(i, j int) bool {
		return l.elapsed[i] < l.elapsed[j]
	})
	share := func(o code.Outcome) float64 {
		return 100 * float64(l.ended[o]) / float64(n)
	}
	return fmt.Sprintf("seed %d: %d requests in %d copies (%d without an answer): answered %.3f %%, not run %.3f %%, outcome unknown %.3f %%; violations %d; median %v, p99 %v; copies by code %v; unknown because %v",
		*onceSeed, n, l.copies, l.unanswered, share(code.Executed), share(code.NotRun), share(code.Unknown),
		len(l.violations), l.elapsed[n/2], l.elapsed[n*99/100], l.codes, reasonLines(l.reasons))
}

// reasonLines returns one line for each reason, the most frequent first.
func reasonLines(m map[string]int) string {
	s := make([]string, 0, len(m))
	for r, n := range m {
		s = append(s, fmt.Sprintf("\n%7d %s", n, r))
	}
	sort.Sort(sort.Reverse(sort.StringSlice(s)))
	return strings.Join(s, "")
}

// faults brings about faults at random.
type faults struct {
	world *onceWorld
	dice  *rand.Rand
	// counts are how often each fault was brought about.
	counts map[string]int
	group  sync.WaitGroup
}

func newFaults(w *onceWorld, seed uint64) *faults {
	return &faults{
		world:  w,
		dice:   rand.New(rand.NewPCG(seed, seed)),
		counts: map[string]int{},
	}
}

// run brings about one fault after another until ctx ends, and waits until all
// are over.
func (f *faults) run(ctx context.Context) {
	defer f.group.Wait()
	for {
		t := time.NewTimer(f.between(100, 500))
		select {
		case <-t.C:
			f.next(ctx)
		case <-ctx.Done():
			t.Stop()
			return
		}
	}
}

// between draws a duration between bounds in milliseconds.
func (f *faults) between(low, high int) time.Duration {
	return time.Duration(low+f.dice.IntN(high-low)) * time.Millisecond
}

func (f *faults) next(ctx context.Context) {
	w := f.world
	h := w.hosts[f.dice.IntN(len(w.hosts))]
	links := append([]*relay.Relay{
		w.toPlatform,
		h.toCallers,
		h.toPeers,
	}, w.toTills...)
	link := links[f.dice.IntN(len(links))]
	switch n := f.dice.IntN(100); {
	case n < 6:
		if !h.kill() {
			return
		}
		f.count("killed")
		f.after(ctx, f.between(0, 1500), func() {
			_ = h.start(w.dir)
		})
	case n < 9:
		f.stop(ctx, h)
	case n < 17:
		f.count("paused")
		h.signal(syscall.SIGSTOP)
		f.after(ctx, f.between(50, 4000), func() {
			h.signal(syscall.SIGCONT)
		})
	case n < 40:
		f.count("silenced")
		link.Silence()
	case n < 66:
		f.count("cut")
		link.Cut()
	case n < 74:
		f.count("partitioned")
		link.Refuse(true)
		link.Cut()
		f.after(ctx, f.between(50, 2000), func() {
			link.Refuse(false)
		})
	default:
		f.platform(ctx)
	}
}

// stop ends a daemon as planned and starts it again.
func (f *faults) stop(ctx context.Context, h *onceHost) {
	f.count("stopped")
	h.signal(syscall.SIGTERM)
	f.after(ctx, 0, func() {
		h.wait()
		if h.kill() {
			_ = h.start(f.world.dir)
		}
	})
}

// platform lets the platform fail for a while.
func (f *faults) platform(ctx context.Context) {
	p := f.world.platform
	x := platform.Faults{}
	d := f.between(50, 1500)
	switch f.dice.IntN(3) {
	case 0:
		f.count("platform down")
		x.Down = true
		d = f.between(50, 4000)
	case 1:
		f.count("platform loses answers")
		x.LoseAnswers = true
	default:
		f.count("platform slow")
		x.DelayMS = 5 + f.dice.IntN(400)
	}
	p.SetFaults(x)
	f.after(ctx, d, func() {
		p.SetFaults(platform.Faults{})
	})
}

// after undoes a fault after a while, at once when ctx ends. A fault of the
// same kind may have begun meanwhile, which it ends too.
func (f *faults) after(ctx context.Context, d time.Duration, undo func()) {
	f.group.Go(func() {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		undo()
	})
}

func (f *faults) count(name string) {
	f.counts[name]++
}

func (f *faults) report() string {
	return fmt.Sprintf("faults: %v", f.counts)
}
