package quarantine_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/quarantine"
)

var start = time.Unix(1_000_000, 0)

func newList() *quarantine.List {
	return quarantine.New(func(string, ...any) {})
}

func fingerprint(target string) quarantine.Fingerprint {
	c := quarantine.Content{
		Method: "GET",
		Host:   "desk.example",
		Target: target,
	}
	return c.Fingerprint()
}

// software is what the endpoints run.
const software = "desk v1"

func crash(incarnation string, at time.Time) quarantine.Crash {
	return quarantine.Crash{
		Incarnation: incarnation,
		Software:    software,
		At:          at,
	}
}

// run is a run at an endpoint that does not crash.
func run(software string, at time.Time) quarantine.Run {
	return quarantine.Run{
		Incarnation: "sound",
		Software:    software,
		At:          at,
	}
}

// blocks reports whether a request is blocked for the software that endpoints run, and may not
// be tried there.
func blocks(l *quarantine.List, f quarantine.Fingerprint, now time.Time) bool {
	b := l.Block(f, now)
	return b != nil && !b.Allows(software) && !b.Tries(software)
}

// at returns a time some seconds after the start.
func at(seconds int) time.Time {
	return start.Add(time.Duration(seconds) * time.Second)
}

// TestBlockedAfterCrashes guards against a request that takes down endpoint after endpoint:
// the third crash blocks it, whichever hosts saw them, and nothing else that ran there.
func TestBlockedAfterCrashes(t *testing.T) {
	c := qt.New(t)
	a, b := newList(), newList()
	deadly, popular := fingerprint("/deadly"), fingerprint("/popular")
	for i := range quarantine.BlockAfter {
		c.Assert(blocks(a, deadly, at(i)), qt.IsFalse)
		host := []*quarantine.List{a, b}[i%2]
		host.RecordCrash(crash(fmt.Sprint("e", i), at(i)), []quarantine.Fingerprint{deadly, popular})
		host.RecordRun(popular, run(software, at(i).Add(time.Millisecond)))
		a.Merge(b.Reports(0, 0, at(i)), at(i))
		b.Merge(a.Reports(0, 0, at(i)), at(i))
	}
	for _, l := range []*quarantine.List{a, b} {
		c.Check(blocks(l, deadly, at(4)), qt.IsTrue)
		c.Check(blocks(l, popular, at(4)), qt.IsFalse)
		c.Check(blocks(l, fingerprint("/other"), at(4)), qt.IsFalse)
	}
}

// TestTwoCrashesBlockNothing guards against an innocent request that is refused since it was in
// flight at two crashes by chance; the users' bound allows three.
func TestTwoCrashesBlockNothing(t *testing.T) {
	c := qt.New(t)
	l := newList()
	f := fingerprint("/innocent")
	for i := range 2 {
		l.RecordCrash(crash(fmt.Sprint("e", i), at(i)), []quarantine.Fingerprint{f})
		c.Check(blocks(l, f, at(i)), qt.IsFalse)
	}
	l.RecordCrash(crash("e2", at(2)), []quarantine.Fingerprint{f})
	c.Check(blocks(l, f, at(2)), qt.IsTrue)
}

// TestOneCrashCountsOnce has several hosts see the same crash.
func TestOneCrashCountsOnce(t *testing.T) {
	c := qt.New(t)
	a, b := newList(), newList()
	f := fingerprint("/a")
	for i, l := range []*quarantine.List{a, b, a, b} {
		l.RecordCrash(crash("e1", at(i)), []quarantine.Fingerprint{f})
	}
	a.Merge(b.Reports(0, 0, at(5)), at(5))
	c.Check(a.Crashes(f), qt.Equals, 1)
}

// TestCompletedRunClears checks that a completed run clears a blocked request at all hosts,
// and that a crash that is reported late does not count again.
func TestCompletedRunClears(t *testing.T) {
	c := qt.New(t)
	a, b := newList(), newList()
	f := fingerprint("/a")
	for i := range quarantine.BlockAfter {
		a.RecordCrash(crash(fmt.Sprint("e", i), at(i)), []quarantine.Fingerprint{f})
	}
	b.Merge(a.Reports(0, 0, at(5)), at(5))
	c.Assert(blocks(b, f, at(5)), qt.IsTrue)
	before := a.Reports(0, 0, at(5))
	a.RecordRun(f, run(software, at(6)))
	b.Merge(a.Reports(0, 0, at(7)), at(7))
	c.Check(blocks(b, f, at(7)), qt.IsFalse)
	b.Merge(before, at(5))
	c.Check(blocks(b, f, at(8)), qt.IsFalse)
}

// TestForgottenWithoutRequests checks that a request stays blocked as long as it keeps
// coming, at any host, and is forgotten some time after.
func TestForgottenWithoutRequests(t *testing.T) {
	c := qt.New(t)
	a, b := newList(), newList()
	f := fingerprint("/a")
	for i := range quarantine.BlockAfter {
		a.RecordCrash(crash(fmt.Sprint("e", i), start), []quarantine.Fingerprint{f})
	}
	now := start
	for range 10 {
		now = now.Add(quarantine.Memory / 2)
		b.Merge(a.Reports(0, 0, now), now)
		c.Assert(blocks(b, f, now), qt.IsTrue)
		a.Merge(b.Reports(0, 0, now), now)
		a.Expire(now)
		c.Assert(blocks(a, f, now), qt.IsTrue)
	}
	now = now.Add(quarantine.Memory + time.Second)
	a.Expire(now)
	c.Check(blocks(a, f, now), qt.IsFalse)
	c.Check(a.Empty(), qt.IsTrue)
}

