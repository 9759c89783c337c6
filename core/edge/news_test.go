package edge

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// leaveBound is how long all hosts may take to learn that an endpoint leaves: half of
// the 3 s within which nothing may be sent to it, less what a request may be on its way.
const leaveBound = 1500 * time.Millisecond

// TestRemovalWithoutFetches guards against sending to endpoints that have left, because
// no host can fetch the news in time: it comes with the ticks.
func TestRemovalWithoutFetches(t *testing.T) {
	k := newCluster(t)
	s := []*Edge{}
	for i := range 24 {
		s = append(s, k.start(fmt.Sprint("a", i), "z1"))
	}
	for i := range 14 {
		s = append(s, k.start(fmt.Sprint("b", i), "z2"))
	}
	k.ready(s...)
	set(k, k.unread, "", true)
	before := map[*Edge]int{}
	for _, e := range s {
		before[e] = usable(e)
	}
	k.unlist("e1")
	k.unlist("e3")
	d := k.within(leaveBound, "the endpoints gone everywhere", func() bool {
		for _, e := range s {
			if usable(e) != before[e]-3 {
				return false
			}
		}
		return true
	})
	k.c.Logf("removed everywhere after %s", d)
}

// TestManyRemovalsWithoutFetches guards against the same where a quarter of a large fleet's
// endpoints goes at the same moment.
func TestManyRemovalsWithoutFetches(t *testing.T) {
	k := newCluster(t)
	const many = 80
	k.change(many, "z1", false)
	s := []*Edge{}
	for i := range 14 {
		s = append(s, k.start(fmt.Sprint("a", i), "z1"))
	}
	k.ready(s...)
	set(k, k.unread, "", true)
	before := usable(s[0])
	k.change(many, "z1", true)
	d := k.within(leaveBound, "the endpoints gone everywhere", func() bool {
		for _, e := range s {
			if usable(e) != before-3*many {
				return false
			}
		}
		return true
	})
	k.c.Logf("removed everywhere after %s", d)
}

// TestTickOfAHostlessZone guards against ticks that are too long for a datagram and are
// dropped, so that living hosts are taken for dead: the endpoints of a zone without
// hosts belong to every host, and none tells of them.
func TestTickOfAHostlessZone(t *testing.T) {
	k := newCluster(t)
	for i := range 400 {
		k.list(fmt.Sprint("i-0123456789ab", i), "z2")
	}
	s := []*Edge{}
	for i := range 24 {
		s = append(s, k.start(fmt.Sprint("a", i), "z1"))
	}
	k.ready(s...)
	<-time.After(time.Second)
	const datagram = 60 << 10
	k.c.Check(k.longest.Load() < datagram, qt.IsTrue, qt.Commentf("a tick of %d bytes", k.longest.Load()))
}

// TestTickOfManyEndpoints guards against the same where few hosts own many endpoints: each
// tick tells of some, all of them in turn.
func TestTickOfManyEndpoints(t *testing.T) {
	k := newCluster(t)
	for i := range 1000 {
		k.list(fmt.Sprint("i-0123456789ab", i), "z1")
	}
	a, b := k.start("a", "z1"), k.start("b", "z1")
	k.ready(a, b)
	for i := range 200 {
		k.list(fmt.Sprint("i-0123456789cd", i), "z1")
		k.unlist(fmt.Sprint("i-0123456789ab", i))
	}
	<-time.After(time.Second)
	const datagram = 60 << 10
	k.c.Check(k.longest.Load() < datagram, qt.IsTrue, qt.Commentf("a tick of %d bytes", k.longest.Load()))
	m := a.balancer.Owned(time.Now())
	told := map[string]bool{}
	for round := range len(m)/ownedMost + 1 {
		for id := range inTurn(m, round) {
			told[id] = true
		}
	}
	k.c.Check(told, qt.HasLen, len(m))
}

// TestZoneHeardByOthers guards against taking a living zone for dead where the ticks of
// the own zone's relay are lost on the way to one host: others pass on what it told.
func TestZoneHeardByOthers(t *testing.T) {
	k := newCluster(t)
	s := []*Edge{}
	for i := range 16 {
		s = append(s, k.start(fmt.Sprint("a", i), "z1"))
	}
	for i := range 3 {
		s = append(s, k.start(fmt.Sprint("b", i), "z2"))
	}
	k.ready(s...)
	relay, last := "", (*Edge)(nil)
	for _, m := range s[0].View().Live {
		if m.Zone == "z1" && relay == "" {
			relay = m.Name
		}
		if m.Zone == "z1" {
			last = k.edges[m.Name]
		}
	}
	set(k, k.deaf, [2]string{relay, last.options.Self.Name}, true)
	for range 50 {
		<-time.After(100 * time.Millisecond)
		far := 0
		for _, m := range last.View().Live {
			if m.Zone == "z2" {
				far++
			}
		}
		k.c.Assert(far, qt.Equals, 3)
	}
}
