package edge

import (
	"time"

	"heatherford/core/fleet"
	"heatherford/core/registry"
)

const (
	// latestAge is how long readers and relays tell a change with their ticks: they send
	// several in this time, so that the loss of one does no harm.
	latestAge = 1500 * time.Millisecond
	// passedAge is the same for the rounds of ticks in a large zone, where each host
	// hears many: two of them.
	passedAge = 2 * fleet.PassInterval
	// latestBytes is about the most bytes of changes of a part that a tick holds. Of
	// more, hosts are told that there are some, and fetch them.
	latestBytes = 12 << 10
	// removedBytes and listedBytes are the usual lengths of records of endpoints.
	removedBytes = 90
	listedBytes  = 250
	// latestRoutes is the most routes of a declaration that a tick holds.
	latestRoutes = 12
)

// latest remembers from which versions on a part changed lately. Only the control
// goroutine uses it.
type latest struct {
	marks [registry.Parts][]mark
}

// mark is a change that was taken in.
type mark struct {
	at time.Time
	// since is the version before it.
	since uint64
}

// note remembers that a part changed that was known up to the version.
func (l *latest) note(p registry.Part, since uint64, now time.Time) {
	l.marks[p] = append(l.marks[p], mark{
		at:    now,
		since: since,
	})
}

// updates returns what changed within the age, in all parts. Where that is too much for
// a tick, it returns the later changes of it.
func (l *latest) updates(r *registry.Registry, age time.Duration, now time.Time) []registry.Update {
	s := []registry.Update{}
	for p := range registry.Parts {
		for len(l.marks[p]) > 0 && now.Sub(l.marks[p][0].at) > latestAge {
			l.marks[p] = l.marks[p][1:]
		}
		for _, m := range l.marks[p] {
			if now.Sub(m.at) > age {
				continue
			}
			u := r.Since(p, m.since, now)
			if !u.Whole && length(&u) <= latestBytes && !long(&u) {
				s = append(s, u)
				break
			}
		}
	}
	return s
}

// length returns about how many bytes the records of endpoints of an update take.
func length(u *registry.Update) int {
	n := 0
	for i := range u.Records {
		if u.Records[i].Removed {
			n += removedBytes
		} else {
			n += listedBytes
		}
	}
	return n
}

// long reports whether an update holds a declaration that is too long for a tick.
func long(u *registry.Update) bool {
	for i := range u.Records {
		if d := u.Records[i].Declaration; d != nil && len(d.Routes) > latestRoutes {
			return true
		}
	}
	return false
}