// TestBoundedMemory checks that requests in flight at many crashes neither fill the memory
// nor push a blocked request off the list.
func TestBoundedMemory(t *testing.T) {
	c := qt.New(t)
	l := newList()
	deadly := fingerprint("/deadly")
	for i := range quarantine.BlockAfter {
		l.RecordCrash(crash(fmt.Sprint("e", i), start), []quarantine.Fingerprint{deadly})
	}
	for i := range 10_000 {
		l.RecordCrash(crash(fmt.Sprint("x", i), at(1)), []quarantine.Fingerprint{fingerprint(fmt.Sprint("/", i))})
	}
	c.Check(blocks(l, deadly, at(2)), qt.IsTrue)
	const most = 1024
	c.Check(len(l.Reports(0, 0, at(2))) <= most, qt.IsTrue)
	seen := map[quarantine.Fingerprint]bool{}
	for range most/16 + 1 {
		for _, r := range l.Reports(16, quarantine.ToZone, at(2)) {
			seen[r.Request] = true
		}
	}
	c.Check(seen, qt.HasLen, len(l.Reports(0, 0, at(2))))
}

// TestBadReports checks that ages out of range and long names change nothing.
func TestBadReports(t *testing.T) {
	c := qt.New(t)
	f := fingerprint("/a")
	long := make([]byte, 1000)
	for _, r := range []quarantine.Report{
		{
			Request: f,
			Crashes: map[string]time.Duration{
				"a": -time.Hour,
				"b": 1000 * time.Hour,
				"":  0,
			},
		},
		{
			Request: f,
			SeenAge: -time.Second,
			Crashes: map[string]time.Duration{
				"a": 0,
				"b": 0,
				"c": 0,
			},
		},
		{
			Request: f,
			Crashes: map[string]time.Duration{
				string(long): 0,
			},
		},
	} {
		l := newList()
		l.Merge([]quarantine.Report{r}, start)
		c.Check(l.Crashes(f), qt.Equals, 0)
	}
	x := quarantine.Report{}
	c.Check(json.Unmarshal([]byte(`{"request":"00"}`), &x), qt.IsNotNil)
}

// TestFingerprint checks that each part of a request counts, and that parts do not run into
// each other.
func TestFingerprint(t *testing.T) {
	c := qt.New(t)
	seen := map[quarantine.Fingerprint]bool{}
	all := []quarantine.Content{
		{},
		{Method: "GET"},
		{Host: "GET"},
		{Target: "GET"},
		{Caller: "GET"},
		{Object: "GET"},
		{Body: []byte("GET")},
		{Method: "G", Host: "ET"},
		{Method: "GE", Host: "T"},
	}
	for i := range all {
		seen[all[i].Fingerprint()] = true
	}
	c.Check(seen, qt.HasLen, len(all))
}

// TestNewsIsToldFirst guards against hosts that hear late of a request that crashes endpoints,
// since heartbeats hold a few of all those that were in flight at crashes: what is blocked, on
// trial or cleared goes first.
func TestNewsIsToldFirst(t *testing.T) {
	c := qt.New(t)
	a, b := newList(), newList()
	for i := range 900 {
		a.RecordCrash(crash(fmt.Sprint("x", i/10), at(i/90)), []quarantine.Fingerprint{fingerprint(fmt.Sprint("/", i))})
	}
	deadly := []quarantine.Fingerprint{}
	for i := range 6 {
		deadly = append(deadly, fingerprint(fmt.Sprint("/deadly", i)))
	}
	tell := func(now time.Time) {
		for range 2 {
			b.Merge(a.Reports(12, quarantine.ToOthers, now), now)
		}
	}
	for i := range quarantine.BlockAfter {
		a.RecordCrash(crash(fmt.Sprint("e", i), at(20+i)), deadly)
	}
	tell(at(23))
	for _, f := range deadly {
		c.Check(blocks(b, f, at(23)), qt.IsTrue)
	}
	c.Assert(a.BeginRetrial(deadly[0], "t", software, at(30)), qt.IsTrue)
	tell(at(30))
	c.Check(b.Block(deadly[0], at(30)).Trials, qt.Equals, 1)
	a.RecordRun(deadly[0], run(software, at(31)))
	a.RecordRun(deadly[0], run(software, at(31).Add(300*time.Millisecond)))
	tell(at(32))
	c.Check(b.Block(deadly[0], at(33)), qt.IsNil)
	// The others are told in turn beside them.
	for range 300 {
		b.Merge(a.Reports(12, quarantine.ToOthers, at(33)), at(33))
	}
	c.Check(b.Reports(0, 0, at(33)), qt.HasLen, 906)
}

// TestRunsNeedNoWord checks that nothing is told of a request that has run since its only crash,
// and that other requests that are not blocked are told a few times.
func TestRunsNeedNoWord(t *testing.T) {
	c := qt.New(t)
	l := newList()
	f, g := fingerprint("/ran"), fingerprint("/once")
	l.RecordCrash(crash("e", at(0)), []quarantine.Fingerprint{f, g})
	l.RecordRun(f, run(software, at(1)))
	told := 0
	for range 20 {
		for _, r := range l.Reports(12, quarantine.ToZone, at(2)) {
			c.Check(r.Request, qt.Equals, g)
			told++
		}
	}
	c.Check(told, qt.Equals, 3)
	// Another audience has heard nothing yet.
	c.Check(l.Reports(12, quarantine.ToOthers, at(2)), qt.HasLen, 1)
}
