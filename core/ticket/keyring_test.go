package ticket_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/code"
	"heatherford/core/ticket"
)

var start = time.Unix(1_000_000, 0).UTC()

func newTicket() ticket.Ticket {
	return ticket.Ticket{
		ID:          "id",
		Home:        "h1",
		Incarnation: "i1",
		Kind:        "deposit",
		Mode:        ticket.Claimed,
		ExpiresAt:   start.Add(ticket.Lifetime),
	}
}

func TestTicketSeal(t *testing.T) {
	c := qt.New(t)
	k, changed := ticket.Keyring{}.Rotate(start)
	c.Assert(changed, qt.IsTrue)
	s, ok := k.Seal(newTicket(), start)
	c.Assert(ok, qt.IsTrue)
	x, err := k.Open(s)
	c.Assert(err, qt.IsNil)
	c.Assert(x, qt.Equals, newTicket())

	// Every changed character makes it invalid.
	for i := range s {
		b := []byte(s)
		b[i] ^= 1
		_, err := k.Open(string(b))
		c.Assert(code.Of(err).Outcome(), qt.Equals, code.NotRun, qt.Commentf("%d", i))
	}
	other, _ := ticket.Keyring{}.Rotate(start)
	_, err = other.Open(s)
	c.Assert(code.Of(err), qt.Equals, code.HostBehind)
}

// TestTicketRotate makes tickets by a new secret only once every host has had
// time to read it, and accepts those of the old one.
func TestTicketRotate(t *testing.T) {
	c := qt.New(t)
	first, _ := ticket.Keyring{}.Rotate(start)
	later := start.Add(25 * time.Hour)
	second, changed := first.Rotate(later)
	c.Assert(changed, qt.IsTrue)
	s, _ := second.Seal(newTicket(), later)
	_, err := first.Open(s)
	c.Assert(err, qt.IsNil)
	s, _ = second.Seal(newTicket(), later.Add(time.Hour))
	_, err = first.Open(s)
	c.Assert(code.Of(err), qt.Equals, code.HostBehind)
	_, changed = second.Rotate(later.Add(time.Hour))
	c.Assert(changed, qt.IsFalse)
}

// FuzzTicketOpen opens arbitrary tokens: nothing but what Seal made is a
// ticket.
func FuzzTicketOpen(f *testing.F) {
	k, _ := ticket.Keyring{}.Rotate(start)
	made, _ := k.Seal(newTicket(), start)
	for _, s := range []string{made, "", "ht1.", "ht1...", "ht1.a.b.c", made + ".", made[:len(made)-1], "ht2" + made[3:]} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		c := qt.New(t)
		_, err := k.Open(s)
		if s == made {
			c.Assert(err, qt.IsNil)
			return
		}
		c.Assert(code.Of(err).Outcome(), qt.Equals, code.NotRun)
	})
}
