package drain

import (
	"sort"
	"time"
)

// SourceDeclaration is the source of drains that the declaration holds.
const SourceDeclaration = "declaration"

// Progress says how far a drain has come at one host.
type Progress struct {
	Subject
	// Source says why the subject is leaving, such as SourceDeclaration.
	Source string `json:"source"`
	// Since is when this host learnt that the subject is leaving.
	Since time.Time `json:"since"`
	// InFlight is the number of requests of this host that the subject still
	// works on.
	InFlight int `json:"in_flight"`
	// QuietAt is when InFlight fell to 0, to stay there. It is zero while the
	// drain goes on.
	QuietAt time.Time `json:"quiet_at,omitzero"`
	// quietSince is when InFlight fell to 0, or zero.
	quietSince time.Time
}

// quietTime is how long InFlight stays 0 before a drain counts as ended: a request
// that was let in right before the sign may come late.
const quietTime = 300 * time.Millisecond

// Tracker follows the drains at one host. It is not safe for concurrent use.
type Tracker struct {
	drains map[Subject]Progress
}

// NewTracker returns a tracker without drains.
func NewTracker() *Tracker {
	return &Tracker{
		drains: map[Subject]Progress{},
	}
}

// Leaving is a subject that is leaving at this moment.
type Leaving struct {
	Subject
	Source   string
	InFlight int
}

// Observe takes all that is leaving at the time now. It returns the drains that
// have begun and those that have come to an end since the call before.
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

// observe takes the number of requests in flight at the time now. It reports
// whether the drain has ended by it.
func (p *Progress) observe(now time.Time, inFlight int) bool {
	p.InFlight = inFlight
	switch {
	case inFlight > 0:
		p.quietSince = time.Time{}
		p.QuietAt = time.Time{}
	case p.quietSince.IsZero():
		p.quietSince = now
	case p.QuietAt.IsZero() && now.Sub(p.quietSince) >= quietTime:
		p.QuietAt = p.quietSince
		return true
	}
	return false
}

// All returns the drains, ordered by subject.
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
