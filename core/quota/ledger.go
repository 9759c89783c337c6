package quota

import (
	"slices"
	"sync"
	"time"
)

// Allowance is how much a host may have in flight at an endpoint, before and after the end of
// its lease.
type Allowance struct {
	// Full limits all requests in flight until Until, and Reduced all from then on.
	// BeyondLease limits the requests that start before Until and have a later deadline.
	// Full covers BeyondLease, which covers Reduced.
	Full        Limits
	BeyondLease Limits
	Reduced     Limits
	// Until is the end of the lease. The zero value stands for no lease.
	Until time.Time
}

// Refusal says which limit refuses a request. The zero value is Allowed.
type Refusal int

// The refusals of a Ledger.
const (
	// Allowed means that no limit refuses the request.
	Allowed Refusal = iota
	// NoSlot means that all slots are in use.
	NoSlot
	// NoLease means that the request may outlast the lease and that the limit of such
	// requests is reached.
	NoLease
	// NoCapShare means that the endpoint's share of a cap is in use, or that the request's
	// rank yields at the cap to a more urgent one.
	NoCapShare
)

// Ledger counts one endpoint's requests in flight and admits new ones within the host's
// Allowance. It is safe for concurrent use. The zero value is empty and admits nothing.
type Ledger struct {
	mu        sync.Mutex
	allowance Allowance
	// reducedFullAt is when requests that may outlast the lease last used all slots of the
	// reduced limit, which needs no lease.
	reducedFullAt time.Time
	// reservations is a slice because an endpoint has few slots.
	reservations []*Reservation
	// blocked has, for each cap, the most urgent rank of which it refused a request within
	// the last yieldTime.
	blocked map[CapName]blockedRank
}

// blockedRank is a rank of which a cap refused a request at a time.
type blockedRank struct {
	rank int
	at   time.Time
}

// yieldTime is how long less urgent ranks yield at a cap after it refused a request of a
// more urgent one.
const yieldTime = time.Second

// Request is what a ledger needs to know about a request.
type Request struct {
	// Deadline is when the endpoint ends the request at the latest.
	Deadline time.Time
	// Caps are those that the request counts against.
	Caps []CapName
	// Rank is an index into the declaration's ranks, the most urgent first. Floor is the
	// share of a cap that the rank keeps while a more urgent one could use all of it.
	Rank  int
	Floor float64
}

// Reservation is a ledger's entry for one request in flight.
type Reservation struct {
	Request
	// heldToDeadline is true once the host has abandoned the request although the endpoint
	// may run it until the deadline.
	heldToDeadline bool
}

// Set replaces the allowance. Requests in flight stay.
func (l *Ledger) Set(r Allowance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allowance = r
}

// Allowance returns the allowance in force.
func (l *Ledger) Allowance() Allowance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allowance
}

// ReducedFullAt returns when requests that may outlast the lease last used all slots of the
// reduced limit, which needs no lease.
func (l *Ledger) ReducedFullAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reducedFullAt
}

// Reserve reserves capacity for a request. The caller sends the request after Reserve
// returned Allowed, and calls Release or HoldToDeadline once it has ended.
func (l *Ledger) Reserve(now time.Time, q Request) (*Reservation, Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	f := &Reservation{
		Request: q,
	}
	if e := l.check(now, f); e != Allowed {
		return nil, e
	}
	l.reservations = append(l.reservations, f)
	return f, Allowed
}

// Recheck checks again, at a later time, whether Reserve would admit the request of f: the
// lease may have ended since. It returns NoSlot if f is no longer reserved.
func (l *Ledger) Recheck(now time.Time, f *Reservation) Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	i := slices.Index(l.reservations, f)
	if i < 0 {
		return NoSlot
	}
	l.reservations = slices.Delete(l.reservations, i, i+1)
	e := l.check(now, f)
	l.reservations = append(l.reservations, f)
	return e
}

// Check returns what Reserve would, and reserves nothing.
func (l *Ledger) Check(now time.Time, q Request) Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	return l.check(now, &Reservation{
		Request: q,
	})
}

