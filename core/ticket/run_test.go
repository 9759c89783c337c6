package ticket_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"heatherford/core/code"
	"heatherford/core/ticket"
)

// TestMain sets the default seed and number of checks of rapid; flags on the command
// line override them.
func TestMain(m *testing.M) {
	for n, v := range map[string]string{
		"rapid.checks":     "3000",
		"rapid.seed":       "1",
		"rapid.steps":      "60",
		"rapid.nofailfile": "true",
	} {
		if err := flag.Set(n, v); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}

// check asserts what must hold after every step.
func (w *model) check(t *rapid.T) {
	if w.ran > 1 {
		t.Fatalf("ran %d times", w.ran)
	}
	if w.ran == 0 {
		return
	}
	for _, o := range w.replies {
		if o.Code.Outcome() == code.NotRun && o.Code != code.KeyMismatch {
			t.Fatalf("ran, but a caller received %d %s", o.Code, o.Reason)
		}
	}
}

// testModel runs random steps on the model.
func testModel(t *rapid.T, w *model) {
	host := rapid.IntRange(0, 2)
	deliver := func(t *rapid.T) {
		if len(w.messages) > 0 {
			i := rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")
			w.deliver(i, rapid.Bool().Draw(t, "again"), drawOutcome(t))
		}
	}
	t.Repeat(map[string]func(*rapid.T){
		"copy": func(t *rapid.T) {
			w.send(message{
				kind:   arrival,
				to:     rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(t, "host"),
				digest: rapid.SampledFrom([]string{digest, digest, digest, "other"}).Draw(t, "digest"),
				wait:   rapid.SampledFrom([]time.Duration{0, time.Second, time.Minute}).Draw(t, "wait"),
			})
		},
		"deliver": deliver,
		"deliver the newest": func(t *rapid.T) {
			if len(w.messages) > 0 {
				w.deliver(len(w.messages)-1, false, drawOutcome(t))
			}
		},
		"deliver another": deliver,
		"lose": func(t *rapid.T) {
			if len(w.messages) > 0 {
				i := rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")
				w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
			}
		},
		"disturb": func(t *rapid.T) {
			i := host.Draw(t, "host")
			switch rapid.SampledFrom([]string{"crash", "pause", "abandon", "give up"}).Draw(t, "how") {
			case "crash":
				w.crash(i)
			case "pause":
				w.hosts[i].paused = !w.hosts[i].paused
			case "abandon":
				w.abandon(i)
			case "give up":
				w.timeOutClaim(i)
			}
		},
		"time": func(t *rapid.T) {
			w.advance(time.Duration(rapid.SampledFrom([]int{1, 10, 60, 130, 200}).Draw(t, "seconds")) * time.Second)
		},
		"": w.check,
	})
}

func TestTicketClaimedModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		testModel(t, newModel(false, ticket.Claimed))
	})
}

func TestTicketMemoryOnlyModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		testModel(t, newModel(false, ticket.MemoryOnly))
	})
}

func TestClaimOwnKeyModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		testModel(t, newModel(true, ticket.Claimed))
	})
}

// TestClaimAfterTombstone claims a ticket after another host has written a tombstone
// for it, as a home does that was paused meanwhile.
func TestClaimAfterTombstone(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	k := ticket.Ticket{
		ID:        "t",
		Mode:      ticket.Claimed,
		ExpiresAt: now.Add(ticket.Lifetime),
	}
	r, a := ticket.NewRun(k, digest).AddCopy(now, now.Add(time.Minute))
	c.Assert(a, qt.Equals, ticket.Claim)
	r, a = r.Claimed(now, ticket.Conflicted, ticket.Tombstone(k, "h1", "i1"))
	c.Assert(a, qt.Equals, ticket.Reply)
	c.Assert(r.Outcome.Code, qt.Equals, code.NotRunTombstone)
}

// TestClaimWonLate commits a claim after the deadline: the request is not dispatched.
func TestClaimWonLate(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	k := ticket.Ticket{
		ID:        "t",
		Mode:      ticket.Claimed,
		ExpiresAt: now.Add(ticket.Lifetime),
	}
	r, _ := ticket.NewRun(k, digest).AddCopy(now, now.Add(time.Second))
	r, a := r.Claimed(now.Add(time.Second), ticket.Committed, ticket.Row{})
	c.Assert(a, qt.Equals, ticket.Reply)
	c.Assert(r.Outcome.Code, qt.Equals, code.DeadlinePassed)
}
