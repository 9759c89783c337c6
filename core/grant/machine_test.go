package grant

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherford/core/store"
)

// TestGrantBounds checks that no endpoint gets more requests than it has slots, and
// no region or link more than its cap. It runs random interleavings of pauses, lost
// and late answers, outages, deaths, restarts, partitions and changes of the
// declaration, on clocks that differ.
func TestGrantBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkBounds(t, actions, faults)
	})
}

// TestCapVersions checks the same while declarations change often, some hosts miss
// some of the changes, and hosts die.
func TestCapVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkBounds(t, versionActions, versionFaults)
	})
}

func checkBounds(t *rapid.T, actions []action, faults []int) {
	w := newWorld(t)
	fault := func() int {
		return rapid.SampledFrom(faults).Draw(t, "fault")
	}
	for range 20 {
		w.advance(100*time.Millisecond, func() int { return faultNone })
	}
	host := rapid.SampledFrom(w.names)
	for range worldSteps {
		w.act(
			rapid.SampledFrom(actions).Draw(t, "action"),
			host.Draw(t, "host"),
			host.Draw(t, "other"),
		)
		d := rapid.SampledFrom([]time.Duration{20, 50, 100, 100, 200, 700}).Draw(t, "ms")
		w.advance(d*time.Millisecond, fault)
		w.finish(rapid.SampledFrom(finishMasks).Draw(t, "finish"))
		w.send(rapid.SampledFrom(profiles).Draw(t, "send"))
		w.check()
	}
}

// faults lists each fault as often as its weight in a draw.
var faults = []int{
	faultNone, faultNone, faultNone, faultNone, faultNone, faultNone, faultNone,
	faultNone, faultNone, faultNone, faultNone, faultNone, faultNone, faultNone,
	faultLost, faultLate, faultSlow,
}

// versionFaults is faults for TestCapVersions.
var versionFaults = []int{
	faultNone, faultNone, faultNone, faultNone, faultNone, faultNone, faultSlow,
}

// finishMasks are the sets of hosts whose requests end; profiles are the
// combinations of what each host sends.
var (
	finishMasks = upTo(1 << worldHosts)
	profiles    = upTo(1 << (2 * worldHosts))
)

func upTo(n int) []int {
	s := make([]int, n)
	for i := range s {
		s[i] = i
	}
	return s
}

// action is something that happens to a host or to all.
type action string

const (
	nothing         action = "nothing"
	kill            action = "kill"
	restart         action = "restart"
	pause           action = "pause"
	resume          action = "resume"
	wake            action = "wake"
	cutPlatform     action = "cut platform"
	restorePlatform action = "restore platform"
	outage          action = "outage"
	recovery        action = "recovery"
	cutPeers        action = "cut peers"
	restorePeers    action = "restore peers"
	unlist          action = "unlist"
	list            action = "list"
	change          action = "change"
	learn           action = "learn"
	land            action = "land"
	leave           action = "leave"
)

// actions lists each action as often as its weight in a draw.
var actions = []action{
	nothing, nothing, nothing, nothing, nothing, nothing, nothing, nothing,
	nothing, nothing, nothing, nothing, nothing, nothing, nothing, nothing,
	kill, restart, restart, pause, resume, resume, wake, wake,
	cutPlatform, restorePlatform, restorePlatform, outage, recovery, recovery,
	cutPeers, restorePeers, restorePeers, unlist, list, list,
	change, learn, learn, land, leave,
}

// versionActions lists the actions of TestCapVersions in the same way.
var versionActions = []action{
	nothing, nothing, nothing, nothing, nothing, nothing, nothing, nothing,
	change, change, learn, learn, learn, learn, kill, restart, restart, wake,
	pause, resume, resume,
}

func (w *world) act(a action, host, other string) {
	p := w.processes[host]
	if a != nothing {
		w.t.Logf("%v %s %s (%s)", w.now, a, host, other)
	}
	switch a {
	case nothing:
	case kill:
		p.dead = true
	case restart:
		if p.dead {
			w.start(host)
		}
	case pause:
		p.paused = true
	case resume:
		p.paused = false
		p.wake()
	case wake:
		p.wake()
	case cutPlatform, restorePlatform:
		p.platformCut = a == cutPlatform
	case outage, recovery:
		w.down = a == outage
	case cutPeers, restorePeers:
		w.peerCuts[host+other] = a == cutPeers
	case unlist:
		if p.dead {
			w.relist(without(w.hosts, host))
		}
	case list:
		w.relist(append(without(w.hosts, host), p.entry()))
	case change:
		w.change(other)
	case learn:
		p.learnVersion()
	case leave:
		if p.runs() {
			p.machine.StartLeaving()
		}
	case land:
		w.applyLateCommits()
	}
}

// wake delivers the messages in the inbox.
func (p *process) wake() {
	if !p.runs() {
		return
	}
	s := p.inbox
	p.inbox = nil
	for _, f := range s {
		f()
	}
}

// relist changes the platform's list and tells the running processes.
func (w *world) relist(hosts []store.Host) {
	w.hosts = hosts
	for _, p := range w.live() {
		p.machine.SetHosts(w.hosts, p.clock())
	}
}

// change confirms another version, which all running hosts but one learn at once.
func (w *world) change(unaware string) {
	const variants = 5
	i := len(w.versions) % variants
	regionCap := []int{6, 6, 10, 12, 5}[i]
	w.confirm(regionCap, []int{4, 4, 5, 2, 3}[i], []int{1, 2, 0, 0, 2}[i])
	for _, name := range w.names {
		if name != unaware {
			w.processes[name].learnVersion()
		}
	}
}

// learnVersion gives the process the newest version.
func (p *process) learnVersion() {
	if p.runs() {
		p.machine.SetVersion(p.world.versions[len(p.world.versions)-1])
	}
}

// applyLateCommits lets the late commits reach the table.
func (w *world) applyLateCommits() {
	for _, c := range w.lateCommits {
		w.table.Commit(c.Transaction)
	}
	w.lateCommits = nil
}