// BlockedByCap reports whether one of its caps refuses the request. If so, less urgent ranks
// yield at that cap for yieldTime.
func (l *Ledger) BlockedByCap(now time.Time, q Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	refused := false
	for _, n := range q.Caps {
		if !l.capBlocks(now, n, &q) {
			continue
		}
		refused = true
		if w := l.blocked[n]; q.Rank <= w.rank || now.Sub(w.at) >= yieldTime {
			if l.blocked == nil {
				l.blocked = map[CapName]blockedRank{}
			}
			l.blocked[n] = blockedRank{
				rank: q.Rank,
				at:   now,
			}
		}
	}
	return refused
}

// capBlocks reports whether the cap refuses the request: the share is in use, or a more
// urgent rank was refused a short time ago and the request's rank uses its floor, at least
// one request.
func (l *Ledger) capBlocks(now time.Time, n CapName, q *Request) bool {
	limit := l.allowance.limitsAt(now).Of(n)
	if l.count(time.Time{}, n) >= limit {
		return true
	}
	w := l.blocked[n]
	if w.rank >= q.Rank || now.Sub(w.at) >= yieldTime {
		return false
	}
	k := 0
	for _, f := range l.reservations {
		if f.Rank == q.Rank && slices.Contains(f.Caps, n) {
			k++
		}
	}
	return k >= max(1, int(q.Floor*float64(limit)))
}

// limitsAt returns the limits of all requests in flight at the time now.
func (r *Allowance) limitsAt(now time.Time) Limits {
	if now.Before(r.Until) {
		return r.Full
	}
	return r.Reduced
}

// prune drops requests held to their deadline whose deadline has passed.
func (l *Ledger) prune(now time.Time) {
	l.reservations = slices.DeleteFunc(l.reservations, func(f *Reservation) bool {
		return f.heldToDeadline && !now.Before(f.Deadline)
	})
}

func (l *Ledger) check(now time.Time, f *Reservation) Refusal {
	r := l.allowance
	limits := r.limitsAt(now)
	all := time.Time{}
	if l.count(all, "") >= limits.Slots {
		return NoSlot
	}
	for _, n := range f.Caps {
		if l.capBlocks(now, n, &f.Request) {
			return NoCapShare
		}
	}
	if !f.Deadline.After(r.Until) {
		return Allowed
	}
	n := l.count(r.Until, "")
	if n+1 >= r.Reduced.Slots {
		l.reducedFullAt = now
	}
	if n >= r.BeyondLease.Slots {
		return NoLease
	}
	for _, n := range f.Caps {
		if l.count(r.Until, n) >= r.BeyondLease.Of(n) {
			return NoLease
		}
	}
	return Allowed
}

// Release ends a request and releases its reservation.
func (l *Ledger) Release(f *Reservation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.reservations, f); i >= 0 {
		l.reservations = slices.Delete(l.reservations, i, i+1)
	}
}

// HoldToDeadline ends a request that the endpoint may still be running: its reservation is
// held until its deadline.
func (l *Ledger) HoldToDeadline(f *Reservation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f.heldToDeadline = true
}

// Drained reports whether no request is in flight.
func (l *Ledger) Drained(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	return len(l.reservations) == 0
}

// Within reports whether the requests whose deadlines are later than after stay within the
// limits.
func (l *Ledger) Within(now, after time.Time, limits Limits) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	if l.count(after, "") > limits.Slots {
		return false
	}
	for _, p := range limits.Shares {
		if l.count(after, p.Name) > limits.Of(p.Name) {
			return false
		}
	}
	return true
}

// InFlight returns the number of requests in flight.
func (l *Ledger) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.reservations)
}

// count returns the number of requests that have a deadline later than after and count
// against the cap. An empty name stands for all requests.
func (l *Ledger) count(after time.Time, n CapName) int {
	k := 0
	for _, f := range l.reservations {
		if f.Deadline.After(after) && (n == "" || slices.Contains(f.Caps, n)) {
			k++
		}
	}
	return k
}
