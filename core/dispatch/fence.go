package dispatch

import (
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
// paused sends nothing on an old grant. It counts r against the endpoint's limits
// and lets it carry no deadline beyond the longest request. The caller ends the
// flight.
func (d *Dispatcher) fence(o snapshot.Own, r *work.Request) (*quota.Flight, error) {
	now := d.options.Now()
	if last := now.Add(o.Longest); r.Deadline.After(last) {
		r.Deadline = last
	}
	if !now.Before(r.Deadline) {
		return nil, code.New(code.DeadlinePassed, "dispatch: the deadline passed in the queue")
	}
	f, refusal := d.Ledger(o.Endpoint.Name).Enter(now, r.Deadline, d.caps(o, r))
	switch refusal {
	case quota.Allowed:
		return f, nil
	case quota.NoSlot:
		return nil, code.New(code.EndpointFull, "dispatch: endpoint %q has no slot left", o.Endpoint.Name)
	case quota.NoPart:
		return nil, code.New(code.CapReached, "dispatch: the work from the caller's region is at its cap at endpoint %q", o.Endpoint.Name)
	default:
		return nil, code.New(code.GrantLapsed, "dispatch: the lease of endpoint %q ends before the request would", o.Endpoint.Name)
	}
}

// caps returns the caps that r counts against at the endpoint: that of the link
// by which it comes into the endpoint's region, and those of the shifts that its
// caller's region and its upstream are under.
func (d *Dispatcher) caps(o snapshot.Own, r *work.Request) []quota.Name {
	s := d.options.Snapshot()
	if s.Version == nil {
		return nil
	}
	n := s.Version.Declaration
	to := n.RegionOf(o.Endpoint.Zone)
	from := n.RegionOf(s.Table.Zone(r.Caller))
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
