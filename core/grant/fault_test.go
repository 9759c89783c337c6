package grant

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The tests in this file replay faults that the property tests found.

// TestCapReopened checks that a limit that one version lowers is not raised again
// by the next version before the row has moved to it.
func TestCapReopened(t *testing.T) {
	c := qt.New(t)
	w := newSettledWorld(c)
	p := w.owner("e0")
	w.down = true
	w.confirm(6, 4, 1)
	p.learnVersion()
	c.Assert(p.ledger("e0").Allowance().Full.Slots, qt.Equals, 0)
	w.confirm(6, 4, 2)
	p.learnVersion()
	c.Assert(p.ledger("e0").Allowance().Full.Slots, qt.Equals, 0)
}

// TestCapSkipped checks that a host that skips a version leaves unused what a host
// with that version may use.
func TestCapSkipped(t *testing.T) {
	c := qt.New(t)
	w := newSettledWorld(c)
	aware, skips := w.owner("e0"), w.owner("e1")
	w.confirm(6, 4, 2)
	aware.learnVersion()
	w.confirm(6, 4, 1)
	skips.learnVersion()
	c.Assert(w.totalAllowed("e0")+w.totalAllowed("e1") <= 6, qt.IsTrue, qt.Commentf("%d and %d", w.totalAllowed("e0"), w.totalAllowed("e1")))
}

// withCeded returns a settled world in which the owner of e0 cannot reach the
// platform and has ceded limits to the standby.
func withCeded(c *qt.C) (w *world, owner, standby *process) {
	w = newSettledWorld(c)
	owner = w.owner("e0")
	standby = w.processes[owner.machine.owned["e0"].row.Standby]
	owner.platformCut = true
	took := w.until(5*time.Second, func() bool { return standby.ledger("e0").Allowance().Reduced.Slots == 2 })
	c.Assert(took < 5*time.Second, qt.IsTrue)
	return w, owner, standby
}

// TestCapCeded checks that ceded limits comply with all versions since they were
// ceded.
func TestCapCeded(t *testing.T) {
	c := qt.New(t)
	w, _, standby := withCeded(c)
	w.down = true
	w.confirm(6, 4, 1)
	standby.learnVersion()
	c.Assert(standby.ledger("e0").Allowance().Full.Slots, qt.Equals, 0)
	w.confirm(6, 4, 2)
	standby.learnVersion()
	c.Assert(standby.ledger("e0").Allowance().Full.Slots, qt.Equals, 0)
}

// TestGrantDoubt checks that a host whose claim may be in the table uses no more of
// its ceded limits than the reduced limits of the claim's row.
func TestGrantDoubt(t *testing.T) {
	c := qt.New(t)
	w, owner, standby := withCeded(c)
	for range 100 {
		w.advance(20*time.Millisecond, func() int { return faultLost })
		if len(standby.machine.unresolvedClaims["e0"]) > 0 {
			break
		}
	}
	standby.platformCut = true
	c.Assert(standby.ledger("e0").Allowance().Full.Slots, qt.Equals, 1)
	// The next owner reserves as much.
	r := standby.machine.unresolvedClaims["e0"][0]
	c.Assert(r.OwnerLimits().Reduced().Slots, qt.Equals, 1)
	c.Assert(r.BeyondLease.Slots, qt.Equals, 2)
	c.Assert(owner.ledger("e0").Allowance().Reduced.Slots, qt.Equals, 3)
}

// TestGrantLateCession checks that a cession that arrives after its epoch was
// revoked is refused.
func TestGrantLateCession(t *testing.T) {
	c := qt.New(t)
	w := newSettledWorld(c)
	owner := w.owner("e0")
	h := owner.machine.owned["e0"]
	standby := w.processes[h.row.Standby]
	x := Cede{
		Host:     standby.name,
		Endpoint: "e0",
		Epoch:    h.row.Epoch,
		Serial:   1,
		Version:  1,
		Limits:   h.leased(),
	}
	standby.machine.HandleRevoke(Revoke{
		Host:     standby.name,
		Endpoint: "e0",
		Epoch:    h.row.Epoch,
		Serial:   1,
	}, standby.clock())
	c.Assert(standby.machine.HandleCede(x, standby.clock()).OK, qt.IsFalse)
	x.Serial = 2
	c.Assert(standby.machine.HandleCede(x, standby.clock()).OK, qt.IsTrue)
	standby.machine.HandleRevoke(Revoke{
		Host:     standby.name,
		Endpoint: "e0",
		Epoch:    h.row.Epoch + 1,
	}, standby.clock())
	c.Assert(standby.ledger("e0").Allowance().Full.Slots, qt.Equals, 0)
	x.Serial = 3
	c.Assert(standby.machine.HandleCede(x, standby.clock()).OK, qt.IsFalse)
}

// TestGrantLasting checks that an owner lowers the row's bound on requests that may
// outlast its lease only once those in flight are within it.
func TestGrantLasting(t *testing.T) {
	c := qt.New(t)
	w := newSettledWorld(c)
	p := w.owner("e0")
	for range 3 {
		w.sendOne(p, "e0", sendLong, 0)
	}
	w.until(time.Second, func() bool { return p.machine.owned["e0"].row.BeyondLease.Slots == 4 })
	w.sendOne(p, "e0", sendLong, 0)
	c.Assert(w.inFlight, qt.HasLen, 4)
	for range 20 {
		w.advance(500*time.Millisecond, func() int { return faultNone })
		h := p.machine.owned["e0"]
		c.Assert(p.ledger("e0").Within(p.clock(), h.leaseUntil, h.row.BeyondLease), qt.IsTrue)
		// Keep four long requests in flight.
		for range 4 {
			w.sendOne(p, "e0", sendLong, 0)
		}
	}
	w.finish(7)
	took := w.until(10*time.Second, func() bool { return p.machine.owned["e0"].row.BeyondLease.Slots == 3 })
	c.Assert(took < 6*time.Second, qt.IsTrue, qt.Commentf("%v", took))
}
