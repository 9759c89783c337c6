package drain

import (
	"sort"
	"time"

	"heatherford/core/timeline"
)

// Kind is the kind of what is leaving.
type Kind string

// The kinds of what can leave.
const (
	Endpoint Kind = "endpoint"
	Host     Kind = "host"
)

// Subject is an endpoint or host that is leaving.
type Subject struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Notice is one host's report that a subject is leaving, or is back. It is immutable.
type Notice struct {
	Subject
	Leaving bool
	// At orders the notices of a subject: the latest one applies.
	At timeline.Stamp
	// Source says what the host observed, such as "load answer".
	Source string
}

const (
	// noticeTTL is how long a notice applies without being renewed.
	noticeTTL = 30 * time.Second
	// renewalAge is the age at which a host that still observes the state renews the
	// notice.
	renewalAge = 5 * time.Second
)

// Notices is the set of notices that one host knows. It is not safe for concurrent use.
type Notices struct {
	notices map[Subject]entry
	// next is the index, in the order of subjects, of the next notice to gossip.
	next int
}

// entry is a notice with its expiry.
type entry struct {
	Notice
	// expiresAt is when the notice is dropped.
	expiresAt time.Time
}

// New returns an empty set.
func New() *Notices {
	return &Notices{
		notices: map[Subject]entry{},
	}
}

// Merge stores a notice if it is later than the known one of its subject. It reports
// whether this changes the subject's state.
func (s *Notices) Merge(now time.Time, x Notice) bool {
	h, ok := s.notices[x.Subject]
	if ok && !h.At.Before(x.At) {
		return false
	}
	s.notices[x.Subject] = entry{
		Notice:    x,
		expiresAt: now.Add(noticeTTL),
	}
	return x.Leaving != (ok && h.Leaving)
}

// Expire drops notices that were not renewed. It reports whether this changes a
// subject's state.
func (s *Notices) Expire(now time.Time) bool {
	changed := false
	for k, h := range s.notices {
		if now.Before(h.expiresAt) {
			continue
		}
		delete(s.notices, k)
		changed = changed || h.Leaving
	}
	return changed
}

// RenewalDue reports whether a host that observes the subject's state now should issue a
// new notice: the state differs from the known notice, or the notice that it is leaving
// is due for renewal.
func (s *Notices) RenewalDue(now time.Time, x Subject, leaving bool) bool {
	h, ok := s.notices[x]
	if !ok || h.Leaving != leaving {
		return leaving || ok
	}
	return leaving && !now.Before(h.expiresAt.Add(renewalAge-noticeTTL))
}

// Leaving returns the subject's known notice and reports whether it says that the subject is
// leaving.
func (s *Notices) Leaving(x Subject) (Notice, bool) {
	h := s.notices[x]
	return h.Notice, h.Leaving
}

// NextGossip returns up to n notices to send to other hosts. Successive calls go through all
// notices in turn.
func (s *Notices) NextGossip(n int) []Notice {
	keys := make([]Subject, 0, len(s.notices))
	for k := range s.notices {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].Kind != keys[j].Kind {
			return keys[i].Kind < keys[j].Kind
		}
		return keys[i].Name < keys[j].Name
	})
	notices := []Notice{}
	for i := range min(n, len(keys)) {
		notices = append(notices, s.notices[keys[(s.next+i)%len(keys)]].Notice)
	}
	if len(keys) > 0 {
		s.next = (s.next + n) % len(keys)
	}
	return notices
}
