package drain

import (
	"sort"
	"time"

	"heatherford/core/timeline"
)

// Kind says what is leaving.
type Kind string

// The kinds of what can leave.
const (
	Endpoint Kind = "endpoint"
	Host     Kind = "host"
)

// Subject names what is leaving.
type Subject struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Sign is one daemon's word that a subject is leaving, or is back. It is
// immutable.
type Sign struct {
	Subject
	Leaving bool
	// At orders the signs of a subject: the latest holds.
	At timeline.Stamp
	// Source says what was seen, such as "load answer".
	Source string
}

const (
	// signLife is how long a sign holds without being renewed.
	signLife = 30 * time.Second
	// renewTime is the age at which who saw the sign renews it.
	renewTime = 5 * time.Second
)

// Signs are the signs that one daemon knows. It is not safe for concurrent use.
type Signs struct {
	signs map[Subject]held
	// next is the position in the order of subjects of the next sign to pass
	// on.
	next int
}

type held struct {
	Sign
	// until is when the sign is forgotten.
	until time.Time
}

// New returns an empty set.
func New() *Signs {
	return &Signs{
		signs: map[Subject]held{},
	}
}

// Offer takes a sign if it is later than the one known of its subject. It
// reports whether the subject's state has changed by it.
func (s *Signs) Offer(now time.Time, x Sign) bool {
	h, ok := s.signs[x.Subject]
	if ok && !h.At.Before(x.At) {
		return false
	}
	s.signs[x.Subject] = held{
		Sign:  x,
		until: now.Add(signLife),
	}
	return x.Leaving != (ok && h.Leaving)
}

// Tick forgets signs that were not renewed. It reports whether a subject's state
// has changed by it.
func (s *Signs) Tick(now time.Time) bool {
	changed := false
	for k, h := range s.signs {
		if now.Before(h.until) {
			continue
		}
		delete(s.signs, k)
		changed = changed || h.Leaving
	}
	return changed
}

// Due reports whether who sees the subject's state now should offer a new sign:
// the state differs from the sign known, or the sign is old.
func (s *Signs) Due(now time.Time, x Subject, leaving bool) bool {
	h, ok := s.signs[x]
	if !ok || h.Leaving != leaving {
		return leaving || ok
	}
	return leaving && !now.Before(h.until.Add(renewTime-signLife))
}

// Leaving returns the sign that the subject is leaving, if there is one.
func (s *Signs) Leaving(x Subject) (Sign, bool) {
	h := s.signs[x]
	return h.Sign, h.Leaving
}

// Gossip returns up to n signs to pass on, each in its turn.
func (s *Signs) Gossip(n int) []Sign {
	keys := make([]Subject, 0, len(s.signs))
	for k := range s.signs {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].Kind != keys[j].Kind {
			return keys[i].Kind < keys[j].Kind
		}
		return keys[i].Name < keys[j].Name
	})
	signs := []Sign{}
	for i := range min(n, len(keys)) {
		signs = append(signs, s.signs[keys[(s.next+i)%len(keys)]].Sign)
	}
	if len(keys) > 0 {
		s.next = (s.next + n) % len(keys)
	}
	return signs
}
