package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"heatherford/standin/desk"
	"heatherford/standin/relay"
	"heatherford/standin/rows"
)

const (
	// startTime is how long hosts may take to be of use.
	startTime = 8 * time.Second
	// calmTime is the time without faults at the end, of which the first part
	// is for the hosts to recover.
	calmTime    = 9 * time.Second
	recoverTime = 5 * time.Second
	// calmShare is the part of requests that has to be served in calm times.
	calmShare = 0.98
	// drainTime is how long after its report a leaving endpoint may still get
	// requests, with the way of the report to the hosts.
	drainTime = 2300 * time.Millisecond
	// clients is the number of clients.
	clients = 12
	// repeatRatio, repeatWindow and repeatSlack bound the repeats of each service over
	// all hosts.
	repeatRatio  = 0.2
	repeatWindow = 3 * time.Second
	repeatSlack  = 24
)

var regions = map[string]string{
	"n1": "north",
	"n2": "north",
	"s1": "south",
	"s2": "south",
}

// options describe a run.
type options struct {
	Seed   uint64
	Length time.Duration
	Hosts  int
	// Program is the host's program, and Old that of an earlier build that hosts run at
	// first; empty leaves it out.
	Program string
	Old     string
	Logs    string
	// Strand is the weight of the fault strand beside the others; 0 leaves it out.
	Strand int
	// Foreign is the weight of the fault foreign likewise.
	Foreign int
}

// report is what a run showed.
type report struct {
	Seed   uint64
	Asked  int
	Served int
	Cut    int
	Faults []string
	Broken []string
}

// String implements fmt.Stringer.
func (r report) String() string {
	return fmt.Sprintf("seed %d: %d asked, %d served, %d cut, %d broken; faults: %s", r.Seed, r.Asked, r.Served, r.Cut, len(r.Broken), strings.Join(r.Faults, " "))
}

// world is the processes and stand-ins of a run.
type world struct {
	options   options
	folder    string
	random    *rand.Rand
	table     *rows.Table
	runs      *desk.Runs
	ports     *ports
	processes []*process
	// stores are the relays between hosts and the table, one for each.
	stores []*relay.Relay
	// ways are the relays before endpoints.
	ways      []*relay.Relay
	endpoints []*desk.Endpoint
	ledger    ledger
	faults    []string
	closers   []func()
	words     words
	// stayed counts the clients that stayed with a host.
	stayed int
	// replaced counts the hosts that were replaced by another build.
	replaced int

	// mu guards the fields below.
	mu sync.Mutex
	// version and service are those of the newest configuration.
	version int
	service string
	// copies are the table's newest copies, in order.
	copies []*rows.Copy
	// deadly are the requests that crash endpoints.
	deadly []*deadly
	// strands are the times in which hosts reach no endpoint, in order.
	strands []*strand
	// busy holds the hosts that a fault is at work on.
	busy map[int]bool
	// calmed is true once the faults have ended.
	calmed bool
}

// newWorld returns a world without hosts and endpoints.
func newWorld(o options) *world {
	return &world{
		options: o,
		random:  rand.New(rand.NewPCG(o.Seed, 99)),
		table:   rows.New(),
		runs:    desk.NewRuns(),
		ports:   newPorts(),
		busy:    map[int]bool{},
		words:   newWords(o.Seed),
		ledger: ledger{
			losses: map[string][]loss{},
		},
	}
}

// run plays one seed.
func run(o options) report {
	w := newWorld(o)
	r := report{
		Seed: o.Seed,
	}
	if err := w.play(); err != nil {
		w.ledger.broken = append(w.ledger.broken, err.Error())
	}
	w.close()
	w.settle()
	r.Asked, r.Served, r.Cut = w.ledger.counts()
	r.Faults = w.faults
	r.Broken = w.ledger.broken
	if len(r.Broken) > 0 && o.Logs != "" {
		w.keepLogs()
	}
	return r
}

