package grant

import (
	"github.com/cespare/xxhash/v2"

	"heatherford/core/intent"
	"heatherford/core/store"
)

// Prefer returns the host that should own e, or an empty string if hosts is
// empty. Hosts in the endpoint's availability zone go first, then those of its
// region; among equals the highest rendezvous hash wins, so that the loss of a
// host moves only the endpoints it owned. Leaving hosts are never preferred.
func Prefer(d *intent.Declaration, e intent.Endpoint, hosts []store.Host) string {
	region := d.RegionOf(e.Zone)
	name := ""
	best := uint64(0)
	nearest := -1
	for _, h := range hosts {
		if h.State == store.HostLeaving {
			continue
		}
		n := nearness(h, e.Zone, region)
		s := xxhash.Sum64String(h.Name + "\x00" + e.Name)
		if n > nearest || (n == nearest && s > best) {
			name, best, nearest = h.Name, s, n
		}
	}
	return name
}

func nearness(h store.Host, zone, region string) int {
	switch {
	case h.Zone == zone:
		return 2
	case h.Region == region:
		return 1
	default:
		return 0
	}
}
