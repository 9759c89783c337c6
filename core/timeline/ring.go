package timeline

import "sync"

// Kind says what an event concerns.
type Kind string

// The kinds of events.
const (
	KindConfig   Kind = "config"
	KindDrain    Kind = "drain"
	KindGrant    Kind = "grant"
	KindMember   Kind = "member"
	KindPlatform Kind = "platform"
	KindRequest  Kind = "request"
	KindShift    Kind = "shift"
	KindStop     Kind = "stop"
	KindTicket   Kind = "ticket"
	KindUpstream Kind = "upstream"
)

// Event is one thing that a daemon did or saw.
type Event struct {
	At   Stamp  `json:"at"`
	Host string `json:"host"`
	Kind Kind   `json:"kind"`
	// Request is the identifier of the request concerned, or empty.
	Request string `json:"request,omitempty"`
	// Subject is the endpoint, host, version or ticket concerned, or empty.
	Subject string `json:"subject,omitempty"`
	// Text is a short sentence.
	Text string `json:"text"`
}

// Ring keeps the newest events. It is safe for concurrent use.
type Ring struct {
	mu     sync.Mutex
	events []Event
	// next is the position that the next event goes to.
	next int
	// full is true once every position holds an event.
	full bool
}

// NewRing returns a ring for size events; size is at least 1.
func NewRing(size int) *Ring {
	return &Ring{
		events: make([]Event, size),
	}
}

// Add keeps e and forgets the oldest event if the ring is full.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[r.next] = e
	r.next++
	if r.next == len(r.events) {
		r.next = 0
		r.full = true
	}
}

// Events returns the kept events for which keep returns true, oldest first.
func (r *Ring) Events(keep func(e *Event) bool) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := []Event{}
	add := func(part []Event) {
		for i := range part {
			if keep(&part[i]) {
				s = append(s, part[i])
			}
		}
	}
	if r.full {
		add(r.events[r.next:])
	}
	add(r.events[:r.next])
	return s
}
