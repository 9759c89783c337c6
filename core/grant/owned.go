package grant

import (
	"time"

	"heatherford/core/quota"
)

// ownedEndpoint is an endpoint whose row names this incarnation as its owner.
type ownedEndpoint struct {
	// row is the newest row known to be in the table, and version its version there.
	row     Row
	version uint64
	// leaseUntil is the end of the lease. The zero value stands for no lease.
	leaseUntil time.Time
	// pending are later rows that may be in the table, or may still get there.
	pending []pendingRow
	// versionSince is when row.Version was first known to be in the table.
	versionSince time.Time
	// ceded are the reservations of ceded limits that are not yet in the row.
	ceded []Reservation
	// cedesInFlight is the number of cessions that have not been answered.
	cedesInFlight int
	// nextCede is when the standby may be offered limits again.
	nextCede time.Time
	// ended holds the reservations that the next row leaves out.
	ended map[reservationKey]bool
	// reducedBeyondLease is true while the requests that may outlast the lease are
	// held to the reduced limits, whatever the row says.
	reducedBeyondLease bool
	// ownedSince is when this incarnation was first known to be the owner.
	ownedSince time.Time
	// bound complies with every version since the row's. It is raised only with the
	// row.
	bound quota.Limits
	// successor is the host to which the endpoint is offered or handed over, or empty.
	// successorIncarnation is its incarnation once it has accepted.
	successor            string
	successorIncarnation string
	// releasing is true once this host admits no new requests, since it hands the
	// endpoint over to the successor or, without one, gives it up.
	releasing bool
	// writeDue is true if the row should be written before its renewal is due.
	writeDue bool
}

// pendingRow is a row that an attempt writes.
type pendingRow struct {
	attempt uint64
	row     Row
	// removal is true if the attempt deletes the row.
	removal bool
}

// ownerLimits returns what the row and all pending ones leave for this host.
func (h *ownedEndpoint) ownerLimits() quota.Limits {
	l := h.row.OwnerLimits()
	for i := range h.pending {
		l = l.Min(h.pending[i].row.OwnerLimits())
	}
	return l
}

// reduced returns what the row and all pending ones leave for this host without a
// lease.
func (h *ownedEndpoint) reduced() quota.Limits {
	l := h.row.OwnerLimits().Reduced()
	for i := range h.pending {
		l = l.Min(h.pending[i].row.OwnerLimits().Reduced())
	}
	return l
}

// leased returns what the row and all pending ones allow only under the lease. It
// may be ceded to the standby.
func (h *ownedEndpoint) leased() quota.Limits {
	l := h.row.OwnerLimits().Leased()
	for i := range h.pending {
		l = l.Min(h.pending[i].row.OwnerLimits().Leased())
	}
	return l
}

// beyondLease returns what the row and all pending ones leave for requests that
// may outlast the lease.
func (h *ownedEndpoint) beyondLease() quota.Limits {
	l := h.row.BeyondLease
	for i := range h.pending {
		l = l.Min(h.pending[i].row.BeyondLease)
	}
	return l
}

// allowance returns what this host may send to the endpoint.
func (m *Machine) allowance(endpoint string) quota.Allowance {
	h := m.owned[endpoint]
	if h == nil {
		return m.receivedAllowance(endpoint)
	}
	if h.releasing {
		return quota.Allowance{}
	}
	full := h.ownerLimits()
	reduced := h.reduced()
	if len(h.ceded) > 0 {
		full = full.Min(reduced)
	}
	bound := h.unreservedBound()
	full = full.Min(bound)
	reduced = reduced.Min(bound)
	return quota.Allowance{
		Full:        full,
		BeyondLease: m.beyondLeaseAllowance(h, full, reduced),
		Reduced:     reduced,
		Until:       h.leaseUntil,
	}
}

func (m *Machine) beyondLeaseAllowance(h *ownedEndpoint, full, reduced quota.Limits) quota.Limits {
	if h.reducedBeyondLease {
		return reduced
	}
	return h.beyondLease().Max(reduced).Min(full)
}

func (m *Machine) receivedAllowance(endpoint string) quota.Allowance {
	c, ok := m.received[endpoint]
	if !ok {
		return quota.Allowance{}
	}
	l := c.Limits.Min(c.bound)
	// If the claim is in the table, other hosts reserve only its reduced limits for
	// this host.
	for _, r := range m.unresolvedClaims[endpoint] {
		l = l.Min(r.OwnerLimits().Reduced())
	}
	return quota.Allowance{
		Full:        l,
		BeyondLease: l,
		Reduced:     l,
	}
}

// updateLedger sets the allowance in the endpoint's ledger.
func (m *Machine) updateLedger(endpoint string) {
	m.revision++
	m.options.Ledger(endpoint).Set(m.allowance(endpoint))
}

func (m *Machine) updateLedgers() {
	for e := range m.owned {
		m.updateLedger(e)
	}
	for e := range m.received {
		m.updateLedger(e)
	}
}

// relinquish gives up all allowances of the endpoint at once.
func (m *Machine) relinquish(endpoint string) {
	delete(m.owned, endpoint)
	delete(m.received, endpoint)
	m.updateLedger(endpoint)
}
