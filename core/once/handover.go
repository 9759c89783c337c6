package once

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"heatherford/core/code"
	"heatherford/core/store"
	"heatherford/core/ticket"
	"heatherford/core/timeline"
	"heatherford/core/work"
)

const (
	// maxSuccessors is how many hosts are tried as the successor of a home, in
	// the order of their rendezvous hashes.
	maxSuccessors = 2
	// maxHandoverBytes bounds the bodies of all answers in a handover.
	maxHandoverBytes = 8 << 20
	// handoverRetention is how long a successor keeps a handover.
	handoverRetention = ticket.Lifetime + ticket.Retention
)

// Handover is what a stopping home sends to its successor: the outcomes of its
// tickets. The home dispatches nothing more, so a ticket without an entry was not
// run and never will be.
type Handover struct {
	Home        string          `json:"home"`
	Incarnation string          `json:"incarnation"`
	Entries     []HandoverEntry `json:"entries"`
}

// HandoverEntry is the outcome of one ticket.
type HandoverEntry struct {
	Key     string         `json:"key"`
	Digest  string         `json:"digest"`
	Outcome ticket.Outcome `json:"outcome"`
}

// receivedHandovers holds the handovers that this host has received. It is safe
// for concurrent use.
type receivedHandovers struct {
	mu sync.Mutex
	// byIncarnation holds the handovers by the incarnation of the sender.
	byIncarnation map[string]receivedHandover
}

// receivedHandover is one handover, with its entries by row key.
type receivedHandover struct {
	expiresAt time.Time
	entries   map[string]HandoverEntry
}

// TakeOver stores the handover of another home, and removes expired ones.
func (o *Once) TakeOver(h Handover) {
	m := make(map[string]HandoverEntry, len(h.Entries))
	for _, e := range h.Entries {
		m[e.Key] = e
	}
	now := o.now()
	t := &o.handovers
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, x := range t.byIncarnation {
		if now.After(x.expiresAt) {
			delete(t.byIncarnation, i)
		}
	}
	t.byIncarnation[h.Incarnation] = receivedHandover{
		expiresAt: now.Add(handoverRetention),
		entries:   m,
	}
	o.options.Record(timeline.Event{
		Kind:    timeline.KindTicket,
		Subject: h.Home,
		Text:    "took over the tickets of a stopping host",
	})
}

// outcome returns the outcome of a ticket if this host has the handover of its
// home. It reports false without one.
func (t *receivedHandovers) outcome(incarnation, key, digest string) (ticket.Outcome, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.byIncarnation[incarnation]
	if !ok {
		return ticket.Outcome{}, false
	}
	e, ok := h.entries[key]
	if !ok {
		return ticket.Failed(code.HostStopping, "once: the home stopped before it ran the work"), true
	}
	return ticket.RowOutcome(ticket.Row{
		Digest:  e.Digest,
		Outcome: &e.Outcome,
	}, digest), true
}

// HandOver stops new rounds, waits until those in progress have ended or ctx has,
// and sends all outcomes to the first successor that accepts them. It returns the
// error of the last successor if none does.
func (o *Once) HandOver(ctx context.Context) error {
	select {
	case <-o.inFlight.drain():
	case <-ctx.Done():
	}
	h := o.handover()
	err := error(nil)
	for _, n := range o.successors(o.options.Host, o.incarnation) {
		err = o.options.HandOver(ctx, n, h)
		if err == nil {
			level.Info(o.options.Log).Log("msg", "once: handed the tickets over to another host", "successor", n.Name, "entries", len(h.Entries))
			return nil
		}
	}
	return err
}

// handover returns the outcomes of this home's tickets. That of work still in
// progress is unknown.
func (o *Once) handover() Handover {
	o.mu.Lock()
	defer o.mu.Unlock()
	h := Handover{
		Home:        o.options.Host,
		Incarnation: o.incarnation,
	}
	size := 0
	for k, e := range o.entries {
		x, ok := e.handover(k)
		if !ok {
			continue
		}
		size += len(x.Outcome.Body)
		if size > maxHandoverBytes {
			x.Outcome = ticket.Outcome{
				Code: x.Outcome.Code,
			}
		}
		h.Entries = append(h.Entries, x)
	}
	return h
}

// handover returns the outcome of the run. It reports false for a caller key.
func (e *entry) handover(key string) (HandoverEntry, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.run.CallerKey {
		// The outcome of a caller key is read from its row.
		return HandoverEntry{}, false
	}
	u := e.run.Outcome
	if e.run.State != ticket.Ended {
		u = ticket.Failed(code.OutcomeUnknown, "once: the home stopped while the work was in progress")
	}
	return HandoverEntry{
		Key:     key,
		Digest:  e.run.Digest,
		Outcome: u,
	}, true
}

// successors returns the hosts that receive the home's tickets, the preferred
// one first. They are chosen by rendezvous hash; hosts with different views of the
// live hosts may choose differently.
func (o *Once) successors(home, incarnation string) []store.Host {
	s := []store.Host{}
	for n, h := range o.options.Snapshot().Hosts {
		if n != home && h.State != store.HostLeaving {
			s = append(s, h)
		}
	}
	score := func(h store.Host) uint64 {
		return xxhash.Sum64String(h.Name + "\x00" + incarnation)
	}
	sort.Slice(s, func(i, j int) bool {
		return score(s[i]) > score(s[j])
	})
	return s[:min(maxSuccessors, len(s))]
}

// forwardToSuccessors forwards a copy to the hosts that may have the home's
// handover. It reports false if none of them answered.
func (o *Once) forwardToSuccessors(ctx context.Context, t ticket.Ticket, c *requestCopy) (*work.Answer, bool, error) {
	for _, h := range o.successors(t.Home, t.Incarnation) {
		if h.Name == o.options.Host {
			continue
		}
		if a, noAnswer, err := o.tryForward(ctx, h.Name, c); !noAnswer {
			return a, true, err
		}
	}
	return nil, false, nil
}
