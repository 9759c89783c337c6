package member_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"heatherford/core/member"
	"heatherford/core/store"
)

// detectTime is an upper bound of the time until all hosts of a fleet of 20 have
// declared a failed host dead.
const detectTime = 8 * time.Second

func TestMemberDetectsOnlyFailedHosts(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := qt.New(trial{
			TB:    t,
			rapid: r,
		})
		n := rapid.IntRange(3, 20).Draw(r, "hosts")
		f := newFleet(n)
		f.run(3 * time.Second)
		dead := map[string]bool{}
		for range rapid.IntRange(1, n/3).Draw(r, "deaths") {
			dead[f.list[rapid.IntRange(0, n-1).Draw(r, "dead")].Name] = true
		}
		for d := range dead {
			f.kill(d)
		}
		f.run(detectTime)
		for _, h := range f.list {
			want := member.Alive
			if dead[h.Name] {
				want = member.Dead
			}
			c.Assert(f.states(h.Name)[want], qt.Equals, len(f.views)-btoi(!dead[h.Name]), qt.Commentf("%s", h.Name))
		}
		for _, v := range f.views {
			c.Assert(v.Hosts(), qt.HasLen, n-len(dead))
		}
	})
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func TestMemberCutOffHostDeclaresNoneDead(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := qt.New(trial{
			TB:    t,
			rapid: r,
		})
		n := rapid.IntRange(3, 20).Draw(r, "hosts")
		f := newFleet(n)
		f.run(3 * time.Second)
		isolated := f.list[rapid.IntRange(0, n-1).Draw(r, "lone")].Name
		cut := true
		f.cut = func(a, b string) bool { return cut && (a == isolated || b == isolated) }
		f.platformCut = func(a string) bool { return cut && a == isolated }
		f.run(time.Duration(rapid.IntRange(10, 60).Draw(r, "seconds")) * time.Second)

		// The others declare it dead. It declares none of them dead and knows that
		// it is cut off.
		c.Assert(f.states(isolated)[member.Dead], qt.Equals, n-1)
		c.Assert(f.views[isolated].CutOff(f.now), qt.IsTrue)
		for _, k := range f.views[isolated].Statuses() {
			c.Assert(k.State, qt.Not(qt.Equals), member.Dead)
		}
		for name, v := range f.views {
			c.Assert(v.CutOff(f.now), qt.Equals, name == isolated)
		}
		cut = false
		f.run(detectTime)
		c.Assert(f.states(isolated)[member.Alive], qt.Equals, n-1)
		for _, h := range f.list {
			c.Assert(f.states(h.Name)[member.Alive], qt.Equals, n-1)
		}
	})
}

func TestMemberPartitionHeals(t *testing.T) {
	c := qt.New(t)
	f := newFleet(20)
	f.run(3 * time.Second)
	cut := true
	side := func(name string) bool { return name < "h07" }
	f.cut = func(a, b string) bool { return cut && side(a) != side(b) }
	f.run(30 * time.Second)
	for name, v := range f.views {
		for _, k := range v.Statuses() {
			want := member.Alive
			if side(k.Host.Name) != side(name) {
				want = member.Dead
			}
			c.Assert(k.State, qt.Equals, want)
		}
		c.Assert(v.CutOff(f.now), qt.IsFalse)
	}
	cut = false
	f.run(detectTime)
	for _, h := range f.list {
		c.Assert(f.states(h.Name)[member.Alive], qt.Equals, len(f.list)-1)
	}
}

func TestMemberReplacedHosts(t *testing.T) {
	c := qt.New(t)
	f := newFleet(8)
	f.run(3 * time.Second)

	// A restarted process with a lower incarnation, since its clock went back,
	// becomes alive again.
	f.kill("h03")
	f.run(detectTime)
	f.startAs(3, f.list[3], 1)
	f.run(detectTime)
	c.Assert(f.states("h03")[member.Alive], qt.Equals, 7)

	// A new host has the address of a dead one while the list still contains the
	// old name. The first probe shows that another host answers there.
	f.kill("h05")
	f.start(9, host(9, 5))
	f.run(detectTime)
	c.Assert(f.states("h05")[member.Dead], qt.Equals, 8)
	c.Assert(f.states("h09")[member.Alive], qt.Equals, 7)

	// A host that restarted at another address is found there, though the list
	// still contains the old address.
	f.kill("h06")
	f.start(6, host(6, 60))
	f.run(detectTime)
	c.Assert(f.states("h06")[member.Alive], qt.Equals, 7)
	for name, v := range f.views {
		for _, h := range v.Hosts() {
			if h.Name == "h06" {
				c.Assert(h.PeerAddress, qt.Equals, host(6, 60).PeerAddress, qt.Commentf("seen by %s", name))
			}
		}
	}
}

func TestMemberLeavingHostStaysLeaving(t *testing.T) {
	c := qt.New(t)
	f := newFleet(6)
	f.run(3 * time.Second)
	f.views["h02"].Leave()
	f.run(4 * time.Second)
	for _, v := range f.views {
		for _, h := range v.Hosts() {
			want := store.HostLive
			if h.Name == "h02" {
				want = store.HostLeaving
			}
			c.Assert(h.State, qt.Equals, want)
		}
	}
	// After a suspicion and its refutation it is still leaving.
	f.views["h00"].RecordFailedProbe(f.now, "h02", false)
	f.run(4 * time.Second)
	for _, v := range f.views {
		for _, h := range v.Hosts() {
			c.Assert(h.State == store.HostLeaving, qt.Equals, h.Name == "h02")
		}
	}
}

func TestMemberFewReadersInEachZone(t *testing.T) {
	c := qt.New(t)
	const hosts = 20
	f := newFleet(hosts)
	f.run(3 * time.Second)
	readers := map[string]int{}
	for _, h := range f.list {
		if f.views[h.Name].Reader() {
			readers[h.Zone]++
		}
	}
	c.Assert(readers, qt.DeepEquals, map[string]int{
		"zone-0": 2,
		"zone-1": 2,
		"zone-2": 2,
		"zone-3": 2,
	})
	// If a reader dies, another host of its zone becomes a reader.
	for _, h := range f.list {
		if f.views[h.Name].Reader() {
			f.kill(h.Name)
			break
		}
	}
	f.run(detectTime)
	n := 0
	for _, v := range f.views {
		n += btoi(v.Reader())
	}
	c.Assert(n, qt.Equals, 8)
}

// TestMemberDeathNeedsContactSinceTheSuspicion checks that a daemon without any
// contact since it began to suspect a host does not declare that host dead, since
// it may be cut off itself.
func TestMemberDeathNeedsContactSinceTheSuspicion(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(10000, 0)
	v := member.New(member.Options{
		Self: host(0, 0),
		Now:  now,
	})
	v.SetListed(now, []store.Host{host(0, 0), host(1, 1), host(2, 2)})
	now = now.Add(time.Second)
	v.RecordFailedProbe(now, "h01", false)
	for range 20 {
		now = now.Add(time.Second)
		v.Expire(now)
		c.Assert(v.Statuses()[0].State, qt.Equals, member.Suspect)
	}
	// After contact has returned, the suspected host still gets time to refute.
	v.RecordContact(now.Add(time.Millisecond))
	v.Expire(now.Add(time.Second))
	c.Assert(v.Statuses()[0].State, qt.Equals, member.Suspect)
	v.Expire(now.Add(2 * time.Second))
	c.Assert(v.Statuses()[0].State, qt.Equals, member.Dead)
}
