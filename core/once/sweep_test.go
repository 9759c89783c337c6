package once

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"heatherford/core/store"
	"heatherford/core/ticket"
	"heatherford/standin/platform"
)

// TestClaimSweep checks that a sweep deletes the expired rows and no others.
func TestClaimSweep(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	p := platform.NewTable()
	o, _ := newTestOnce(p, now)
	put := func(id string, expires time.Time) {
		p.Commit(store.Transaction{
			Writes: []store.Write{
				{
					Key: ticket.TicketRowPrefix + "1/" + id,
					Value: ticket.Row{
						ExpiresAt: expires,
					}.Encode(),
				},
			},
		})
	}
	put("old", now)
	put("live", now.Add(time.Second))
	o.sweepPrefix(context.Background(), ticket.TicketRowPrefix+"1/")
	rows := p.Read(store.Query{
		Prefixes: []string{ticket.TicketRowPrefix},
	})
	c.Assert(rows, qt.HasLen, 1)
	c.Assert(rows[0].Key, qt.Equals, ticket.TicketRowPrefix+"1/live")
}
