package grant

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newCalm returns a world without faults whose grants have settled.
func newCalm(c *qt.C) *world {
	w := newWorld(c)
	c.Assert(w.until(10*time.Second, func() bool {
		return w.may("e0") == 5 && w.may("e1") == 5
	}) < 10*time.Second, qt.IsTrue)
	return w
}

// until lets time pass until f, and returns how much did.
func (w *world) until(limit time.Duration, f func() bool) time.Duration {
	began := w.now
	for w.now-began < limit && !f() {
		w.advance(20*time.Millisecond, func() int { return faultNone })
	}
	return w.now - began
}

// may returns how many requests all live processes may send to the endpoint.
func (w *world) may(endpoint string) int {
	n := 0
	for _, p := range w.live() {
		r := p.ledger(endpoint).Right()
		if p.clock().Before(r.Until) {
			n += r.Full.Slots
		} else {
			n += r.Smaller.Slots
		}
	}
	return n
}

// owner returns the process that the endpoint's row names.
func (w *world) owner(endpoint string) *process {
	for _, p := range w.procs {
		if h := p.machine.held[endpoint]; h != nil {
			return p
		}
	}
	return nil
}

// TestGrantTakeOver checks how long an endpoint is out of use after its owner's
// death, and that all of it is in use once the dead host is off the list.
func TestGrantTakeOver(t *testing.T) {
	c := qt.New(t)
	w := newCalm(c)
	p := w.owner("e0")
	p.dead = true
	took := w.until(10*time.Second, func() bool { return w.may("e0") > 0 })
	c.Assert(took > 2*time.Second && took <= 2700*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
	c.Assert(w.may("e0"), qt.Equals, 2)
	w.hosts = without(w.hosts, p.name)
	took = w.until(20*time.Second, func() bool { return w.may("e0") == 5 })
	c.Assert(took <= longKind+3*time.Second, qt.IsTrue, qt.Commentf("%v", took))
}

// TestGrantHandOver checks that a leaving host hands over what it holds, and how
// long the endpoint is out of use.
func TestGrantHandOver(t *testing.T) {
	c := qt.New(t)
	w := newCalm(c)
	p := w.owner("e1")
	p.machine.Leave()
	c.Assert(w.until(10*time.Second, func() bool { return w.may("e1") == 0 }) < time.Second, qt.IsTrue)
	took := w.until(10*time.Second, func() bool { return w.may("e1") == 5 })
	c.Assert(took < time.Second, qt.IsTrue, qt.Commentf("%v", took))
	c.Assert(w.owner("e1").name, qt.Not(qt.Equals), p.name)
	c.Assert(p.machine.Left(p.clock()), qt.IsTrue)
}

// TestGrantOutage checks that all of an endpoint is in use again, on two hosts,
// soon after the platform has gone, and on one after it is back.
func TestGrantOutage(t *testing.T) {
	c := qt.New(t)
	w := newCalm(c)
	w.down = true
	owner := w.owner("e0")
	standby := w.procs[owner.machine.held["e0"].row.Standby]
	took := w.until(10*time.Second, func() bool { return standby.ledger("e0").Right().Smaller.Slots == 2 })
	c.Assert(took < 3*time.Second, qt.IsTrue, qt.Commentf("%v", took))
	c.Assert(owner.ledger("e0").Right().Full.Slots, qt.Equals, 3)
	c.Assert(w.may("e0"), qt.Equals, 5)
	w.down = false
	took = w.until(20*time.Second, func() bool { return owner.ledger("e0").Right().Full.Slots == 5 })
	c.Assert(took < 3*time.Second, qt.IsTrue, qt.Commentf("%v", took))
}

// TestCapRaise checks that a raised cap is in use soon after every host knows it,
// and not before.
func TestCapRaise(t *testing.T) {
	c := qt.New(t)
	w := newCalm(c)
	w.confirm(12, 4, 0)
	aware, unaware := w.owner("e0"), w.owner("e1")
	aware.learn()
	took := w.until(5*time.Second, func() bool { return w.may("e0") > 5 })
	c.Assert(took, qt.Equals, 5*time.Second)
	unaware.learn()
	took = w.until(5*time.Second, func() bool { return w.may("e0") == 6 && w.may("e1") == 6 })
	c.Assert(took < time.Second, qt.IsTrue, qt.Commentf("%v", took))
}

// TestGrantLearn checks that a host that starts while the platform is down learns
// the owners from the others, and that all learn which host goes on after an
// owner's death.
func TestGrantLearn(t *testing.T) {
	c := qt.New(t)
	w := newCalm(c)
	owner := w.owner("e0")
	standby := owner.machine.held["e0"].row.Standby
	third := slices.DeleteFunc(slices.Clone(w.names), func(n string) bool {
		return n == owner.name || n == standby
	})[0]
	w.down = true
	w.procs[third].dead = true
	w.start(third)
	p := w.procs[third]
	p.machine.SetHosts(nil, p.clock())
	p.machine.SetAlive(w.hosts)
	took := w.until(10*time.Second, func() bool { return p.machine.Serving()["e0"] == owner.name })
	c.Assert(took < 2*time.Second, qt.IsTrue, qt.Commentf("%v", took))
	w.until(4*time.Second, func() bool { return false })
	owner.dead = true
	p.machine.SetAlive(without(w.hosts, owner.name))
	c.Assert(p.machine.Serving()["e0"], qt.Equals, standby)
}
