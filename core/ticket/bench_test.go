package ticket_test

import (
	"testing"

	"heatherford/core/ticket"
)

func BenchmarkTicketSeal(b *testing.B) {
	k, _ := ticket.Keyring{}.Rotate(start)
	b.ReportAllocs()
	for b.Loop() {
		t := newTicket()
		t.ID = ticket.NewID()
		if _, ok := k.Seal(t, start); !ok {
			b.Fatal("not sealed")
		}
	}
}

func BenchmarkTicketOpen(b *testing.B) {
	k, _ := ticket.Keyring{}.Rotate(start)
	s, _ := k.Seal(newTicket(), start)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := k.Open(s); err != nil {
			b.Fatal(err)
		}
	}
}
