package rollup

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// spacing is the mean time between two roll-ups written by any host.
	spacing     = 100 * time.Millisecond
	maxInterval = 5 * time.Minute
	// defaultInterval is how much of its counts a host that dies loses at most
	// in a small fleet.
	defaultInterval = 5 * time.Second
	// listers is the number of hosts that give the platform's list of hosts.
	listers = 3
)

// Interval returns how often each of n hosts writes its roll-up: no more often
// than least, and so that all together write about ten a second at most.
func Interval(n int, least time.Duration) time.Duration {
	return max(min(time.Duration(n)*spacing, maxInterval), least)
}

// Lister reports whether the host is one of those that give the list of hosts
// in the hour. It needs no agreement: one too many costs some bytes.
func Lister(hosts []string, host string, hour time.Time) bool {
	own := listerScore(host, hour)
	above := 0
	for _, h := range hosts {
		if listerScore(h, hour) > own {
			above++
		}
	}
	return above < listers
}

func listerScore(host string, hour time.Time) uint64 {
	return xxhash.Sum64String(host + "\x00" + hour.UTC().Format(hourLayout))
}
