package grant

import (
	"fmt"
	"slices"
	"time"

	"heatherford/core/intent"
	"heatherford/core/quota"
	"heatherford/core/store"
	"heatherford/core/strict"
	"heatherford/standin/platform"
)

// world simulates several machines that use one table. Time passes only in
// advance; each process reads it on a clock of its own.
type world struct {
	t     reporter
	now   time.Duration
	table *platform.Table
	hosts []store.Host
	// names are those of all hosts, on the platform's list or not.
	names     []string
	processes map[string]*process
	// versions are all confirmed versions, the oldest first.
	versions []*intent.Version
	down     bool
	// inFlight are the requests that the endpoints are processing.
	inFlight []*sentRequest
	// lateCommits reach the table after their sender was told that they failed.
	lateCommits []*Commit
	started     int
	peerCuts    map[string]bool
}

// reporter is a test or a rapid check.
type reporter interface {
	Logf(format string, args ...any)
	Fatalf(format string, args ...any)
}

// process is one run of a daemon.
type process struct {
	world   *world
	name    string
	id      string
	machine *Machine
	ledgers map[string]*quota.Ledger
	paused  bool
	dead    bool
	// platformCut is true while the process cannot reach the platform.
	platformCut bool
	// inbox holds the messages that arrive while the process is paused, and slow
	// answers.
	inbox []func()
	// rate is how fast the process's clock runs, in thousandths.
	rate   time.Duration
	offset time.Duration
}

type sentRequest struct {
	endpoint string
	caps     []quota.CapName
	// ends is when the endpoint ends the request at the latest, but for endpointLag.
	ends   time.Duration
	sender *process
	entry  *quota.Reservation
	// version is the newest one that the sender knew when it sent the request.
	version uint64
}

const (
	worldHosts = 3
	worldSlots = 6
	worldSteps = 100
	// endpointLag is how far an endpoint's clock is behind.
	endpointLag = 30 * time.Millisecond
	longKind    = 4 * time.Second
	worldLink   = quota.CapName("link/west/east")
	worldRegion = "east"
)

func newWorld(t reporter) *world {
	w := &world{
		t:         t,
		now:       time.Hour,
		table:     platform.NewTable(),
		processes: map[string]*process{},
		peerCuts:  map[string]bool{},
	}
	for i := range worldHosts {
		w.names = append(w.names, fmt.Sprintf("h%d", i))
	}
	w.confirm(10, 4, 0)
	for _, n := range w.names {
		w.start(n)
		w.hosts = append(w.hosts, w.processes[n].entry())
	}
	for _, p := range w.live() {
		p.machine.SetHosts(w.hosts, p.clock())
	}
	return w
}

// confirm adds a version. Bit i of leaving makes endpoint i leave.
func (w *world) confirm(regionCap, linkCap, leaving int) {
	d := &intent.Declaration{
		Kinds: []intent.Kind{
			{
				Name:     "k",
				Upstream: "u",
				Deadline: strict.Duration(longKind),
			},
		},
		Regions: []intent.Region{
			{
				Name:  worldRegion,
				Zones: []string{"east-0", "east-1"},
				Cap:   regionCap,
			},
		},
		Links: []intent.Link{
			{
				From: "west",
				To:   worldRegion,
				Cap:  linkCap,
			},
		},
		Upstreams: []intent.Upstream{
			{
				Name: "u",
			},
		},
	}
	for i := range 2 {
		d.Upstreams[0].Endpoints = append(d.Upstreams[0].Endpoints, intent.Endpoint{
			Name:    fmt.Sprintf("e%d", i),
			Zone:    fmt.Sprintf("east-%d", i),
			Slots:   worldSlots,
			Leaving: leaving&(1<<i) != 0,
		})
	}
	w.versions = append(w.versions, &intent.Version{
		Number:      uint64(len(w.versions) + 1),
		Declaration: d,
	})
}

func (w *world) start(name string) {
	w.started++
	p := &process{
		world:   w,
		name:    name,
		id:      fmt.Sprintf("%s-%d", name, w.started),
		ledgers: map[string]*quota.Ledger{},
		rate:    time.Duration(1000 + (w.started*3)%9 - 4),
		offset:  time.Duration(w.started) * 17 * time.Minute,
	}
	p.machine = New(Options{
		Self:        name,
		Incarnation: p.id,
		Started:     p.clock(),
		Timing:      StandardTiming,
		Ledger:      p.ledger,
	})
	p.machine.SetVersion(w.versions[len(w.versions)-1])
	p.machine.SetHosts(w.hosts, p.clock())
	w.processes[name] = p
}

// entry returns the host's entry in the platform's list.
func (p *process) entry() store.Host {
	i := slices.Index(p.world.names, p.name)
	return store.Host{
		Name:   p.name,
		Zone:   fmt.Sprintf("east-%d", i%2),
		Region: worldRegion,
		State:  store.HostLive,
	}
}

func (p *process) ledger(endpoint string) *quota.Ledger {
	if p.ledgers[endpoint] == nil {
		p.ledgers[endpoint] = &quota.Ledger{}
	}
	return p.ledgers[endpoint]
}

// clock returns the time on the process's clock.
func (p *process) clock() time.Time {
	return time.Unix(0, 0).Add(p.world.now*p.rate/1000 + p.offset)
}

// instant returns the simulated time at which the process's clock shows t.
func (p *process) instant(t time.Time) time.Duration {
	return (t.Sub(time.Unix(0, 0)) - p.offset) * 1000 / p.rate
}

