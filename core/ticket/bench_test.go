package ticket_test

import (
	"testing"

	"heatherford/core/ticket"
)

func BenchmarkTicketSign(b *testing.B) {
	k, _ := ticket.Keyring{}.Rotate(start)
	b.ReportAllocs()
	for b.Loop() {
		t := newTicket()
		t.ID = ticket.NewID()
		if _, ok := k.Sign(t, start); !ok {
			b.Fatal("not sealed")
		}
	}
}

func BenchmarkTicketVerify(b *testing.B) {
	k, _ := ticket.Keyring{}.Rotate(start)
	s, _ := k.Sign(newTicket(), start)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := k.Verify(s); err != nil {
			b.Fatal(err)
		}
	}
}
