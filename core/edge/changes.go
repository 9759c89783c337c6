package edge

import (
	"time"

	"heatherford/core/fleet"
	"heatherford/core/registry"
)

const (
	// changesAge is how long heartbeats hold a change. Readers and relay hosts send
	// several in this time, so that the loss of one does no harm.
	changesAge = 1500 * time.Millisecond
	// gossipChangesAge is the same for the gossip rounds of a large zone, where each
	// host receives many heartbeats: two rounds.
	gossipChangesAge = 2 * fleet.GossipInterval
	// maxChangesBytes is about the most bytes of changes of a part that a heartbeat
	// holds. If there are more, hosts see from the version that they lack some, and
	// fetch them.
	maxChangesBytes = 12 << 10
	// removedRecordBytes and listedRecordBytes are the usual lengths of records of
	// removed and of other endpoints.
	removedRecordBytes = 90
	listedRecordBytes  = 250
	// maxChangesRoutes is the most routes of a declaration that a heartbeat holds, the
	// first announcement of a change excepted.
	maxChangesRoutes = 12
)

// recentChanges remembers after which versions a part changed lately. Only the
// control goroutine uses it.
type recentChanges struct {
	changes [registry.NumParts][]change
}

// change is an update that was applied.
type change struct {
	at time.Time
	// since is a version before all that it changed.
	since registry.Version
}

// add records a change of a part that lies after the version since.
func (l *recentChanges) add(p registry.Part, since registry.Version, now time.Time) {
	l.changes[p] = append(l.changes[p], change{
		at:    now,
		since: since,
	})
}

// updates returns what changed within the age, in all parts, and what is in force against
// the platform's copy: a host that knows only the copy learns it in no other way. Where
// that is too much for a heartbeat, it returns only the later changes, or none.
func (l *recentChanges) updates(r *registry.Registry, age time.Duration, now time.Time) []registry.Update {
	s := []registry.Update{}
	for p := range registry.NumParts {
		s = append(s, l.ofPart(p, r, age, maxChangesRoutes, now)...)
		if u := r.Kept(p, now); len(u.Records) > 0 && sizeOf(&u) <= maxChangesBytes {
			s = append(s, u)
		}
	}
	return s
}

// ofPart returns the changes of a part, with declarations of up to a number of routes. It
// returns at most one update.
func (l *recentChanges) ofPart(p registry.Part, r *registry.Registry, age time.Duration, routes int, now time.Time) []registry.Update {
	for len(l.changes[p]) > 0 && now.Sub(l.changes[p][0].at) > changesAge {
		l.changes[p] = l.changes[p][1:]
	}
	for _, m := range l.changes[p] {
		if now.Sub(m.at) > age {
			continue
		}
		u := r.Since(p, m.since, now)
		if !u.Full && sizeOf(&u) <= maxChangesBytes && !hasLongDeclaration(&u, routes) {
			return []registry.Update{u}
		}
	}
	return nil
}

// sizeOf returns about how many bytes the records of endpoints in an update take.
func sizeOf(u *registry.Update) int {
	n := 0
	for i := range u.Records {
		if u.Records[i].Removed {
			n += removedRecordBytes
		} else {
			n += listedRecordBytes
		}
	}
	return n
}

// hasLongDeclaration reports whether an update holds a declaration with more routes than
// a heartbeat may hold.
func hasLongDeclaration(u *registry.Update, routes int) bool {
	for i := range u.Records {
		if d := u.Records[i].Declaration; d != nil && len(d.Routes) > routes {
			return true
		}
	}
	return false
}
