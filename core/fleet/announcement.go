package fleet

import (
	"slices"
	"strings"
	"time"
)

const (
	// announcedPerZone is the most hosts of a zone that hear an announcement beside its
	// relays.
	announcedPerZone = 12
	// announcedAge is how long hosts that fell silent hear announcements: those beside a
	// slow relay may live and be silent for this host.
	announcedAge = 30 * time.Second
)

// AnnouncementTargets returns the hosts that hear an announcement, ordered by name: the
// remote targets, and of each zone, the own one too, all hosts that were alive lately. Of a
// zone with more than announcedPerZone of these it returns the next ones in each round.
func (f *Fleet) AnnouncementTargets(live []Member, round int, now time.Time) []Member {
	s := f.RemoteTargets(live)
	added := map[string]bool{}
	for _, m := range s {
		added[m.Name] = true
	}
	zones := map[string][]*peer{}
	for _, p := range f.peers {
		if now.Sub(p.lastAlive()) <= announcedAge {
			zones[p.Zone] = append(zones[p.Zone], p)
		}
	}
	for _, peers := range zones {
		z := sortedMembers(peers)
		n := min(announcedPerZone, len(z))
		for i := range n {
			if m := z[(round*n+i)%len(z)]; !added[m.Name] {
				s = append(s, m)
			}
		}
	}
	slices.SortFunc(s, func(a, b Member) int {
		return strings.Compare(a.Name, b.Name)
	})
	return s
}
