package quarantine_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/quarantine"
)

// blocked returns two lists on which a request is blocked for the software.
func blocked(f quarantine.Fingerprint) (a, b *quarantine.List) {
	a, b = newList(), newList()
	for i := range quarantine.BlockAfter {
		a.RecordCrash(crash(fmt.Sprint("e", i), at(i)), []quarantine.Fingerprint{f})
	}
	b.Merge(a.Reports(0, 0, at(3)), at(3))
	return a, b
}

// TestTrialOfOtherSoftware guards against a request that stays blocked although the upstream was
// mended, and against one that crashes endpoints of each further version: there are few trials,
// one at a time.
func TestTrialOfOtherSoftware(t *testing.T) {
	c := qt.New(t)
	f := fingerprint("/a")
	a, b := blocked(f)
	tell := func(now time.Time) {
		a.Merge(b.Reports(0, 0, now), now)
		b.Merge(a.Reports(0, 0, now), now)
	}
	c.Check(a.BeginTrial(f, "x0", software, at(4)), qt.IsFalse)
	c.Check(a.BeginTrial(f, "x0", "", at(4)), qt.IsFalse)
	c.Check(b.Block(f, at(4)).Tries("desk v2"), qt.IsTrue)
	c.Check(b.Block(f, at(4)).Allows("desk v2"), qt.IsFalse)
	trials, now := 0, at(4)
	for i := range 20 {
		s, x := fmt.Sprint("desk v", i/3+2), fmt.Sprint("x", i)
		for _, l := range []*quarantine.List{a, b} {
			if !l.BeginTrial(f, x, s, now) {
				continue
			}
			trials++
			tell(now)
			c.Check(a.Block(f, now).Tries("desk v99"), qt.IsFalse)
			c.Check(b.Block(f, now).Tries("desk v99"), qt.IsFalse)
			l.RecordCrash(quarantine.Crash{
				Incarnation: x,
				Software:    s,
				At:          now.Add(time.Millisecond),
			}, []quarantine.Fingerprint{f})
		}
		tell(now.Add(time.Second))
		now = now.Add(20 * time.Second)
		c.Check(a.Block(f, now).Allows(s) || b.Block(f, now).Allows(s), qt.IsFalse)
		c.Check(a.Block(f, now).Tries(s) || b.Block(f, now).Tries(s), qt.IsFalse)
	}
	// The users allow three retries in all.
	c.Check(trials, qt.Equals, 2)
}

// TestCompletedTrial checks that a completed run lets a request in for the software that ran it,
// at all hosts, until an endpoint of this software crashes.
func TestCompletedTrial(t *testing.T) {
	c := qt.New(t)
	f := fingerprint("/a")
	a, b := blocked(f)
	c.Assert(a.BeginTrial(f, "x", "desk v2", at(4)), qt.IsTrue)
	a.RecordRun(f, run("desk v2", at(5)))
	b.Merge(a.Reports(0, 0, at(6)), at(6))
	for _, l := range []*quarantine.List{a, b} {
		c.Check(l.Block(f, at(7)).Allows("desk v2"), qt.IsTrue)
		c.Check(l.Block(f, at(7)).Tries("desk v2"), qt.IsFalse)
		c.Check(blocks(l, f, at(7)), qt.IsTrue)
	}
	b.RecordCrash(quarantine.Crash{
		Incarnation: "x",
		Software:    "desk v2",
		At:          at(8),
	}, []quarantine.Fingerprint{f})
	a.Merge(b.Reports(0, 0, at(9)), at(9))
	for _, l := range []*quarantine.List{a, b} {
		c.Check(l.Block(f, at(10)).Allows("desk v2"), qt.IsFalse)
		c.Check(l.Block(f, at(60)).Tries("desk v2"), qt.IsFalse)
	}
}

// TestUnknownSoftware checks that a crash of unknown software blocks a request everywhere, and
// that a run there clears it everywhere, as between hosts that tell no software apart.
func TestUnknownSoftware(t *testing.T) {
	c := qt.New(t)
	f := fingerprint("/a")
	for _, s := range []string{"", strings.Repeat("v", 1000)} {
		a, _ := blocked(f)
		a.RecordCrash(quarantine.Crash{
			Incarnation: "x",
			Software:    s,
			At:          at(4),
		}, []quarantine.Fingerprint{f})
		c.Check(a.BeginTrial(f, "y", "desk v2", at(5)), qt.IsFalse)
		c.Check(a.Block(f, at(5)).Allows("desk v2"), qt.IsFalse)
	}
	a, b := blocked(f)
	d := time.Second
	a.Merge([]quarantine.Report{{
		Request:      f,
		CompletedAge: &d,
	}}, at(5))
	c.Check(a.Block(f, at(6)), qt.IsNil)
	c.Check(a.Reports(0, 0, at(6))[0].CompletedAge, qt.IsNotNil)
	c.Assert(b.BeginTrial(f, "x", "desk v2", at(4)), qt.IsTrue)
	b.RecordRun(f, run("desk v2", at(5)))
	// Such a host would send the request to what it crashes.
	c.Check(b.Reports(0, 0, at(6))[0].CompletedAge, qt.IsNil)
}

