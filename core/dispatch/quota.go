package dispatch

import (
	"time"

	"heatherford/core/admission"
	"heatherford/core/code"
	"heatherford/core/quota"
	"heatherford/core/snapshot"
	"heatherford/core/work"
)

// Ledger returns the ledger that counts the endpoint's requests in flight. It
// returns the same ledger for the same name, and is safe for concurrent use.
func (d *Dispatcher) Ledger(endpoint string) *quota.Ledger {
	l, ok := d.ledgers.Load(endpoint)
	if !ok {
		l, _ = d.ledgers.LoadOrStore(endpoint, &quota.Ledger{})
	}
	return l.(*quota.Ledger)
}

// recheckGrant checks the endpoint's grant again right before r is sent, so that a
// host that was paused after the admission sends nothing under an expired grant.
// It also shortens r's deadline to the one for which r was admitted. The ledger has
// counted the permit's reservation since the admission.
func (d *Dispatcher) recheckGrant(p admission.Permit, r *work.Request) error {
	now := d.options.Now()
	o := p.Own
	r.Deadline = clampDeadline(now, r.Deadline, o.Longest)
	if p.Reservation.Deadline.Before(r.Deadline) {
		r.Deadline = p.Reservation.Deadline
	}
	if !now.Before(r.Deadline) {
		return code.New(code.DeadlinePassed, "dispatch: the deadline passed while the request was queued")
	}
	switch d.Ledger(o.Endpoint.Name).Recheck(now, p.Reservation) {
	case quota.Allowed:
		return nil
	case quota.NoSlot:
		return code.New(code.EndpointFull, "dispatch: endpoint %q has no free slot", o.Endpoint.Name)
	case quota.NoCapShare:
		return code.New(code.CapReached, "dispatch: the requests from the caller's region have reached their cap at endpoint %q", o.Endpoint.Name)
	default:
		return code.New(code.GrantLapsed, "dispatch: the lease of endpoint %q ends before the request's deadline, and the limit for such requests is reached", o.Endpoint.Name)
	}
}

// clampDeadline returns the earlier of deadline and now plus longest.
func clampDeadline(now, deadline time.Time, longest time.Duration) time.Time {
	if last := now.Add(longest); deadline.After(last) {
		return last
	}
	return deadline
}

const (
	// minLeaseFactor is a multiple of the mean service time. The deadline of
	// repeatable work is shortened to the lease's end only if it is left with at
	// least that much time.
	minLeaseFactor = 4
	// minLeaseFactorOnce is the same for non-repeatable work, whose outcome would
	// be unknown after the deadline. Such work must also keep at least
	// minLeaseShareOnce of its time, so that a request that needs long is not cut
	// short.
	minLeaseFactorOnce = 8
	minLeaseShareOnce  = 0.75
)

// deadlineAt returns r's deadline at the endpoint. It is shortened to the lease's
// end if that leaves much more time than meanService, the mean service time: then r
// may use all slots, not only those for requests that may outlast the lease. If
// meanService is 0, it is unknown and the deadline isn't shortened.
func (d *Dispatcher) deadlineAt(now time.Time, o *snapshot.Own, r *work.Request, meanService time.Duration) time.Time {
	t := clampDeadline(now, r.Deadline, o.Longest)
	minTime := minLeaseFactor * meanService
	if !r.Kind.Repeatable {
		minShare := time.Duration(minLeaseShareOnce * float64(t.Sub(now)))
		minTime = max(minLeaseFactorOnce*meanService, minShare)
	}
	u := d.Ledger(o.Endpoint.Name).Allowance().Until
	if meanService > 0 && t.After(u) && u.Sub(now) >= minTime {
		return u
	}
	return t
}

// bounds returns the functions by which the admission controller checks r against the
// endpoints' ledgers and counts it there. meanService is the mean service time of
// such requests, 0 if unknown.
func (d *Dispatcher) bounds(r *work.Request, meanService time.Duration) admission.Bounds {
	return admission.Bounds{
		Allows: func(o *snapshot.Own) bool {
			now := d.options.Now()
			return d.Ledger(o.Endpoint.Name).Check(now, d.quotaRequest(now, o, r, meanService)) == quota.Allowed
		},
		Reserve: func(o *snapshot.Own) *quota.Reservation {
			now := d.options.Now()
			f, refusal := d.Ledger(o.Endpoint.Name).Reserve(now, d.quotaRequest(now, o, r, meanService))
			if refusal != quota.Allowed {
				return nil
			}
			return f
		},
	}
}

// quotaRequest describes r to the endpoint's ledger. meanService is the mean service
// time of such requests, 0 if unknown.
func (d *Dispatcher) quotaRequest(now time.Time, o *snapshot.Own, r *work.Request, meanService time.Duration) quota.Request {
	q := quota.Request{
		Deadline: d.deadlineAt(now, o, r, meanService),
		Caps:     d.caps(o, r),
		Rank:     r.Rank,
	}
	if s := d.options.Snapshot(); s.Version != nil && r.Rank < len(s.Version.Declaration.Ranks) {
		q.Floor = s.Version.Declaration.Ranks[r.Rank].Floor
	}
	return q
}

// blockedByCaps reports whether caps block r at all endpoints that this host owns. For
// a while, less urgent ranks then yield at these caps.
func (d *Dispatcher) blockedByCaps(s *snapshot.Snapshot, r *work.Request) bool {
	now := d.options.Now()
	own := s.Owned[r.Kind.Upstream]
	for i := range own {
		if !d.Ledger(own[i].Endpoint.Name).BlockedByCap(now, d.quotaRequest(now, &own[i], r, 0)) {
			return false
		}
	}
	return len(own) > 0
}

// caps returns the caps that r counts against at the endpoint: the cap of the link
// over which r enters the endpoint's region, and the caps of the shifts that apply to
// its upstream, its caller's region and the endpoint's region.
func (d *Dispatcher) caps(o *snapshot.Own, r *work.Request) []quota.CapName {
	s := d.options.Snapshot()
	if s.Version == nil {
		return nil
	}
	n := s.Version.Declaration
	to := n.RegionOf(o.Endpoint.Zone)
	from := n.RegionOf(s.Table.ZoneName(r.Caller))
	caps := []quota.CapName(nil)
	for _, f := range n.Shifts {
		if f.Upstream == r.Kind.Upstream && f.From == from && f.To == to {
			caps = append(caps, quota.ShiftCap(f.Name))
		}
	}
	// The owner, which is this host, may be in another region than the endpoint.
	// Then r enters the endpoint's region from the owner's region.
	if h := s.Hosts[d.options.Self].Region; h != "" && h != to {
		from = h
	}
	if from != to && from != "" {
		caps = append(caps, quota.LinkCap(from, to))
	}
	return caps
}
