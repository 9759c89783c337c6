package ticket_test

import (
	"time"

	"pgregory.net/rapid"

	"heatherford/core/code"
	"heatherford/core/ticket"
)

// model simulates hosts, the platform's table and the messages between them.
// Messages are delivered in any order, late, twice or never. A paused process keeps
// its state and continues later; a crashed one restarts without its state.
type model struct {
	now    time.Time
	ticket ticket.Ticket
	own    bool
	hosts  []*process
	table  *ticket.Row
	// messages are those in flight.
	messages []message
	// ran counts how often an upstream ran the request.
	ran int
	// replies are the outcomes that callers received.
	replies []ticket.Outcome
}

type process struct {
	name        string
	incarnation string
	run         *ticket.Run
	paused      bool
}

type messageKind int

const (
	// arrival is a copy that arrives at a host.
	arrival messageKind = iota
	// commit is a conditional insert sent to the platform.
	commit
	// answered is the platform's answer to a commit.
	answered
	// dispatch is the dispatch of the request by a process that has decided on
	// it.
	dispatch
	// ended is the upstream's answer.
	ended
)

type message struct {
	kind messageKind
	// to is the index of the receiving process. If incarnation is set, only that
	// incarnation takes the message; a commit goes to the platform on behalf of
	// the process.
	to          int
	incarnation string
	row         ticket.Row
	result      ticket.ClaimResult
	outcome     ticket.Outcome
	digest      string
	// wait is the time from a copy's arrival to its deadline.
	wait time.Duration
	// tombstone is true if row is a tombstone, or the answer is that to one.
	tombstone bool
}

const digest = "d"

func newModel(own bool, mode ticket.Mode) *model {
	w := &model{
		now: time.Unix(1_000_000, 0),
		own: own,
	}
	for _, n := range []string{"h0", "h1", "h2"} {
		w.hosts = append(w.hosts, &process{
			name:        n,
			incarnation: n + "-1",
		})
	}
	w.ticket = ticket.Ticket{
		ID:          "t",
		Home:        "h0",
		Incarnation: "h0-1",
		Mode:        mode,
		ExpiresAt:   w.now.Add(ticket.Lifetime),
	}
	return w
}

func (w *model) reply(o ticket.Outcome) {
	w.replies = append(w.replies, o)
}

func (w *model) send(m message) {
	w.messages = append(w.messages, m)
}

// deliver delivers one message and keeps it in flight if again is true. If it is a
// dispatch, the upstream answers with o.
func (w *model) deliver(i int, again bool, o ticket.Outcome) {
	m := w.messages[i]
	if w.hosts[m.to].paused && m.kind != commit {
		return
	}
	if !again || m.kind == dispatch {
		w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
	}
	p := w.hosts[m.to]
	if m.kind == commit {
		w.commit(m)
		return
	}
	if m.incarnation != "" && m.incarnation != p.incarnation {
		return
	}
	switch m.kind {
	case arrival:
		w.arrive(m.to, m.digest, m.wait)
	case answered:
		w.answered(m)
	case dispatch:
		if o.Code.Outcome() != code.NotRun {
			w.ran++
		}
		w.send(message{
			kind:        ended,
			to:          m.to,
			incarnation: m.incarnation,
			outcome:     o,
		})
	default:
		if p.run == nil {
			return
		}
		r, a := p.run.Dispatched(m.outcome)
		w.act(m.to, r, a)
		w.record(p)
	}
}

// commit applies a conditional insert, which may have been applied before.
func (w *model) commit(m message) {
	a := message{
		kind:        answered,
		to:          m.to,
		incarnation: m.incarnation,
		row:         m.row,
		result:      ticket.Committed,
		tombstone:   m.tombstone,
	}
	switch {
	case w.table == nil:
		r := m.row
		w.table = &r
	case w.table.Operation != m.row.Operation:
		a.result = ticket.Conflicted
		a.row = *w.table
	}
	w.send(a)
}

// answered handles the platform's answer. A process that waits for no claim ignores
// it.
func (w *model) answered(m message) {
	p := w.hosts[m.to]
	if m.tombstone {
		w.reply(ticket.TombstoneOutcome(w.now, w.ticket, m.result, m.row, digest))
		return
	}
	if p.run == nil || p.run.State != ticket.Claiming {
		return
	}
	r, a := p.run.Claimed(w.now, m.result, m.row)
	w.act(m.to, r, a)
}

