package edge

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/registry"
)

// drainedZone is the zone that is drained in tests.
const drainedZone = "z2"

// restoreBound is how long a change may take to reach all hosts after the platform has
// returned from a copy.
const restoreBound = 2 * time.Second

// TestChangeAfterRestore guards against declarations that are never in force: the platform
// returns from a copy, and its counter is below the version that the hosts know.
func TestChangeAfterRestore(t *testing.T) {
	k := newCluster(t)
	s := []*Edge{k.start("a", "z1"), k.start("b", "z1"), k.start("c", "z2"), k.start("d", "z2")}
	k.waitReady(s...)
	k.declare(2, 1)
	kept := k.platform.copy()
	for v := uint64(3); v < 9; v++ {
		k.declare(v, 1)
	}
	k.waitDeclared(8, s...)
	k.platform.restore(kept)
	<-time.After(100 * time.Millisecond)
	k.declare(9, 1)
	k.removeEndpoint("e1")
	k.waitDeclared(9, s...)
	// A record that is missing shortly after the platform's return counts as lapsed for 2 s.
	const lapsed = 2 * time.Second
	k.eventually(restoreBound+lapsed, "the endpoint gone everywhere", func() bool {
		return usableSlots(s[0])+usableSlots(s[1])+usableSlots(s[2])+usableSlots(s[3]) == 2*(3+6)
	})
}

// TestOldNewsAfterRestore guards against what a copy brings back: an older declaration and an
// endpoint that had gone. Hosts that know better keep to that, and one that starts after the
// return learns it before it serves. A drain that was over holds until the operator takes it
// back again, since it may have been written anew.
func TestOldNewsAfterRestore(t *testing.T) {
	k := newCluster(t)
	s := []*Edge{k.start("a", "z1"), k.start("b", "z1"), k.start("c", "z2")}
	k.waitReady(s...)
	k.declare(2, 1)
	k.drainZone(true)
	k.waitDeclared(2, s...)
	k.eventually(restoreBound, "the zone drained", func() bool {
		return usableSlots(s[2]) == 0
	})
	kept := k.platform.copy()
	k.declare(3, 1)
	k.drainZone(false)
	k.removeEndpoint("e1")
	k.waitDeclared(3, s...)
	k.eventually(restoreBound, "the zone in use and the endpoint gone", func() bool {
		return usableSlots(s[2]) == 6 && usableSlots(s[0])+usableSlots(s[1]) == 2*3
	})
	k.platform.restore(kept)
	late := k.start("d", "z1")
	end := time.Now().Add(3 * time.Second)
	for time.Now().Before(end) {
		for _, e := range append(s, late) {
			if !e.Ready() {
				continue
			}
			k.c.Assert(e.View().Table.Declaration.Version, qt.Equals, uint64(3), qt.Commentf("host %s", e.options.Self.Name))
			x := e.Serve(t.Context(), request("/look/1"))
			k.c.Assert(string(x.Body), qt.Not(qt.Equals), "e1", qt.Commentf("host %s", e.options.Self.Name))
		}
		<-time.After(10 * time.Millisecond)
	}
	k.c.Check(late.Ready(), qt.IsTrue)
	k.c.Check(usableSlots(s[2]), qt.Equals, 0)
	// The operator writes again, with versions that were given out before.
	k.drainZone(false)
	k.eventually(restoreBound, "the zone in use again", func() bool {
		return usableSlots(s[2]) == 6
	})
	k.drainZone(true)
	k.declare(4, 1)
	k.waitDeclared(4, append(s, late)...)
	k.eventually(restoreBound, "the zone drained again", func() bool {
		return usableSlots(s[2]) == 0
	})
}

// TestFewReadsAfterRestore guards against a full read by every host when the platform
// returns: its reader reads each part, and the others learn from it. The platform is away
// before, so that all hosts have tried to read.
func TestFewReadsAfterRestore(t *testing.T) {
	k := newCluster(t)
	s := k.startMany(12, "a", "z1")
	k.waitReady(s...)
	kept := k.platform.copy()
	k.declare(2, 1)
	k.waitDeclared(2, s...)
	k.platform.setRefused("", true)
	<-time.After(4 * time.Second)
	k.platform.restore(kept)
	full := k.platform.fullReads.Load()
	k.platform.setRefused("", false)
	k.declare(3, 1)
	k.waitDeclared(3, s...)
	<-time.After(time.Second)
	n := k.platform.fullReads.Load() - full
	// Hosts that ask before they hear of the first read may read too.
	const most = 2 * 2 * int64(registry.NumParts)
	k.c.Logf("%d full reads", n)
	k.c.Check(n <= most, qt.IsTrue, qt.Commentf("%d full reads, at most %d", n, most))
}

