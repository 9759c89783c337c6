package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"heatherford/standin/relay"
	"heatherford/standin/rows"
)

// otherFaults is the number of cases of fault, by which they are weighed, without strand and
// foreign.
const otherFaults = 19

// stopTime is how long a host has between the two signals that end it.
const stopTime = 6 * time.Second

// fault brings one fault about, drawn by the seed. Faults overlap, but a host meets
// one of its process at a time.
func (w *world) fault(group *sync.WaitGroup) {
	host := w.random.IntN(len(w.processes))
	way := w.ways[w.random.IntN(len(w.ways))]
	store := w.stores[host]
	d := time.Duration(200+w.random.IntN(1800)) * time.Millisecond
	x := w.random.IntN(otherFaults + w.options.Strand + w.options.Foreign)
	if x >= otherFaults+w.options.Strand {
		w.foreign(group)
		return
	}
	switch x {
	case 0:
		w.on(group, host, "kill", func(p *process) { p.signal(syscall.SIGKILL) })
	case 1:
		w.on(group, host, "stop", func(p *process) {
			w.holdOn(group, p)
			p.signal(syscall.SIGTERM)
		})
	case 2:
		w.pause(group, host, d)
	case 3:
		w.note("cut-endpoint")
		w.harm()
		way.Cut()
	case 4:
		w.note("silence-endpoint")
		w.harm()
		way.Silence()
	case 5:
		w.during(group, "refuse-endpoint", d, func(on bool) { way.Refuse(on) })
	case 6:
		w.during(group, "slow-endpoint", d, delay(way, 80*time.Millisecond))
	case 7:
		w.during(group, "refuse-store", d, func(on bool) {
			store.Refuse(on)
			store.Cut()
		})
	case 8:
		w.note("silence-store")
		store.Silence()
	case 9:
		f := []rows.Faults{{Status: 503}, {Status: 429}, {Silent: true}, {Lost: true}, {Delay: 150 * time.Millisecond}}[w.random.IntN(5)]
		w.during(group, "table", d, func(on bool) {
			if !on {
				f = rows.Faults{}
			}
			w.table.Set(f)
		})
	case 10:
		w.note("forget")
		w.table.Forget()
	case 11:
		w.note("configure")
		w.configure([]string{"one", "two"}[w.random.IntN(2)])
	case 12:
		w.during(group, "reject", d, func(on bool) {
			for _, e := range w.endpoints {
				e.Reject(on)
			}
		})
	case 13, 14:
		w.limit(group)
	case 15, 16:
		w.restore(group, d)
	case 17, 18:
		w.sendDeadly(group)
	default:
		w.strand(group)
	}
}

func delay(r *relay.Relay, d time.Duration) func(bool) {
	return func(on bool) {
		if !on {
			d = 0
		}
		r.SetDelay(d)
	}
}

func (w *world) note(name string) {
	w.faults = append(w.faults, name)
}

// during switches a fault on for a time.
func (w *world) during(group *sync.WaitGroup, name string, d time.Duration, f func(on bool)) {
	w.note(name)
	f(true)
	group.Go(func() {
		time.Sleep(d)
		f(false)
	})
}

// on ends a host's process by a signal and starts it again. It reports false if another fault
// is at work on the host.
func (w *world) on(group *sync.WaitGroup, host int, name string, f func(p *process)) bool {
	if !w.claim(host) {
		return false
	}
	w.note(name)
	p := w.processes[host]
	f(p)
	group.Go(func() {
		defer w.release(host)
		p.end(stopTime)
		if err := p.start(); err != nil {
			w.ledger.note(func() {
				w.ledger.broken = append(w.ledger.broken, fmt.Sprintf("%s does not start: %v", p.name, err))
			})
		}
	})
	return true
}

// pause stops a host's process for a time.
func (w *world) pause(group *sync.WaitGroup, host int, d time.Duration) {
	if !w.claim(host) {
		return
	}
	w.note("pause")
	p := w.processes[host]
	p.signal(syscall.SIGSTOP)
	group.Go(func() {
		defer w.release(host)
		time.Sleep(d)
		p.signal(syscall.SIGCONT)
	})
}

func (w *world) claim(host int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy[host] {
		return false
	}
	w.busy[host] = true
	return true
}

func (w *world) release(host int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.busy, host)
}