// record writes the outcome into the process's own row.
func (w *model) record(p *process) {
	if w.table != nil && w.table.Incarnation == p.incarnation && p.run.State == ticket.Ended {
		o := p.run.Outcome
		w.table.Outcome = &o
	}
}

// arrive handles a copy at a host.
func (w *model) arrive(i int, digest string, wait time.Duration) {
	p := w.hosts[i]
	if !w.own && (w.ticket.Home != p.name || w.ticket.Incarnation != p.incarnation) {
		w.resolve(i, digest)
		return
	}
	if p.run == nil {
		r := ticket.NewRun(w.ticket, digest)
		if w.own {
			r = ticket.NewCallerKeyRun(digest)
		}
		p.run = &r
	}
	if o, differs := p.run.Mismatch(digest); differs {
		w.reply(o)
		return
	}
	r, a := p.run.AddCopy(w.now, w.now.Add(wait))
	w.act(i, r, a)
}

// resolve does what a host does that is not the home and cannot reach it.
func (w *model) resolve(i int, digest string) {
	switch {
	case w.ticket.Mode == ticket.MemoryOnly || ticket.PastRetention(w.now, w.ticket.ExpiresAt):
		w.reply(ticket.Failed(code.OutcomeUnknown, ""))
	case w.table != nil:
		w.reply(ticket.RowOutcome(*w.table, digest))
	default:
		p := w.hosts[i]
		w.send(message{
			kind:        commit,
			to:          i,
			incarnation: p.incarnation,
			row:         ticket.Tombstone(w.ticket, p.name, p.incarnation),
			tombstone:   true,
		})
	}
}

func (w *model) act(i int, r ticket.Run, a ticket.Action) {
	p := w.hosts[i]
	p.run = &r
	switch a {
	case ticket.Claim:
		w.send(message{
			kind:        commit,
			to:          i,
			incarnation: p.incarnation,
			row:         r.Claim(p.name, p.incarnation, w.ticket.RowExpiresAt()),
		})
	case ticket.Dispatch:
		w.send(message{
			kind:        dispatch,
			to:          i,
			incarnation: p.incarnation,
		})
	case ticket.Reply:
		w.reply(r.Outcome)
	case ticket.Forward:
		w.reply(ticket.RowOutcome(r.Row, digest))
	case ticket.Wait, ticket.RefuseCopies:
	}
}

// crash replaces a process by a new incarnation without its state.
func (w *model) crash(i int) {
	p := w.hosts[i]
	p.incarnation += "+"
	p.run = nil
	p.paused = false
}

// abandon cancels all copies that wait at a host.
func (w *model) abandon(i int) {
	p := w.hosts[i]
	if p.run == nil || p.paused {
		return
	}
	r, neverRuns := p.run.Abandon()
	p.run = &r
	if neverRuns {
		w.reply(ticket.Failed(code.RequestCancelled, ""))
	}
}

// timeOutClaim ends a host's wait for the platform, whose answer may still come.
func (w *model) timeOutClaim(i int) {
	p := w.hosts[i]
	if p.run == nil || p.paused {
		return
	}
	r, a := p.run.Claimed(w.now, ticket.Uncertain, ticket.Row{})
	w.act(i, r, a)
}

// advance advances the time and deletes what has expired.
func (w *model) advance(d time.Duration) {
	w.now = w.now.Add(d)
	if w.own {
		return
	}
	if w.table != nil && w.now.After(w.table.ExpiresAt) {
		w.table = nil
	}
	for _, p := range w.hosts {
		if p.run != nil && ticket.PastRetention(w.now, w.ticket.ExpiresAt) && p.run.State == ticket.Ended {
			p.run = nil
		}
	}
}

// drawOutcome draws the outcome of a dispatch.
func drawOutcome(t *rapid.T) ticket.Outcome {
	return ticket.Failed(rapid.SampledFrom([]code.Code{
		code.Answered,
		code.OutcomeUnknown,
		code.UpstreamRefused,
	}).Draw(t, "outcome"), "")
}
