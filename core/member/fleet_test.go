package member_test

import (
	"fmt"
	"net/netip"
	"time"

	"heatherford/core/member"
	"heatherford/core/store"
)

// period is the time between probes of one host.
const period = 500 * time.Millisecond

// fleet simulates daemons that each have a View and probe each other by function
// calls.
type fleet struct {
	now   time.Time
	list  []store.Host
	views map[string]*member.View
	// processes maps the peer addresses of running processes to their hosts'
	// names.
	processes map[netip.AddrPort]string
	// cut reports whether messages between two hosts are lost.
	cut func(a, b string) bool
	// platformCut reports whether a host cannot reach the platform.
	platformCut func(a string) bool
	names       []string
}

func newFleet(n int) *fleet {
	f := &fleet{
		now:         time.Unix(10000, 0),
		views:       map[string]*member.View{},
		processes:   map[netip.AddrPort]string{},
		cut:         func(string, string) bool { return false },
		platformCut: func(string) bool { return false },
	}
	for i := range n {
		f.list = append(f.list, host(i, i))
	}
	for i := range n {
		f.start(i, f.list[i])
	}
	return f
}

// host returns the host with number i at the address with number a.
func host(i, a int) store.Host {
	return store.Host{
		Name:          fmt.Sprintf("h%02d", i),
		Zone:          fmt.Sprintf("zone-%d", i%4),
		Region:        fmt.Sprintf("region-%d", i%2),
		State:         store.HostLive,
		CallerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(a)}), 1),
		PeerAddress:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(a)}), 2),
	}
}

func (f *fleet) start(seed int, h store.Host) {
	f.startAs(seed, h, uint64(f.now.UnixNano()))
}

func (f *fleet) startAs(seed int, h store.Host, incarnation uint64) {
	v := member.New(member.Options{
		Self:        h,
		Incarnation: incarnation,
		Seed:        uint64(seed),
		Now:         f.now,
	})
	if f.views[h.Name] == nil {
		f.names = append(f.names, h.Name)
	}
	f.views[h.Name] = v
	f.processes[h.PeerAddress] = h.Name
}

// kill ends the process of a host. Probes of its address are not answered any
// more.
func (f *fleet) kill(name string) {
	delete(f.views, name)
	for a, n := range f.processes {
		if n == name {
			delete(f.processes, a)
		}
	}
}

// run advances the time by d in steps of one period.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(period)
		for _, n := range f.names {
			if v := f.views[n]; v != nil {
				f.runPeriod(n, v)
			}
		}
	}
}

func (f *fleet) runPeriod(name string, v *member.View) {
	if !f.platformCut(name) {
		v.SetListed(f.now, f.list)
	}
	v.Expire(f.now)
	h, ok := v.NextProbe()
	if !ok {
		return
	}
	if f.exchange(name, v, h) {
		return
	}
	for _, r := range v.Relays(h.Name) {
		w := f.views[r.Name]
		if w != nil && f.exchange(name, v, r) && f.exchange(r.Name, w, h) {
			return
		}
	}
	v.RecordFailedProbe(f.now, h.Name, false)
}

// exchange sends a message to the address of h and, if there is one, the answer
// back. It reports whether any host answered.
func (f *fleet) exchange(name string, v *member.View, h store.Host) bool {
	n, ok := f.processes[h.PeerAddress]
	if !ok || f.cut(name, n) || f.cut(n, name) {
		return false
	}
	if n != h.Name {
		v.RecordReplaced(f.now, h.Name)
		return true
	}
	w := f.views[n]
	g := v.Gossip(n)
	w.RecordMessage(f.now, g[0])
	w.Merge(f.now, g[1:])
	a := w.Gossip(name)
	v.RecordMessage(f.now, a[0])
	v.Merge(f.now, a[1:])
	return true
}

// states counts the views that have the host in each state, without its own view.
func (f *fleet) states(name string) map[member.State]int {
	m := map[member.State]int{}
	for n, v := range f.views {
		if n == name {
			continue
		}
		for _, k := range v.Statuses() {
			if k.Host.Name == name {
				m[k.State]++
			}
		}
	}
	return m
}
