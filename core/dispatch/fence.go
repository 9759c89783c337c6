package dispatch

import (
	"time"

	"heatherford/core/admission"
	"heatherford/core/code"
	"heatherford/core/quota"
	"heatherford/core/snapshot"
	"heatherford/core/work"
)

// Ledger returns the ledger of the endpoint's requests in flight. It is safe for
// concurrent use, and returns the same ledger for the same name.
func (d *Dispatcher) Ledger(endpoint string) *quota.Ledger {
	l, ok := d.ledgers.Load(endpoint)
	if !ok {
		l, _ = d.ledgers.LoadOrStore(endpoint, &quota.Ledger{})
	}
	return l.(*quota.Ledger)
}

// fence reads the grant again right before r is written, so that a host that was
// paused sends nothing on an old grant. The permit's flight was counted against
// the endpoint's limits when the request was admitted.
func (d *Dispatcher) fence(p admission.Permit, r *work.Request) error {
	now := d.options.Now()
	o := p.Own
	r.Deadline = bounded(now, r.Deadline, o.Longest)
	if p.Flight.Deadline.Before(r.Deadline) {
		r.Deadline = p.Flight.Deadline
	}
	if !now.Before(r.Deadline) {
		return code.New(code.DeadlinePassed, "dispatch: the deadline passed in the queue")
	}
	switch d.Ledger(o.Endpoint.Name).Fresh(now, p.Flight) {
	case quota.Allowed:
		return nil
	case quota.NoSlot:
		return code.New(code.EndpointFull, "dispatch: endpoint %q has no slot left", o.Endpoint.Name)
	case quota.NoPart:
		return code.New(code.CapReached, "dispatch: the work from the caller's region is at its cap at endpoint %q", o.Endpoint.Name)
	default:
		return code.New(code.GrantLapsed, "dispatch: the lease of endpoint %q ends before the request would", o.Endpoint.Name)
	}
}

// bounded returns the deadline, but none beyond the longest request.
func bounded(now, deadline time.Time, longest time.Duration) time.Time {
	if last := now.Add(longest); deadline.After(last) {
		return last
	}
	return deadline
}

const (
	// leaseFactor is the number of usual times that repeatable work gets at
	// least if its deadline is shortened to the lease's.
	leaseFactor = 4
	// onceLeaseFactor is that for other work, whose outcome would be unknown
	// after the deadline. It also keeps at least onceLeaseShare of its time:
	// what takes long by right is not ended early.
	onceLeaseFactor = 8
	onceLeaseShare  = 0.75
)

// within returns r's deadline at the endpoint. Work ends with the lease if that
// leaves much more time than it usually takes: then it may use all slots, and
// not only those for requests that may outlast the lease.
func (d *Dispatcher) within(now time.Time, o *snapshot.Own, r *work.Request, usual time.Duration) time.Time {
	t := bounded(now, r.Deadline, o.Longest)
	least := leaseFactor * usual
	if !r.Kind.Repeatable {
		kept := time.Duration(onceLeaseShare * float64(t.Sub(now)))
		least = max(onceLeaseFactor*usual, kept)
	}
	u := d.Ledger(o.Endpoint.Name).Right().Until
	if usual > 0 && t.After(u) && u.Sub(now) >= least {
		return u
	}
	return t
}

// room returns how the ledgers of the endpoints see r, whose like usually takes
// the time usual: whether they have room for it, and the flight that counts it.
func (d *Dispatcher) room(r *work.Request, usual time.Duration) admission.Room {
	return admission.Room{
		Fits: func(o *snapshot.Own) bool {
			now := d.options.Now()
			return d.Ledger(o.Endpoint.Name).Allows(now, d.counted(now, o, r, usual)) == quota.Allowed
		},
		Enter: func(o *snapshot.Own) *quota.Flight {
			now := d.options.Now()
			f, refusal := d.Ledger(o.Endpoint.Name).Enter(now, d.counted(now, o, r, usual))
			if refusal != quota.Allowed {
				return nil
			}
			return f
		},
	}
}

// counted returns what the ledger of the endpoint has to know of r, whose like
// usually takes the time usual.
func (d *Dispatcher) counted(now time.Time, o *snapshot.Own, r *work.Request, usual time.Duration) quota.Request {
	q := quota.Request{
		Deadline: d.within(now, o, r, usual),
		Caps:     d.caps(o, r),
		Rank:     r.Rank,
	}
	if s := d.options.Snapshot(); s.Version != nil && r.Rank < len(s.Version.Declaration.Ranks) {
		q.Floor = s.Version.Declaration.Ranks[r.Rank].Floor
	}
	return q
}

// capped reports whether caps keep r out of all endpoints of this host.
func (d *Dispatcher) capped(s *snapshot.Snapshot, r *work.Request) bool {
	now := d.options.Now()
	own := s.Owned[r.Kind.Upstream]
	for i := range own {
		if !d.Ledger(own[i].Endpoint.Name).Capped(now, d.counted(now, &own[i], r, 0)) {
			return false
		}
	}
	return len(own) > 0
}

// caps returns the caps that r counts against at the endpoint: that of the link
// by which it comes into the endpoint's region, and those of the shifts that its
// caller's region and its upstream are under.
func (d *Dispatcher) caps(o *snapshot.Own, r *work.Request) []quota.Name {
	s := d.options.Snapshot()
	if s.Version == nil {
		return nil
	}
	n := s.Version.Declaration
	to := n.RegionOf(o.Endpoint.Zone)
	from := n.RegionOf(s.Table.ZoneName(r.Caller))
	caps := []quota.Name(nil)
	for _, f := range n.Shifts {
		if f.Upstream == r.Kind.Upstream && f.From == from && f.To == to {
			caps = append(caps, quota.Shift(f.Name))
		}
	}
	// The owner may live in another region than the endpoint.
	if h := s.Hosts[d.options.Self].Region; h != "" && h != to {
		from = h
	}
	if from != to && from != "" {
		caps = append(caps, quota.Link(from, to))
	}
	return caps
}