// TestBadTrials checks that ages out of range and long names neither use up the trials nor let
// a request in.
func TestBadTrials(t *testing.T) {
	c := qt.New(t)
	f := fingerprint("/a")
	a, _ := blocked(f)
	long := strings.Repeat("x", 1000)
	a.Merge([]quarantine.Report{{
		Request: f,
		Runs: map[string]time.Duration{
			"desk v1": -time.Hour,
			"desk v2": 1000 * time.Hour,
			long:      0,
		},
		Trials: map[string]time.Duration{
			"a":  -time.Hour,
			"b":  1000 * time.Hour,
			"":   0,
			long: 0,
		},
	}}, at(4))
	c.Check(blocks(a, f, at(5)), qt.IsTrue)
	c.Check(a.Block(f, at(5)).Allows("desk v2"), qt.IsFalse)
	c.Check(a.Block(f, at(5)).Allows(long), qt.IsFalse)
	c.Check(a.Block(f, at(5)).Tries("desk v2"), qt.IsTrue)
}

// TestRetrial guards against a request that stays blocked although it crashes nothing, and against
// one that crashes endpoint after endpoint of the software by which it was blocked: three trials
// in all, each after a longer pause.
func TestRetrial(t *testing.T) {
	c := qt.New(t)
	f := fingerprint("/a")
	for _, innocent := range []bool{false, true} {
		l, _ := blocked(f)
		trials := []time.Duration{}
		for now := at(2); now.Before(at(600)) && l.Block(f, now) != nil; now = now.Add(100 * time.Millisecond) {
			x := fmt.Sprint("x", len(trials))
			if !l.BeginRetrial(f, x, software, now) {
				c.Check(l.Block(f, now).RetryAt.After(now), qt.IsTrue)
				continue
			}
			trials = append(trials, now.Sub(at(2)))
			c.Check(l.BeginRetrial(f, "y", software, now), qt.IsFalse)
			if innocent {
				l.RecordRun(f, run(software, now.Add(time.Second)))
				continue
			}
			l.RecordCrash(crash(x, now.Add(time.Second)), []quarantine.Fingerprint{f})
		}
		if innocent {
			c.Check(trials, qt.HasLen, 1)
			c.Check(l.Block(f, at(600)), qt.IsNil)
			continue
		}
		c.Check(trials, qt.HasLen, 3)
		c.Check(trials[0] < 3*time.Second, qt.IsTrue)
		c.Check(trials[1]-trials[0] < trials[2]-trials[1], qt.IsTrue)
		c.Check(l.Block(f, at(600)), qt.IsNotNil)
	}
}

// TestRetrialsAreTold checks that trials at one host count at all, and that those before a run
// that ended the block do not.
func TestRetrialsAreTold(t *testing.T) {
	c := qt.New(t)
	f := fingerprint("/a")
	a, b := blocked(f)
	c.Assert(a.BeginRetrial(f, "x", software, at(5)), qt.IsTrue)
	b.Merge(a.Reports(0, 0, at(5)), at(5))
	c.Check(b.BeginRetrial(f, "y", software, at(6)), qt.IsFalse)
	c.Check(b.Block(f, at(6)).Trials, qt.Equals, 1)
	before := a.Reports(0, 0, at(6))
	a.RecordRun(f, run(software, at(6)))
	b.Merge(a.Reports(0, 0, at(7)), at(7))
	b.Merge(before, at(7))
	for i := range quarantine.BlockAfter {
		b.RecordCrash(crash(fmt.Sprint("again", i), at(20)), []quarantine.Fingerprint{f})
	}
	c.Check(b.Block(f, at(20)).Trials, qt.Equals, 0)
	c.Check(b.BeginRetrial(f, "z", software, at(20)), qt.IsTrue)
}

// TestNoRetrialBesideOtherSoftware checks that nothing is risked on software that crashed while
// other software runs the request, or if it is not known which software crashed.
func TestNoRetrialBesideOtherSoftware(t *testing.T) {
	c := qt.New(t)
	f := fingerprint("/a")
	l := newList()
	for i := range quarantine.BlockAfter {
		l.RecordCrash(quarantine.Crash{
			Incarnation: fmt.Sprint("e", i),
			At:          at(0),
		}, []quarantine.Fingerprint{f})
	}
	c.Check(l.Block(f, at(60)).TriesAgain(""), qt.IsFalse)
	c.Check(l.Block(f, at(60)).TriesAgain(software), qt.IsFalse)
}

// TestOneTrialAtAnEndpoint checks that an endpoint tries one request at a time, and guards against
// further ones that wait although the first has run: it may stay blocked for other software.
func TestOneTrialAtAnEndpoint(t *testing.T) {
	c := qt.New(t)
	l := newList()
	f, g := fingerprint("/a"), fingerprint("/b")
	for i := range quarantine.BlockAfter {
		l.RecordCrash(crash(fmt.Sprint("e", i), at(0)), []quarantine.Fingerprint{f, g})
	}
	c.Assert(l.BeginTrial(f, "x", "desk v2", at(1)), qt.IsTrue)
	c.Check(l.BeginTrial(g, "x", "desk v2", at(2)), qt.IsFalse)
	l.RecordRun(f, quarantine.Run{
		Incarnation: "x",
		Software:    "desk v2",
		At:          at(2),
	})
	c.Check(l.BeginTrial(g, "x", "desk v2", at(2).Add(100*time.Millisecond)), qt.IsFalse)
	c.Check(blocks(l, f, at(3)), qt.IsTrue)
	c.Check(l.BeginTrial(g, "x", "desk v2", at(3)), qt.IsTrue)
}
