package sessions

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// learnTime is the age of a version, since its confirmation was answered,
	// from which every host that serves could have learnt of it.
	learnTime = 2 * time.Second
	// changePause is the time between changes.
	changePause = 100 * time.Millisecond
	// watchPause is the time between the look-ups of a watcher.
	watchPause = 5 * time.Millisecond
)

// watch follows the versions by which hosts answer look-ups. It is safe for
// concurrent use.
type watch struct {
	mu sync.Mutex
	// confirmed are the versions in the order of their confirmations.
	confirmed []confirmedVersion
	// highest is the highest version that each host answered by.
	highest map[string]uint64
	answers int
	// reversions are the answers by an older version than one that the host
	// answered by before.
	reversions []string
	// stale are the answers by an older version than one that the host could
	// have learnt of.
	stale []string
}

type confirmedVersion struct {
	number uint64
	at     time.Time
}

func (x *watch) confirm(n uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.confirmed = append(x.confirmed, confirmedVersion{
		number: n,
		at:     time.Now(),
	})
}

// known returns the highest version that was confirmed learnTime before t.
func (x *watch) known(t time.Time) uint64 {
	n := uint64(0)
	for _, c := range x.confirmed {
		if t.Sub(c.at) > learnTime {
			n = max(n, c.number)
		}
	}
	return n
}

func (x *watch) answer(host string, asked time.Time, version uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if version == 0 {
		return
	}
	x.answers++
	if h := x.highest[host]; version < h {
		x.reversions = append(x.reversions, fmt.Sprintf("%s: %d after %d", host, version, h))
	}
	if k := x.known(asked); version < k {
		x.stale = append(x.stale, fmt.Sprintf("%s: %d, %d was known", host, version, k))
	}
	x.highest[host] = max(x.highest[host], version)
}

// BenchmarkNeverReverts confirms one change after the other while hosts are
// killed, stopped and paused, and the platform goes down, at random from the seed.
// Watchers look up at every host all the time.
func BenchmarkNeverReverts(b *testing.B) {
	c := qt.New(b)
	w := newWorld(c, fleetOptions{
		hosts:     *benchHosts,
		endpoints: 12,
		lookupTTL: 100 * time.Millisecond,
	})
	x := &watch{
		highest: map[string]uint64{},
	}
	end := make(chan struct{})
	g := sync.WaitGroup{}
	for _, h := range w.hosts {
		g.Go(func() {
			for {
				select {
				case <-end:
					return
				case <-time.After(watchPause):
				}
				asked := time.Now()
				x.answer(h.Name, asked, w.lookedUp(h))
			}
		})
	}
	troubles := newTroubles(w, end)
	for _, t := range troubles {
		g.Go(t.run)
	}
	changes := 0
	refused := 0
	for i := 0; b.Loop(); i++ {
		for {
			n, err := w.tryToggle(i)
			if err == nil {
				x.confirm(n)
				changes++
				break
			}
			refused++
			<-time.After(pollInterval)
		}
		<-time.After(changePause)
	}
	close(end)
	g.Wait()
	b.ReportMetric(float64(changes), "changes")
	b.ReportMetric(float64(refused), "refused-tries")
	for _, t := range troubles {
		b.ReportMetric(float64(t.events), t.name)
	}
	b.ReportMetric(float64(x.answers), "answers")
	b.ReportMetric(float64(len(x.reversions)), "reversions")
	b.ReportMetric(float64(len(x.stale)), "stale-answers")
	c.Assert(x.reversions, qt.HasLen, 0)
	c.Assert(x.stale, qt.HasLen, 0)
}

// tryToggle plans and confirms a change at a random host.
func (w *world) tryToggle(i int) (uint64, error) {
	at := w.hosts[w.random.IntN(len(w.hosts))]
	p, err := w.plan(at, "/v1/plan/edit", w.toggle(i))
	if err != nil {
		return 0, err
	}
	return w.put(at, p)
}

// trouble makes its hosts or the platform fail, one after the other.
type trouble struct {
	name   string
	world  *world
	hosts  []fleetHost
	random *rand.Rand
	end    chan struct{}
	// pause is the longest time between two events.
	pause time.Duration
	// bring brings one event about, at a host.
	bring  func(t *trouble, h fleetHost)
	events int
}

// newTroubles divides the hosts between kills, stops and pauses, and adds outages
// of the platform.
func newTroubles(w *world, end chan struct{}) []*trouble {
	kinds := []struct {
		name  string
		bring func(t *trouble, h fleetHost)
	}{
		{
			name: "kills",
			bring: func(t *trouble, h fleetHost) {
				t.world.end(h.Name, syscall.SIGKILL)
				t.world.launch(h.Name, "heatherfordd")
			},
		},
		{
			name: "stops",
			bring: func(t *trouble, h fleetHost) {
				t.world.end(h.Name, syscall.SIGTERM)
				t.world.launch(h.Name, "heatherfordd")
			},
		},
		{
			name: "pauses",
			bring: func(t *trouble, h fleetHost) {
				t.world.pause(h, t.between(500*time.Millisecond, 3*time.Second))
			},
		},
		{
			name: "outages",
			bring: func(t *trouble, _ fleetHost) {
				t.world.faults(`{"down": true}`)
				<-time.After(t.between(0, 3*time.Second))
				t.world.faults(`{}`)
			},
		},
	}
	s := []*trouble{}
	for i, k := range kinds {
		t := &trouble{
			name:   k.name,
			world:  w,
			random: rand.New(rand.NewPCG(*benchSeed, uint64(i))),
			end:    end,
			pause:  time.Second,
			bring:  k.bring,
		}
		for j := i; j < len(w.hosts); j += len(kinds) {
			t.hosts = append(t.hosts, w.hosts[j])
		}
		s = append(s, t)
	}
	s[len(s)-1].pause = 8 * time.Second
	return s
}

func (t *trouble) run() {
	for {
		select {
		case <-t.end:
			return
		case <-time.After(t.between(0, t.pause)):
		}
		t.events++
		t.bring(t, t.hosts[t.random.IntN(len(t.hosts))])
	}
}

func (t *trouble) between(least, most time.Duration) time.Duration {
	return least + time.Duration(t.random.Int64N(int64(most-least)))
}

// pause stops a process for a time.
func (w *world) pause(h fleetHost, d time.Duration) {
	w.mu.Lock()
	p := w.processes[h.Name]
	w.mu.Unlock()
	w.c.Assert(p.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	<-time.After(d)
	w.c.Assert(p.Process.Signal(syscall.SIGCONT), qt.IsNil)
}