func (w *world) play() error {
	if err := w.build(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	group := sync.WaitGroup{}
	defer group.Wait()
	defer cancel()
	if !w.until(startTime, w.usable) {
		return fmt.Errorf("the hosts are of no use after %s", startTime)
	}
	w.copies = []*rows.Copy{w.table.Copy()}
	for i := range clients {
		group.Go(func() {
			w.client(ctx, i)
		})
	}
	for _, p := range w.processes {
		group.Go(func() {
			w.watch(ctx, p)
		})
	}
	group.Go(func() {
		w.keepCopies(ctx)
	})
	for end := time.Now().Add(w.options.Length); time.Now().Before(end); {
		w.fault(&group)
		w.replace(&group)
		w.say(&group)
		time.Sleep(time.Duration(w.random.IntN(900)) * time.Millisecond)
	}
	w.calm()
	w.stopInCalm(&group)
	return nil
}

// build starts the stand-ins and the hosts.
func (w *world) build() error {
	folder, err := os.MkdirTemp("", "heatherford-soak")
	if err != nil {
		return err
	}
	w.folder = folder
	w.closers = append(w.closers, func() { _ = os.RemoveAll(folder) })
	s := httptest.NewServer(w.table)
	w.closers = append(w.closers, func() {
		s.CloseClientConnections()
		s.Close()
	})
	w.configure("one")
	for _, z := range []string{"n1", "n2", "s1", "s2"} {
		for _, service := range []string{"one", "two"} {
			if err := w.addEndpoint(z, service); err != nil {
				return err
			}
		}
		for i := range w.options.Hosts {
			if err := w.addHost(z, i, s.Listener.Addr().String()); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *world) addHost(zone string, i int, table string) error {
	r, err := relay.New("127.0.0.1:0", table)
	if err != nil {
		return err
	}
	w.stores = append(w.stores, r)
	w.closers = append(w.closers, r.Close)
	p, err := newProcess(w.ports, w.nextIP(), w.folder, w.options.firstProgram(), fmt.Sprintf("%s-%d", zone, i), zone, regions[zone], r.Addr().String())
	if err != nil {
		return err
	}
	p.report = w.ledger.fail
	if err := p.start(); err != nil {
		return err
	}
	w.processes = append(w.processes, p)
	w.closers = append(w.closers, func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.end(time.Second)
	})
	return nil
}

// nextIP returns the loopback address of the next host. Each has its own, by which the relays
// before endpoints tell hosts apart.
func (w *world) nextIP() netip.Addr {
	const perBlock = 250
	n := len(w.processes)
	return netip.AddrFrom4([4]byte{127, 0, byte(1 + n/perBlock), byte(1 + n%perBlock)})
}

func (w *world) addEndpoint(zone, service string) error {
	const slots = 4
	var err error
	way := (*relay.Relay)(nil)
	e, startErr := desk.Start(desk.Options{
		ID:      fmt.Sprintf("i-%s-%s-%d", zone, service, len(w.endpoints)),
		Service: service,
		Zone:    zone,
		Slots:   slots,
		Work:    20 * time.Millisecond,
		Table:   w.table,
		Runs:    w.runs,
		Crash: func(q *http.Request) time.Duration {
			return w.crash(way, q)
		},
		Address: func(own string) string {
			r, relayErr := relay.New("127.0.0.1:0", own)
			if relayErr != nil {
				err = relayErr
				return own
			}
			way = r
			w.ways = append(w.ways, r)
			w.closers = append(w.closers, r.Close)
			return r.Addr().String()
		},
	})
	if startErr != nil {
		return startErr
	}
	w.endpoints = append(w.endpoints, e)
	w.closers = append(w.closers, e.Stop)
	return err
}

// configure puts the next version in force.
func (w *world) configure(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 1 + w.random.IntN(3)
	w.service = service
	w.table.Put("op", "config", desk.Configuration(w.version, service))
}

// usable reports whether every host answers look-ups.
func (w *world) usable() bool {
	for _, p := range w.processes {
		a, err := http.Get("http://" + p.lookups + "/resolve?name=" + desk.Host + "&zone=n1&region=north")
		if err != nil {
			return false
		}
		a.Body.Close()
		if a.StatusCode != http.StatusOK {
			return false
		}
		a, err = http.Get("http://" + p.callers + "/none")
		if err != nil {
			return false
		}
		a.Body.Close()
		if a.StatusCode != http.StatusNotFound {
			return false
		}
	}
	return true
}

func (w *world) until(d time.Duration, f func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

// calm ends all faults and checks what holds without any: nearly all requests are
// served, by the newest configuration, and a leaving endpoint gets nothing.
func (w *world) calm() {
	w.table.Set(rows.Faults{})
	w.withdrawLimits()
	w.endWords()
	w.heal(nil)
	for _, r := range append(append([]*relay.Relay{}, w.stores...), w.ways...) {
		r.Refuse(false)
		r.SetDelay(0)
	}
	time.Sleep(recoverTime)
	w.configure("two")
	leaving := w.endpoints[1]
	leaving.Drain()
	time.Sleep(applyTime)
	w.checkApplied()
	time.Sleep(drainTime - applyTime)
	drained := time.Now()
	asked, served, _ := w.ledger.counts()
	time.Sleep(calmTime - recoverTime)
	asked2, served2, _ := w.ledger.counts()
	if n, k := asked2-asked, served2-served; float64(k) < calmShare*float64(n)-clients {
		w.ledger.note(func() {
			w.ledger.broken = append(w.ledger.broken, fmt.Sprintf("%d of %d requests were served in calm times", k, n))
		})
	}
	if t := w.runs.LastArrival("i-n1-two-1"); t.After(drained) {
		w.ledger.note(func() {
			w.ledger.broken = append(w.ledger.broken, fmt.Sprintf("a leaving endpoint got a request %s late", t.Sub(drained)))
		})
	}
	for i := range w.endpoints {
		if i%2 == 0 && w.runs.LastArrival(fmt.Sprintf("i-%s-one-%d", []string{"n1", "n2", "s1", "s2"}[i/2], i)).After(drained) {
			w.ledger.note(func() {
				w.ledger.broken = append(w.ledger.broken, "an old configuration is in force")
			})
		}
	}
}

// settle checks what holds whatever happened: what may not be repeated ran at most
// once, what was said not to have run did not, and repeats were few.
func (w *world) settle() {
	w.settleRepeats("one")
	w.settleRepeats("two")
	w.settleLimits()
	w.settleDeadly()
	w.settleLosses()
	w.settleStrands()
	w.settleWords()
	for _, id := range w.ledger.unsafe {
		if n := w.runs.Of(id); n > 1 {
			w.ledger.broken = append(w.ledger.broken, fmt.Sprintf("%s ran %d times", id, n))
		}
	}
	for _, id := range w.ledger.notRun {
		if w.runs.Of(id) > 0 && strings.Contains(id, "-") && w.once(id) {
			w.ledger.broken = append(w.ledger.broken, id+" ran, though its client was told that it did not")
		}
	}
}

// settleRepeats checks the repeats at a service in each window: together the hosts keep
// within a part of the requests of that window, the one before it, or the one half a window
// before it, whichever has most, and the slack.
func (w *world) settleRepeats(service string) {
	s := w.runs.Repeats(service)
	for i, end := range s {
		begin := end.Add(-repeatWindow)
		n := i + 1 - before(s, begin)
		asked := 0
		for _, shift := range []time.Duration{0, repeatWindow / 2, repeatWindow} {
			asked = max(asked, before(w.ledger.asks, end.Add(-shift))-before(w.ledger.asks, begin.Add(-shift)))
		}
		if bound := repeatRatio*float64(asked) + repeatSlack; float64(n) > bound {
			w.ledger.broken = append(w.ledger.broken, fmt.Sprintf("%d repeats at %s in %s, for %d requests", n, service, repeatWindow, asked))
			return
		}
	}
}

// before returns how many times of an ordered list lie before one.
func before(s []time.Time, t time.Time) int {
	return sort.Search(len(s), func(i int) bool {
		return !s[i].Before(t)
	})
}

func (w *world) once(id string) bool {
	for _, x := range w.ledger.unsafe {
		if x == id {
			return true
		}
	}
	return false
}

func (w *world) close() {
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
}

func (w *world) keepLogs() {
	const mode = 0o600
	for _, p := range w.processes {
		path := filepath.Join(w.options.Logs, fmt.Sprintf("seed-%d-%s.log", w.options.Seed, p.name))
		if err := os.WriteFile(path, append(p.log.Bytes(), p.errors.Bytes()...), mode); err != nil {
			fmt.Fprintln(os.Stderr, "heatherford-soak:", err)
		}
	}
}
