package timeline

import "sync"

// Ring keeps the newest events: those of requests and all others apart, so that
// a flood of requests drives out no other event. It is safe for concurrent use.
type Ring struct {
	requests part
	others   part
}

// NewRing returns a ring for size events, half of them of requests. With size
// 0 it keeps none.
func NewRing(size int) *Ring {
	return &Ring{
		requests: part{
			size: size - size/2,
		},
		others: part{
			size: size / 2,
		},
	}
}

// Add keeps e and forgets the oldest event of its part if that is full.
func (r *Ring) Add(e Event) {
	if e.Request != "" {
		r.requests.add(e)
		return
	}
	r.others.add(e)
}

// Events returns the kept events for which keep returns true, in the order of
// their stamps.
func (r *Ring) Events(keep func(e *Event) bool) []Event {
	s := r.requests.appendTo(nil, keep)
	s = r.others.appendTo(s, keep)
	Sort(s)
	return s
}

// Forgotten returns the stamp of the newest event that the ring has forgotten,
// or the zero value if it has kept all.
func (r *Ring) Forgotten() Stamp {
	a := r.requests.newestForgotten()
	b := r.others.newestForgotten()
	if a.Before(b) {
		return b
	}
	return a
}

// part is a ring for one group of events.
type part struct {
	size int

	mu sync.Mutex
	// events grows up to size and is then overwritten from its start.
	events []Event
	// next is the position that the next event goes to once events is full.
	next int
	// forgotten is the newest stamp of an overwritten event.
	forgotten Stamp
}

func (p *part) add(e Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.events) < p.size {
		p.events = append(p.events, e)
		return
	}
	if p.size == 0 {
		p.forget(e.At)
		return
	}
	p.forget(p.events[p.next].At)
	p.events[p.next] = e
	p.next = (p.next + 1) % p.size
}

func (p *part) forget(s Stamp) {
	if p.forgotten.Before(s) {
		p.forgotten = s
	}
}

func (p *part) appendTo(s []Event, keep func(e *Event) bool) []Event {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.events {
		e := &p.events[(p.next+i)%len(p.events)]
		if keep(e) {
			s = append(s, *e)
		}
	}
	return s
}

func (p *part) newestForgotten() Stamp {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.forgotten
}
