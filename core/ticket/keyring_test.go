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

func TestTicketSign(t *testing.T) {
	c := qt.New(t)
	k, changed := ticket.Keyring{}.Rotate(start)
	c.Assert(changed, qt.IsTrue)
	s, ok := k.Sign(newTicket(), start)
	c.Assert(ok, qt.IsTrue)
	x, err := k.Verify(s)
	c.Assert(err, qt.IsNil)
	c.Assert(x, qt.Equals, newTicket())

	// A change of any character makes the token invalid.
	for i := range s {
		b := []byte(s)
		b[i] ^= 1
		_, err := k.Verify(string(b))
		c.Assert(code.Of(err).Outcome(), qt.Equals, code.NotRun, qt.Commentf("%d", i))
	}
	other, _ := ticket.Keyring{}.Rotate(start)
	_, err = other.Verify(s)
	c.Assert(code.Of(err), qt.Equals, code.HostBehind)
}

// TestTicketRotate checks that tickets are signed with a new secret only once every
// host has had time to read it, and with the old one until then.
func TestTicketRotate(t *testing.T) {
	c := qt.New(t)
	first, _ := ticket.Keyring{}.Rotate(start)
	later := start.Add(25 * time.Hour)
	second, changed := first.Rotate(later)
	c.Assert(changed, qt.IsTrue)
	s, _ := second.Sign(newTicket(), later)
	_, err := first.Verify(s)
	c.Assert(err, qt.IsNil)
	s, _ = second.Sign(newTicket(), later.Add(time.Hour))
	_, err = first.Verify(s)
	c.Assert(code.Of(err), qt.Equals, code.HostBehind)
	_, changed = second.Rotate(later.Add(time.Hour))
	c.Assert(changed, qt.IsFalse)
}

// FuzzTicketVerify verifies arbitrary tokens: only those that Sign returned are
// valid.
func FuzzTicketVerify(f *testing.F) {
	k, _ := ticket.Keyring{}.Rotate(start)
	signed, _ := k.Sign(newTicket(), start)
	for _, s := range []string{signed, "", "ht1.", "ht1...", "ht1.a.b.c", signed + ".", signed[:len(signed)-1], "ht2" + signed[3:]} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		c := qt.New(t)
		_, err := k.Verify(s)
		if s == signed {
			c.Assert(err, qt.IsNil)
			return
		}
		c.Assert(code.Of(err).Outcome(), qt.Equals, code.NotRun)
	})
}
