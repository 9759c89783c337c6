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
	// successors is how many hosts are tried as a home's successor, in the
	// order in which all hosts would choose one.
	successors = 2
	// maxHandover bounds the answers that are handed over.
	maxHandover = 8 << 20
	// handoverKeep is how long a successor answers for a home.
	handoverKeep = ticket.Lifetime + ticket.Keep
)

// Handover is what a home leaves to its successor. The home runs nothing more:
// a ticket that is not among the entries was not run and never will be.
type Handover struct {
	Home        string          `json:"home"`
	Incarnation string          `json:"incarnation"`
	Entries     []HandoverEntry `json:"entries"`
}

// HandoverEntry is one run.
type HandoverEntry struct {
	Key     string         `json:"key"`
	Digest  string         `json:"digest"`
	Outcome ticket.Outcome `json:"outcome"`
}

// takenOver holds what other homes have left to this host. It is safe for
// concurrent use.
type takenOver struct {
	mu sync.Mutex
	// homes holds the runs by row key for each incarnation.
	homes map[string]takenHome
}

type takenHome struct {
	until   time.Time
	entries map[string]HandoverEntry
}

// TakeOver takes what another home leaves.
func (o *Once) TakeOver(h Handover) {
	m := make(map[string]HandoverEntry, len(h.Entries))
	for _, e := range h.Entries {
		m[e.Key] = e
	}
	now := o.now()
	t := &o.taken
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, x := range t.homes {
		if now.After(x.until) {
			delete(t.homes, i)
		}
	}
	t.homes[h.Incarnation] = takenHome{
		until:   now.Add(handoverKeep),
		entries: m,
	}
	o.options.Record(timeline.Event{
		Kind:    timeline.KindTicket,
		Subject: h.Home,
		Text:    "took over the tickets of a home that stops",
	})
}

// outcome returns what is known of a ticket whose home was taken over.
func (t *takenOver) outcome(incarnation, key, digest string) (ticket.Outcome, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.homes[incarnation]
	if !ok {
		return ticket.Outcome{}, false
	}
	e, ok := h.entries[key]
	if !ok {
		return ticket.Failed(code.HostStopping, "once: the home stopped before it ran the work"), true
	}
	return ticket.Settle(ticket.Row{
		Digest:  e.Digest,
		Outcome: &e.Outcome,
	}, digest), true
}

// HandOver lets no more work begin, waits for what is in progress, and leaves
// all outcomes to a successor.
func (o *Once) HandOver(ctx context.Context) error {
	select {
	case <-o.drives.seal():
	case <-ctx.Done():
	}
	h := o.handover()
	err := error(nil)
	for _, n := range o.successors(o.options.Self, o.incarnation) {
		err = o.options.HandOver(ctx, n, h)
		if err == nil {
			level.Info(o.options.Log).Log("msg", "once: handed over", "successor", n.Name, "entries", len(h.Entries))
			return nil
		}
	}
	return err
}

// handover returns what this home leaves. Work still in progress is left as
// unknown.
func (o *Once) handover() Handover {
	o.mu.Lock()
	defer o.mu.Unlock()
	h := Handover{
		Home:        o.options.Self,
		Incarnation: o.incarnation,
	}
	size := 0
	for k, e := range o.entries {
		x, ok := e.handover(k)
		if !ok {
			continue
		}
		size += len(x.Outcome.Body)
		if size > maxHandover {
			x.Outcome = ticket.Outcome{
				Code: x.Outcome.Code,
			}
		}
		h.Entries = append(h.Entries, x)
	}
	return h
}

func (e *entry) handover(key string) (HandoverEntry, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.run.Own {
		// Callers' own keys are settled by their rows.
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

// successors returns the hosts that the home's tickets go to, the first choice
// first. Hosts with different views may choose differently.
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
	return s[:min(successors, len(s))]
}

// askSuccessors passes a copy to the hosts that the home may have left its
// tickets to.
func (o *Once) askSuccessors(ctx context.Context, t ticket.Ticket, c *copyOf) (*work.Answer, bool, error) {
	for _, h := range o.successors(t.Home, t.Incarnation) {
		if h.Name == o.options.Self {
			continue
		}
		if a, gone, err := o.tryHome(ctx, h.Name, c); !gone {
			return a, true, err
		}
	}
	return nil, false, nil
}
