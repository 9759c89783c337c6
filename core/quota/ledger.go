package quota

import (
	"slices"
	"sync"
	"time"
)

// Right is what a host may send to an endpoint.
type Right struct {
	// Full bounds the requests in flight until Until, Smaller those that begin
	// after it, and Lasting those that begin before it and may end after it.
	// Full covers Lasting, which covers Smaller.
	Full    Limits
	Lasting Limits
	Smaller Limits
	// Until is the lease's deadline. The zero value stands for no lease.
	Until time.Time
}

// Refusal says which bound keeps a request out. The zero value is none.
type Refusal int

// The refusals of a Ledger.
const (
	// Allowed is no refusal.
	Allowed Refusal = iota
	// NoSlot says that all slots are in use.
	NoSlot
	// NoLease says that the request may outlast the lease and that the part
	// for such requests is in use.
	NoLease
	// NoPart says that the endpoint's part of a cap is in use.
	NoPart
)

// Ledger counts one endpoint's requests in flight and admits new ones within the
// host's right. It is safe for concurrent use; the zero value is empty and admits
// nothing.
type Ledger struct {
	mu    sync.Mutex
	right Right
	// pressedAt is when requests that may outlast the lease last used up the
	// part that needs none.
	pressedAt time.Time
	// flight is short: an endpoint has few slots.
	flight []*Flight
	// wanted says for each cap which rank it kept out last.
	wanted map[Name]want
}

// want is a rank that a cap kept out.
type want struct {
	rank int
	at   time.Time
}

// wantTime is how long less urgent ranks give way at a cap that kept out a more
// urgent one.
const wantTime = time.Second

// Request is what a ledger has to know of a request.
type Request struct {
	// Deadline is when the endpoint ends the request at the latest.
	Deadline time.Time
	// Caps are those that the request counts against.
	Caps []Name
	// Rank is an index into the declaration's ranks, the most urgent first, and
	// Floor the share that the rank keeps while a more urgent one wants all.
	Rank  int
	Floor float64
}

// Flight is a request in flight.
type Flight struct {
	Request
	// lingers is true once the host has given the request up although the
	// endpoint may be at work on it until the deadline.
	lingers bool
}

// Set replaces the right. Requests in flight stay.
func (l *Ledger) Set(r Right) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.right = r
}

// Right returns the right.
func (l *Ledger) Right() Right {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.right
}

// PressedAt returns when requests that may outlast the lease last used up the
// part that needs none.
func (l *Ledger) PressedAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pressedAt
}

// Enter counts a request. The caller writes the request after Enter returned
// Allowed, and calls Leave once it has ended.
func (l *Ledger) Enter(now time.Time, q Request) (*Flight, Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	f := &Flight{
		Request: q,
	}
	if e := l.check(now, f); e != Allowed {
		return nil, e
	}
	l.flight = append(l.flight, f)
	return f, Allowed
}

// Fresh reports whether Enter would admit f, which it has admitted before, at
// this later time too. A lease may have lapsed since.
func (l *Ledger) Fresh(now time.Time, f *Flight) Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	i := slices.Index(l.flight, f)
	if i < 0 {
		return NoSlot
	}
	l.flight = slices.Delete(l.flight, i, i+1)
	e := l.check(now, f)
	l.flight = append(l.flight, f)
	return e
}

// Allows returns what Enter would, and counts nothing.
func (l *Ledger) Allows(now time.Time, q Request) Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	return l.check(now, &Flight{
		Request: q,
	})
}

// Capped reports whether one of its caps keeps the request out. Less urgent ranks
// give way at that cap for a while.
func (l *Ledger) Capped(now time.Time, q Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	capped := false
	for _, n := range q.Caps {
		if !l.capped(now, n, &q) {
			continue
		}
		capped = true
		if w := l.wanted[n]; q.Rank <= w.rank || now.Sub(w.at) >= wantTime {
			if l.wanted == nil {
				l.wanted = map[Name]want{}
			}
			l.wanted[n] = want{
				rank: q.Rank,
				at:   now,
			}
		}
	}
	return capped
}

// capped reports whether the cap keeps the request out: it is used up, or a more
// urgent rank wants it and the request's rank has its floor, at least one request.
func (l *Ledger) capped(now time.Time, n Name, q *Request) bool {
	limit := l.right.bound(now).Of(n)
	if l.count(time.Time{}, n) >= limit {
		return true
	}
	w := l.wanted[n]
	if w.rank >= q.Rank || now.Sub(w.at) >= wantTime {
		return false
	}
	k := 0
	for _, f := range l.flight {
		if f.Rank == q.Rank && slices.Contains(f.Caps, n) {
			k++
		}
	}
	return k >= max(1, int(q.Floor*float64(limit)))
}

// bound returns what bounds the requests in flight at the time now.
func (r *Right) bound(now time.Time) Limits {
	if now.Before(r.Until) {
		return r.Full
	}
	return r.Smaller
}

// prune forgets the requests that lingered until their deadline.
func (l *Ledger) prune(now time.Time) {
	l.flight = slices.DeleteFunc(l.flight, func(f *Flight) bool {
		return f.lingers && !now.Before(f.Deadline)
	})
}

func (l *Ledger) check(now time.Time, f *Flight) Refusal {
	r := l.right
	bound := r.bound(now)
	all := time.Time{}
	if l.count(all, "") >= bound.Slots {
		return NoSlot
	}
	for _, n := range f.Caps {
		if l.capped(now, n, &f.Request) {
			return NoPart
		}
	}
	if !f.Deadline.After(r.Until) {
		return Allowed
	}
	n := l.count(r.Until, "")
	if n+1 >= r.Smaller.Slots {
		l.pressedAt = now
	}
	if n >= r.Lasting.Slots {
		return NoLease
	}
	for _, n := range f.Caps {
		if l.count(r.Until, n) >= r.Lasting.Of(n) {
			return NoLease
		}
	}
	return Allowed
}

// Leave ends a request.
func (l *Ledger) Leave(f *Flight) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.flight, f); i >= 0 {
		l.flight = slices.Delete(l.flight, i, i+1)
	}
}

// Linger is Leave for a request that the endpoint may still be at work on: it
// counts until its deadline.
func (l *Ledger) Linger(f *Flight) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f.lingers = true
}

// Drained reports whether no request is in flight.
func (l *Ledger) Drained(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	return len(l.flight) == 0
}

// Fits reports whether the requests whose deadlines are later than after stay
// within the limits.
func (l *Ledger) Fits(now, after time.Time, limits Limits) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	if l.count(after, "") > limits.Slots {
		return false
	}
	for _, p := range limits.Parts {
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
	return len(l.flight)
}

// count returns the requests whose deadlines are later than after and that
// count against the cap, an empty name standing for all.
func (l *Ledger) count(after time.Time, n Name) int {
	k := 0
	for _, f := range l.flight {
		if f.Deadline.After(after) && (n == "" || slices.Contains(f.Caps, n)) {
			k++
		}
	}
	return k
}
