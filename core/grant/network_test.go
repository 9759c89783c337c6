package grant

import (
	"heatherford/core/code"
)

// The faults of one call.
const (
	faultNone = iota
	// faultLost lets the call take effect and loses the answer.
	faultLost
	// faultLate loses the answer and lets the call take effect later.
	faultLate
	// faultSlow delays the answer.
	faultSlow
)

func (w *world) carryOut(p *process, e Effect, fault func() int) {
	switch {
	case e.Commit != nil:
		w.commit(p, e.Commit, fault())
	case e.Read != nil:
		w.read(p, *e.Read, fault())
	case e.List:
		if !w.down && !p.platformCut {
			p.machine.SetHosts(w.hosts, p.clock())
		}
	case e.FetchOwners != nil:
		w.call(p, e.FetchOwners.Host, fault(), func(to *process) func() {
			all := to.machine.KnownOwners()
			return func() {
				p.machine.OwnersFetched(all)
			}
		}, func() {})
	case e.Announce != nil:
		o := e.Announce.Ownership
		w.call(p, e.Announce.Host, fault(), func(to *process) func() {
			to.machine.HandleAnnounce(o, to.clock())
			return func() {}
		}, func() {})
	case e.Revoke != nil:
		q := *e.Revoke
		w.call(p, q.Host, fault(), func(to *process) func() {
			a := to.machine.HandleRevoke(q, to.clock())
			return func() {
				if a.Done {
					p.machine.Acknowledged(q)
				}
			}
		}, func() {})
	case e.Cede != nil:
		c := *e.Cede
		w.call(p, c.Host, fault(), func(to *process) func() {
			a := to.machine.HandleCede(c, to.clock())
			return func() {
				p.machine.CedeEnded(c, a.Incarnation, !a.OK)
			}
		}, func() {
			p.machine.CedeEnded(c, "", false)
		})
	case e.Offer != nil:
		o := *e.Offer
		w.call(p, o.Host, fault(), func(to *process) func() {
			a := to.machine.HandleOffer()
			return func() {
				p.machine.Offered(o, a.Incarnation, a.OK, p.clock())
			}
		}, func() {
			p.machine.Offered(o, "", false, p.clock())
		})
	}
}

func (w *world) commit(p *process, c *Commit, fault int) {
	m := p.machine
	if w.down || p.platformCut {
		p.deliver(fault == faultSlow, func() {
			m.CommitFailed(c.Attempt, code.New(code.PlatformDown, "down"), p.clock())
		})
		return
	}
	if fault == faultLate {
		w.lateCommits = append(w.lateCommits, c)
		m.CommitFailed(c.Attempt, code.New(code.PlatformUnknown, "lost"), p.clock())
		return
	}
	a, ok := w.table.Commit(c.Transaction)
	p.deliver(fault == faultSlow, func() {
		switch {
		case fault == faultLost:
			m.CommitFailed(c.Attempt, code.New(code.PlatformUnknown, "lost"), p.clock())
		case !ok:
			m.CommitFailed(c.Attempt, code.New(code.PlatformConflict, "conflict"), p.clock())
		default:
			m.Committed(c.Attempt, a.Version, p.clock())
		}
	})
}

func (w *world) read(p *process, r Read, fault int) {
	if w.down || p.platformCut || fault == faultLost {
		p.machine.ReadFailed(r, p.clock())
		return
	}
	rows := w.table.Read(r.Query)
	p.deliver(fault == faultSlow, func() {
		p.machine.RowsRead(r, rows, p.clock())
	})
}

// call runs f at the host's process and the function that f returns at p. If p gets
// no answer, it runs lost instead.
func (w *world) call(p *process, host string, fault int, f func(to *process) func(), lost func()) {
	to := w.processes[host]
	if to.dead || w.peerCuts[p.name+host] || w.peerCuts[host+p.name] {
		lost()
		return
	}
	if to.paused || fault == faultLate {
		to.inbox = append(to.inbox, func() {
			f(to)
		})
		lost()
		return
	}
	answer := f(to)
	if fault == faultLost {
		lost()
		return
	}
	p.deliver(fault == faultSlow, answer)
}
