package drain

import (
	"sort"
	"time"
)

// SourceDeclaration is the source of drains that the declaration asks for.
const SourceDeclaration = "declaration"

// Progress is the progress of a drain as one host sees it.
type Progress struct {
	Subject
	// Source says why the subject is leaving, such as SourceDeclaration.
	Source string `json:"source"`
	// Since is when this host learned that the subject is leaving.
	Since time.Time `json:"since"`
	// InFlight is the number of this host's requests in flight at the subject.
	InFlight int `json:"in_flight"`
	// IdleAt is when InFlight fell to 0 and stayed there. It is zero until the drain has
	// ended.
	IdleAt time.Time `json:"quiet_at,omitzero"`
	// idleSince is when InFlight last fell to 0, or zero if requests are in flight.
	idleSince time.Time
}

// minIdleTime is how long InFlight stays 0 before a drain counts as ended: a request that was
// admitted just before the notice may arrive late.
const minIdleTime = 300 * time.Millisecond

// Tracker tracks the drains at one host. It is not safe for concurrent use.
type Tracker struct {
	drains map[Subject]Progress
}

// NewTracker returns a tracker without drains.
func NewTracker() *Tracker {
	return &Tracker{
		drains: map[Subject]Progress{},
	}
}

// Leaving describes a subject that is leaving at this moment.
type Leaving struct {
	Subject
	Source   string
	InFlight int
}

// Observe records all that is leaving at the time now. It returns the drains that have begun
// and those that have ended since the previous call.
func (t *Tracker) Observe(now time.Time, leaving []Leaving) (begun, ended []Progress) {
	next := map[Subject]Progress{}
	for _, l := range leaving {
		p, ok := t.drains[l.Subject]
		if !ok {
			p = Progress{
				Subject: l.Subject,
				Source:  l.Source,
				Since:   now,
			}
			begun = append(begun, p)
		}
		if p.observe(now, l.InFlight) {
			ended = append(ended, p)
		}
		next[l.Subject] = p
	}
	t.drains = next
	return begun, ended
}

// observe records the number of requests in flight at the time now. It reports whether the
// drain has ended just now.
func (p *Progress) observe(now time.Time, inFlight int) bool {
	p.InFlight = inFlight
	switch {
	case inFlight > 0:
		p.idleSince = time.Time{}
		p.IdleAt = time.Time{}
	case p.idleSince.IsZero():
		p.idleSince = now
	case p.IdleAt.IsZero() && now.Sub(p.idleSince) >= minIdleTime:
		p.IdleAt = p.idleSince
		return true
	}
	return false
}

// All returns the drains, ordered by kind and name.
func (t *Tracker) All() []Progress {
	s := make([]Progress, 0, len(t.drains))
	for _, p := range t.drains {
		s = append(s, p)
	}
	sort.Slice(s, func(i, j int) bool {
		if s[i].Kind != s[j].Kind {
			return s[i].Kind < s[j].Kind
		}
		return s[i].Name < s[j].Name
	})
	return s
}
