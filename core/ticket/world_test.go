package ticket_test

import (
	"time"

	"pgregory.net/rapid"

	"heatherford/core/code"
	"heatherford/core/ticket"
)

// world is a model of hosts, the platform's table and the messages between
// them. Messages are delivered in any order, late, twice or never; a paused
// process keeps its state and acts later; a crashed one comes back without it.
type world struct {
	now    time.Time
	ticket ticket.Ticket
	own    bool
	hosts  []*process
	table  *ticket.Row
	// messages are those in flight.
	messages []message
	// ran counts how often an upstream ran the work.
	ran int
	// told are the outcomes that callers were told.
	told []ticket.Outcome
}

type process struct {
	name        string
	incarnation string
	run         *ticket.Run
	paused      bool
}

type messageKind int

const (
	// arrival is a copy at a host.
	arrival messageKind = iota
	// commit is a conditional insert on its way to the platform.
	commit
	// answered is the platform's answer on its way back.
	answered
	// dispatch is the process's own next step after its decision.
	dispatch
	// ended is the upstream's answer on its way back.
	ended
)

type message struct {
	kind messageKind
	// to is the process that takes it, and its incarnation.
	to          int
	incarnation string
	row         ticket.Row
	result      ticket.ClaimResult
	outcome     ticket.Outcome
	digest      string
	// wait is how long after its arrival a copy's deadline is.
	wait time.Duration
	// bury is true of what concerns a tombstone.
	bury bool
}

const digest = "d"

func newWorld(own bool, mode ticket.Mode) *world {
	w := &world{
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

func (w *world) tell(o ticket.Outcome) {
	w.told = append(w.told, o)
}

func (w *world) post(m message) {
	w.messages = append(w.messages, m)
}

// deliver takes one message and keeps it in flight if again is true.
func (w *world) deliver(i int, again bool, o ticket.Outcome) {
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
		w.post(message{
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

// commit applies a conditional insert, maybe for the second time.
func (w *world) commit(m message) {
	a := message{
		kind:        answered,
		to:          m.to,
		incarnation: m.incarnation,
		row:         m.row,
		result:      ticket.Won,
		bury:        m.bury,
	}
	switch {
	case w.table == nil:
		r := m.row
		w.table = &r
	case w.table.Operation != m.row.Operation:
		a.result = ticket.Lost
		a.row = *w.table
	}
	w.post(a)
}

// answered takes the platform's answer at a process that still waits for it.
func (w *world) answered(m message) {
	p := w.hosts[m.to]
	if m.bury {
		w.tell(ticket.Bury(w.now, w.ticket, m.result, m.row, digest))
		return
	}
	if p.run == nil || p.run.State != ticket.Claiming {
		return
	}
	r, a := p.run.Claimed(w.now, m.result, m.row)
	w.act(m.to, r, a)
}

// record writes the outcome into the process's own row.
func (w *world) record(p *process) {
	if w.table != nil && w.table.Incarnation == p.incarnation && p.run.State == ticket.Ended {
		o := p.run.Outcome
		w.table.Outcome = &o
	}
}

// arrive takes a copy at a host.
func (w *world) arrive(i int, digest string, wait time.Duration) {
	p := w.hosts[i]
	if !w.own && (w.ticket.Home != p.name || w.ticket.Incarnation != p.incarnation) {
		w.settle(i, digest)
		return
	}
	if p.run == nil {
		r := ticket.NewRun(w.ticket, digest)
		if w.own {
			r = ticket.NewOwnRun(digest)
		}
		p.run = &r
	}
	if o, bad := p.run.Mismatch(digest); bad {
		w.tell(o)
		return
	}
	r, a := p.run.Arrive(w.now, w.now.Add(wait))
	w.act(i, r, a)
}

// settle is what a host does that is not the home and cannot reach it.
func (w *world) settle(i int, digest string) {
	switch {
	case w.ticket.Mode == ticket.MemoryOnly || ticket.Forgotten(w.now, w.ticket.ExpiresAt):
		w.tell(ticket.Failed(code.OutcomeUnknown, ""))
	case w.table != nil:
		w.tell(ticket.Settle(*w.table, digest))
	default:
		p := w.hosts[i]
		w.post(message{
			kind:        commit,
			to:          i,
			incarnation: p.incarnation,
			row:         ticket.Tombstone(w.ticket, p.name, p.incarnation),
			bury:        true,
		})
	}
}

func (w *world) act(i int, r ticket.Run, a ticket.Action) {
	p := w.hosts[i]
	p.run = &r
	switch a {
	case ticket.Claim:
		w.post(message{
			kind:        commit,
			to:          i,
			incarnation: p.incarnation,
			row:         r.Claim(p.name, p.incarnation, w.ticket.RowExpiresAt()),
		})
	case ticket.Dispatch:
		w.post(message{
			kind:        dispatch,
			to:          i,
			incarnation: p.incarnation,
		})
	case ticket.Tell:
		w.tell(r.Outcome)
	case ticket.Pass:
		w.tell(ticket.Settle(r.Row, digest))
	case ticket.Nothing, ticket.Defer:
	}
}

// crash replaces a process by a new incarnation without its memory.
func (w *world) crash(i int) {
	p := w.hosts[i]
	p.incarnation += "+"
	p.run = nil
	p.paused = false
}

// abandon lets all callers of a host leave.
func (w *world) abandon(i int) {
	p := w.hosts[i]
	if p.run == nil || p.paused {
		return
	}
	r, sure := p.run.Abandon()
	p.run = &r
	if sure {
		w.tell(ticket.Failed(code.RequestCancelled, ""))
	}
}

// giveUp ends a host's wait for the platform, whose answer may come later.
func (w *world) giveUp(i int) {
	p := w.hosts[i]
	if p.run == nil || p.paused {
		return
	}
	r, a := p.run.Claimed(w.now, ticket.Unsettled, ticket.Row{})
	w.act(i, r, a)
}

// pass lets time pass and deletes what has expired.
func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	if w.own {
		return
	}
	if w.table != nil && w.now.After(w.table.ExpiresAt) {
		w.table = nil
	}
	for _, p := range w.hosts {
		if p.run != nil && ticket.Forgotten(w.now, w.ticket.ExpiresAt) && p.run.State == ticket.Ended {
			p.run = nil
		}
	}
}

// drawOutcome draws how a dispatch ends.
func drawOutcome(t *rapid.T) ticket.Outcome {
	return ticket.Failed(rapid.SampledFrom([]code.Code{
		code.Answered,
		code.OutcomeUnknown,
		code.UpstreamRefused,
	}).Draw(t, "outcome"), "")
}