func (p *process) runs() bool {
	return !p.dead && !p.paused
}

// deliver runs f in the process now, or puts it in the inbox if the process is
// paused or the answer is slow. A dead process drops it.
func (p *process) deliver(slow bool, f func()) {
	switch {
	case p.dead:
	case p.paused || slow:
		p.inbox = append(p.inbox, f)
	default:
		f()
	}
}

// live returns the processes that run, ordered by name.
func (w *world) live() []*process {
	s := []*process{}
	for _, n := range w.names {
		if w.processes[n].runs() {
			s = append(s, w.processes[n])
		}
	}
	return s
}

// settle carries out effects until there are none.
func (w *world) settle(fault func() int) {
	for range 50 {
		idle := true
		for _, p := range w.live() {
			for _, e := range p.machine.TakeEffects() {
				idle = false
				w.carryOut(p, e, fault)
			}
		}
		if idle {
			return
		}
	}
}

// advance moves the time and lets every running process do what is due.
func (w *world) advance(d time.Duration, fault func() int) {
	w.now += d
	w.expire()
	for _, p := range w.live() {
		p.machine.Tick(p.clock())
	}
	w.settle(fault)
}

// expire ends the requests whose deadlines have passed: a running sender ends its
// own; the endpoint, whose clock is behind, ends the others.
func (w *world) expire() {
	w.inFlight = slices.DeleteFunc(w.inFlight, func(f *sentRequest) bool {
		if f.sender.runs() {
			if f.ends <= w.now {
				f.sender.ledger(f.endpoint).Release(f.entry)
			}
			return f.ends <= w.now
		}
		return f.ends+endpointLag <= w.now
	})
}

// send lets every running process send all requests that its ledgers admit.
func (w *world) send(profile int) {
	for i, p := range w.live() {
		for _, e := range []string{"e0", "e1"} {
			for n := range worldSlots + 1 {
				w.sendOne(p, e, (profile>>(2*i))&3, n)
			}
		}
	}
}

// The kinds of requests that a sender sends.
const (
	sendNothing = iota
	sendShort
	sendLong
	sendMixed
)

func (w *world) sendOne(p *process, endpoint string, profile, n int) {
	d := 300 * time.Millisecond
	caps := []quota.CapName(nil)
	switch {
	case profile == sendNothing:
		return
	case profile == sendLong:
		d = longKind
	case profile == sendMixed && n%2 == 0:
		d = 1800 * time.Millisecond
		caps = []quota.CapName{worldLink}
	}
	deadline := p.clock().Add(min(d, p.machine.MaxDuration(endpoint)))
	f, refusal := p.ledger(endpoint).Reserve(p.clock(), quota.Request{
		Deadline: deadline,
		Caps:     caps,
		Rank:     n % 2,
	})
	if refusal != quota.Allowed {
		return
	}
	w.inFlight = append(w.inFlight, &sentRequest{
		endpoint: endpoint,
		caps:     caps,
		ends:     p.instant(deadline),
		sender:   p,
		entry:    f,
		version:  p.machine.version.Number,
	})
}

// finish ends the requests of every running process whose bit is set.
func (w *world) finish(bits int) {
	live := w.live()
	w.inFlight = slices.DeleteFunc(w.inFlight, func(f *sentRequest) bool {
		i := slices.Index(live, f.sender)
		if i < 0 || bits&(1<<i) == 0 {
			return false
		}
		f.sender.ledger(f.endpoint).Release(f.entry)
		return true
	})
}

// check fails the test if the endpoints hold more requests than any version allows
// from the oldest to the newest that a process knows or that a request in flight
// was sent under.
func (w *world) check() {
	oldest := uint64(len(w.versions))
	newest := uint64(1)
	note := func(v uint64) {
		oldest = min(oldest, v)
		newest = max(newest, v)
	}
	for _, p := range w.processes {
		note(p.machine.version.Number)
	}
	total, link := 0, 0
	of := map[string]int{}
	for _, f := range w.inFlight {
		note(f.version)
		of[f.endpoint]++
		total++
		if len(f.caps) > 0 {
			link++
		}
	}
	regionCap, linkCap := 0, 0
	for _, v := range w.versions[oldest-1 : newest] {
		regionCap = max(regionCap, v.Declaration.Regions[0].Cap)
		linkCap = max(linkCap, v.Declaration.Links[0].Cap)
	}
	for e, n := range of {
		if n > worldSlots {
			w.fail("%s holds %d requests in %d slots", e, n, worldSlots)
		}
	}
	if total > regionCap {
		w.fail("the region holds %d requests over its cap of %d", total, regionCap)
	}
	if link > linkCap {
		w.fail("the link holds %d requests over its cap of %d", link, linkCap)
	}
}

// fail logs the state and ends the test.
func (w *world) fail(format string, args ...any) {
	for _, f := range w.inFlight {
		w.t.Logf("%v in flight at %s from %s at version %d until %v", w.now, f.endpoint, f.sender.id, f.version, f.ends)
	}
	for _, n := range w.names {
		p := w.processes[n]
		w.t.Logf("%s at version %d, dead %v, paused %v: %+v", p.id, p.machine.version.Number, p.dead, p.paused, p.machine.Allowances())
	}
	for _, r := range w.table.Read(store.Query{Prefixes: []string{RowPrefix}}) {
		w.t.Logf("%s", r.Value)
	}
	w.t.Fatalf(format, args...)
}