// TestHostsListedAfterRestore guards against hosts that no new one finds, as the platform
// has lost their rows.
func TestHostsListedAfterRestore(t *testing.T) {
	k := newCluster(t)
	kept := k.platform.copy()
	s := []*Edge{k.start("a", "z1"), k.start("b", "z1"), k.start("c", "z2")}
	k.waitReady(s...)
	k.platform.restore(kept)
	k.eventually(restoreBound, "all hosts listed", func() bool {
		k.platform.mu.Lock()
		defer k.platform.mu.Unlock()
		return len(k.platform.members) == len(s)
	})
}

// drainZone drains z2 or takes it back into use.
func (k *cluster) drainZone(on bool) {
	k.platform.put(registry.OperatorRecords, drainedZone, registry.Record{
		Removed:     !on,
		DrainedZone: drainedZone,
	})
}

// waitDeclared waits until a declaration is in force at all hosts.
func (k *cluster) waitDeclared(version uint64, s ...*Edge) {
	k.c.Helper()
	k.eventually(restoreBound, "the new declaration everywhere", func() bool {
		for _, e := range s {
			if e.View().Table.Declaration.Version != version {
				return false
			}
		}
		return true
	})
}

// TestVirtualDrainedAnewAfterRestore guards against requests to a zone that the operator has drained
// anew at once after the platform's return. The copy holds an earlier drain, and the end of
// that, which the platform has lost, bears a higher number.
func TestVirtualDrainedAnewAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newCluster(t)
		s := []*Edge{k.start("a", "z1"), k.start("b", "z1"), k.start("c", "z2")}
		k.waitReady(s...)
		k.drainZone(true)
		k.waitDrained(s...)
		kept := k.platform.copy()
		for v := uint64(2); v < 9; v++ {
			k.declare(v, 1)
		}
		k.drainZone(false)
		k.waitDeclared(8, s...)
		k.platform.setRefused("", true)
		<-time.After(2 * time.Second)
		k.platform.restore(kept)
		k.platform.setRefused("", false)
		k.drainZone(true)
		k.waitDrained(s...)
		k.checkDrained(20*time.Second, s...)
	})
}

// TestVirtualDrainWrittenAgainAfterRestore guards against requests to a zone that stays drained. The
// copy lacks the drain, and the operator writes it again while some hosts have read the whole
// part and others have not.
func TestVirtualDrainWrittenAgainAfterRestore(t *testing.T) {
	for _, delay := range []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond, time.Second, 3 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newCluster(t)
				s := append(k.startMany(3, "a", "z1"), k.startMany(3, "b", "z2")...)
				k.waitReady(s...)
				kept := k.platform.copy()
				k.drainZone(true)
				k.waitDrained(s...)
				k.platform.setRefused("", true)
				<-time.After(2 * time.Second)
				k.platform.restore(kept)
				k.platform.setRefused("", false)
				k.checkDrained(delay, s...)
				k.drainZone(true)
				k.checkDrained(20*time.Second, s...)
			})
		})
	}
}

// isDrained reports whether no host sends to endpoints of z2.
func isDrained(s ...*Edge) bool {
	for _, e := range s {
		for _, x := range e.balancer.Targets("desk") {
			if x.Zone == drainedZone {
				return false
			}
		}
	}
	return true
}

// waitDrained waits until z2 is drained at all hosts.
func (k *cluster) waitDrained(s ...*Edge) {
	k.c.Helper()
	k.eventually(restoreBound, "the zone drained", func() bool {
		return isDrained(s...)
	})
}

// checkDrained checks that z2 stays drained at all hosts for d.
func (k *cluster) checkDrained(d time.Duration, s ...*Edge) {
	k.c.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); <-time.After(20 * time.Millisecond) {
		k.c.Assert(isDrained(s...), qt.IsTrue, qt.Commentf("%s before the end", time.Until(end)))
	}
}

// TestVirtualKeptToldAfterRestore guards against requests to a zone that the operator has drained, by
// hosts that have learned of the drain neither from the platform, whose copy lacks it, nor
// from the one host that read it before.
func TestVirtualKeptToldAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newCluster(t)
		s := append(k.startMany(2, "a", "z1"), k.startMany(2, "b", "z2")...)
		k.waitReady(s...)
		kept := k.platform.copy()
		// Only the first host reads, and reaches no other one.
		for _, e := range s[1:] {
			k.platform.setRefused(e.options.Self.Name, true)
		}
		k.isolate(s[0].options.Self.Name, true)
		k.drainZone(true)
		k.waitDrained(s[0])
		k.platform.setRefused("", true)
		<-time.After(2 * time.Second)
		k.platform.restore(kept)
		for _, e := range s[1:] {
			k.platform.setRefused(e.options.Self.Name, false)
		}
		k.platform.setRefused("", false)
		<-time.After(500 * time.Millisecond)
		k.isolate(s[0].options.Self.Name, false)
		k.waitDrained(s...)
		k.checkDrained(5*time.Second, s...)
		k.drainZone(true)
		k.checkDrained(20*time.Second, s...)
	})
}
