package relay

import "net/netip"

// Way is what a relay carries for the connections from one address.
type Way int

const (
	// Open carries everything.
	Open Way = iota
	// Refused carries the connections that are open, and resets new ones.
	Refused
	// Reset resets the connections that are open, and new ones.
	Reset
	// Hung carries nothing on the connections that are open, as Silent, and resets new
	// ones.
	Hung
	// Silent carries nothing, in neither direction. Connections that were open go on once the
	// way is another one, with the bytes that were held up, unless their sender has reset
	// them. A new connection is taken by the kernel, as any on a relay, and never carries
	// anything; on a cut network its handshake would not end.
	Silent
)

// String implements fmt.Stringer.
func (w Way) String() string {
	switch w {
	case Open:
		return "open"
	case Refused:
		return "refused"
	case Reset:
		return "reset"
	case Hung:
		return "hung"
	case Silent:
		return "silent"
	default:
		return "unknown"
	}
}

// SetWay sets what the relay carries for connections from an address.
func (r *Relay) SetWay(from netip.Addr, w Way) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ways[from] = w
	for l := range r.links {
		if l.source != from {
			continue
		}
		switch w {
		case Reset:
			l.cut()
		case Hung, Silent:
			l.hold()
		default:
			l.release()
		}
	}
}
