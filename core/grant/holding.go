package grant

import (
	"time"

	"heatherford/core/quota"
)

// holding is an endpoint whose row names this incarnation as its owner.
type holding struct {
	// row is the newest row known to be in the table, and version the row's.
	row     Row
	version uint64
	// until is the lease's deadline. The zero value stands for no lease.
	until time.Time
	// pending are later rows that may be in the table, or may get there.
	pending []attempted
	// adopted is when row.Version was known to be in the table.
	adopted time.Time
	// ceded are the reservations that are not yet in the row.
	ceded []Reservation
	// ceding is the number of cessions under way.
	ceding int
	// nextCede is when the standby may be offered a part again.
	nextCede time.Time
	// ended holds the reservations that the next row leaves out.
	ended map[reservationKey]bool
	// shortened is true while no more requests may outlast the lease than need
	// none, whatever the row says.
	shortened bool
	// since is when the holding began.
	since time.Time
	// bound is within what every version since the row's allows. It is raised
	// only with the row.
	bound quota.Limits
	// moving is the successor's name while the endpoint is handed over, and
	// incarnation that of the successor once it has agreed.
	moving      string
	incarnation string
	// ending is true once this host sends nothing new, since it hands the
	// endpoint over to the successor or, without one, gives it up.
	ending bool
	// changed is true if the row should be written before its renewal is due.
	changed bool
}

// attempted is a row that an attempt writes.
type attempted struct {
	attempt uint64
	row     Row
	// removal is true if the attempt deletes the row.
	removal bool
}

// own returns what every possible row leaves for this host.
func (h *holding) own() quota.Limits {
	l := h.row.Own()
	for i := range h.pending {
		l = l.Min(h.pending[i].row.Own())
	}
	return l
}

// smaller returns what every possible row leaves for this host without a lease.
func (h *holding) smaller() quota.Limits {
	l := h.row.Own().Smaller()
	for i := range h.pending {
		l = l.Min(h.pending[i].row.Own().Smaller())
	}
	return l
}

// rest returns what every possible row leaves for the standby.
func (h *holding) rest() quota.Limits {
	l := h.row.Own().Rest()
	for i := range h.pending {
		l = l.Min(h.pending[i].row.Own().Rest())
	}
	return l
}

// lasting returns what every possible row leaves for requests that may outlast
// the lease.
func (h *holding) lasting() quota.Limits {
	l := h.row.Lasting
	for i := range h.pending {
		l = l.Min(h.pending[i].row.Lasting)
	}
	return l
}

// right returns what this host may send to the endpoint.
func (m *Machine) right(endpoint string) quota.Right {
	h := m.held[endpoint]
	if h == nil {
		return m.receivedRight(endpoint)
	}
	if h.ending {
		return quota.Right{}
	}
	full := h.own()
	smaller := h.smaller()
	if len(h.ceded) > 0 {
		full = full.Min(smaller)
	}
	bound := h.left()
	full = full.Min(bound)
	smaller = smaller.Min(bound)
	return quota.Right{
		Full:    full,
		Lasting: m.lastingRight(h, full, smaller),
		Smaller: smaller,
		Until:   h.until,
	}
}

func (m *Machine) lastingRight(h *holding, full, smaller quota.Limits) quota.Limits {
	if h.shortened {
		return smaller
	}
	return h.lasting().Max(smaller).Min(full)
}

func (m *Machine) receivedRight(endpoint string) quota.Right {
	c, ok := m.received[endpoint]
	if !ok {
		return quota.Right{}
	}
	l := c.Limits.Min(c.bound)
	// With the claim in the table, others rely on no more.
	for _, r := range m.doubts[endpoint] {
		l = l.Min(r.Own().Smaller())
	}
	return quota.Right{
		Full:    l,
		Lasting: l,
		Smaller: l,
	}
}

// apply makes the endpoint's ledger admit what this host may send now.
func (m *Machine) apply(endpoint string) {
	m.revision++
	m.options.Ledger(endpoint).Set(m.right(endpoint))
}

func (m *Machine) applyAll() {
	for e := range m.held {
		m.apply(e)
	}
	for e := range m.received {
		m.apply(e)
	}
}

// drop gives up all rights to the endpoint at once.
func (m *Machine) drop(endpoint string) {
	delete(m.held, endpoint)
	delete(m.received, endpoint)
	m.apply(endpoint)
}
