package grant

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newSettledWorld returns a world without faults in which every endpoint has an
// owner with all its limits.
func newSettledWorld(c *qt.C) *world {
	w := newWorld(c)
	c.Assert(w.until(10*time.Second, func() bool {
		return w.totalAllowed("e0") == 5 && w.totalAllowed("e1") == 5
	}) < 10*time.Second, qt.IsTrue)
	return w
}

// until advances the time until f returns true or the limit is reached, and returns
// how much time passed.
func (w *world) until(limit time.Duration, f func() bool) time.Duration {
	began := w.now
	for w.now-began < limit && !f() {
		w.advance(20*time.Millisecond, func() int { return faultNone })
	}
	return w.now - began
}

// totalAllowed returns how many requests all live processes together may send to
// the endpoint.
func (w *world) totalAllowed(endpoint string) int {
	n := 0
	for _, p := range w.live() {
		r := p.ledger(endpoint).Allowance()
		if p.clock().Before(r.Until) {
			n += r.Full.Slots
		} else {
			n += r.Reduced.Slots
		}
	}
	return n
}

// owner returns the process that owns the endpoint, or nil.
func (w *world) owner(endpoint string) *process {
	for _, p := range w.processes {
		if h := p.machine.owned[endpoint]; h != nil {
			return p
		}
	}
	return nil
}

// TestGrantTakeOver checks how long an endpoint is out of use after its owner's
// death, and that all its limits are in use once the dead host is off the
// platform's list.
func TestGrantTakeOver(t *testing.T) {
	c := qt.New(t)
	w := newSettledWorld(c)
	p := w.owner("e0")
	p.dead = true
	took := w.until(10*time.Second, func() bool { return w.totalAllowed("e0") > 0 })
	c.Assert(took > 2*time.Second && took <= 2700*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
	c.Assert(w.totalAllowed("e0"), qt.Equals, 2)
	w.hosts = without(w.hosts, p.name)
	took = w.until(20*time.Second, func() bool { return w.totalAllowed("e0") == 5 })
	c.Assert(took <= longKind+3*time.Second, qt.IsTrue, qt.Commentf("%v", took))
}

// TestGrantHandOver checks that a leaving host hands over its endpoints, and how
// long an endpoint is out of use meanwhile.
func TestGrantHandOver(t *testing.T) {
	c := qt.New(t)
	w := newSettledWorld(c)
	p := w.owner("e1")
	p.machine.StartLeaving()
	c.Assert(w.until(10*time.Second, func() bool { return w.totalAllowed("e1") == 0 }) < time.Second, qt.IsTrue)
	took := w.until(10*time.Second, func() bool { return w.totalAllowed("e1") == 5 })
	c.Assert(took < time.Second, qt.IsTrue, qt.Commentf("%v", took))
	c.Assert(w.owner("e1").name, qt.Not(qt.Equals), p.name)
	c.Assert(p.machine.HandoverDone(p.clock()), qt.IsTrue)
}

// TestGrantOutage checks that all limits of an endpoint are in use again, on two
// hosts, soon after the platform has failed, and on one host after it is back.
func TestGrantOutage(t *testing.T) {
	c := qt.New(t)
	w := newSettledWorld(c)
	w.down = true
	owner := w.owner("e0")
	standby := w.processes[owner.machine.owned["e0"].row.Standby]
	took := w.until(10*time.Second, func() bool { return standby.ledger("e0").Allowance().Reduced.Slots == 2 })
	c.Assert(took < 3*time.Second, qt.IsTrue, qt.Commentf("%v", took))
	c.Assert(owner.ledger("e0").Allowance().Full.Slots, qt.Equals, 3)
	c.Assert(w.totalAllowed("e0"), qt.Equals, 5)
	w.down = false
	took = w.until(20*time.Second, func() bool { return owner.ledger("e0").Allowance().Full.Slots == 5 })
	c.Assert(took < 3*time.Second, qt.IsTrue, qt.Commentf("%v", took))
}

// TestCapRaise checks that a raised cap is in use soon after every host knows it,
// and not before.
func TestCapRaise(t *testing.T) {
	c := qt.New(t)
	w := newSettledWorld(c)
	w.confirm(12, 4, 0)
	aware, unaware := w.owner("e0"), w.owner("e1")
	aware.learnVersion()
	took := w.until(5*time.Second, func() bool { return w.totalAllowed("e0") > 5 })
	c.Assert(took, qt.Equals, 5*time.Second)
	unaware.learnVersion()
	took = w.until(5*time.Second, func() bool { return w.totalAllowed("e0") == 6 && w.totalAllowed("e1") == 6 })
	c.Assert(took < time.Second, qt.IsTrue, qt.Commentf("%v", took))
}

// TestGrantLearn checks that a host that starts while the platform is down learns
// the owners from other hosts, and learns which host serves the endpoint after the
// owner's death.
func TestGrantLearn(t *testing.T) {
	c := qt.New(t)
	w := newSettledWorld(c)
	owner := w.owner("e0")
	standby := owner.machine.owned["e0"].row.Standby
	third := slices.DeleteFunc(slices.Clone(w.names), func(n string) bool {
		return n == owner.name || n == standby
	})[0]
	w.down = true
	w.processes[third].dead = true
	w.start(third)
	p := w.processes[third]
	p.machine.SetHosts(nil, p.clock())
	p.machine.SetLive(w.hosts)
	took := w.until(10*time.Second, func() bool { return p.machine.Serving()["e0"] == owner.name })
	c.Assert(took < 2*time.Second, qt.IsTrue, qt.Commentf("%v", took))
	w.until(4*time.Second, func() bool { return false })
	owner.dead = true
	p.machine.SetLive(without(w.hosts, owner.name))
	c.Assert(p.machine.Serving()["e0"], qt.Equals, standby)
}
