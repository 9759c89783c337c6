package grant

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"heatherford/core/intent"
	"heatherford/core/store"
)

// Assign returns the host that should own each endpoint, by the endpoint's name.
// owners are the present owners.
//
// An endpoint is owned by a host of its availability zone if there is one, else of
// its region, else by any host. Within such a group, no host gets two endpoints
// more than another; an owner keeps its endpoints as far as that allows. Among
// equals the highest rendezvous hash wins. Leaving hosts own nothing.
func Assign(d *intent.Declaration, hosts []store.Host, owners map[string]string) map[string]string {
	a := assignment{
		owners: owners,
		load:   map[string]int{},
		chosen: map[string]string{},
	}
	zones := [][]string{}
	groups := [][]string{}
	for _, r := range d.Regions {
		for _, z := range r.Zones {
			zones = append(zones, endpointsIn(d, z))
			groups = append(groups, nearestHosts(hosts, z, r.Name))
		}
	}
	for i := range zones {
		a.keep(zones[i], groups[i])
	}
	for i := range zones {
		a.fill(zones[i], groups[i])
	}
	for i := range zones {
		a.balance(zones[i], groups[i])
	}
	return a.chosen
}

type assignment struct {
	owners map[string]string
	// load is the number of endpoints that each host is chosen for.
	load   map[string]int
	chosen map[string]string
}

// keep chooses the present owners that are in the group.
func (a *assignment) keep(endpoints, group []string) {
	for _, e := range endpoints {
		if slices.Contains(group, a.owners[e]) {
			a.choose(e, a.owners[e])
		}
	}
}

// fill chooses the host with the fewest endpoints for each one without an owner.
func (a *assignment) fill(endpoints, group []string) {
	if len(group) == 0 {
		return
	}
	for _, e := range endpoints {
		if a.chosen[e] == "" {
			a.choose(e, a.leastLoaded(e, group))
		}
	}
}

// balance moves endpoints from the hosts with the most to those with the fewest.
func (a *assignment) balance(endpoints, group []string) {
	if len(group) == 0 {
		return
	}
	for range endpoints {
		to := a.leastLoaded("", group)
		moved := ""
		for _, e := range endpoints {
			from := a.chosen[e]
			if a.load[from] < a.load[to]+2 {
				continue
			}
			if moved == "" || a.load[from] > a.load[a.chosen[moved]] ||
				(a.load[from] == a.load[a.chosen[moved]] && hash(to, e) > hash(to, moved)) {
				moved = e
			}
		}
		if moved == "" {
			return
		}
		a.load[a.chosen[moved]]--
		a.choose(moved, to)
	}
}

func (a *assignment) choose(endpoint, host string) {
	a.chosen[endpoint] = host
	a.load[host]++
}

// leastLoaded returns the host of the group with the fewest endpoints.
func (a *assignment) leastLoaded(endpoint string, group []string) string {
	return slices.MinFunc(group, func(x, y string) int {
		return cmp.Or(
			cmp.Compare(a.load[x], a.load[y]),
			cmp.Compare(hash(y, endpoint), hash(x, endpoint)),
		)
	})
}

// chooseStandby returns the host that takes over from the owner: one of the same
// region in another availability zone, so that the loss of one zone does not take
// both; else another host of the region; else any. It returns an empty string if
// there is no other host.
func chooseStandby(d *intent.Declaration, e intent.Endpoint, hosts []store.Host, owner string) string {
	region := d.RegionOf(e.Zone)
	zone := e.Zone
	for _, h := range hosts {
		if h.Name == owner {
			zone = h.Zone
		}
	}
	best := ""
	tier := -1
	for _, h := range hosts {
		if h.Name == owner || h.State == store.HostLeaving {
			continue
		}
		t := 0
		if h.Region == region {
			t = 1
		}
		if t == 1 && h.Zone != zone {
			t = 2
		}
		if t > tier || (t == tier && hash(h.Name, e.Name) > hash(best, e.Name)) {
			best, tier = h.Name, t
		}
	}
	return best
}

// claimOrder returns all hosts that may own e, in the order of preference.
func claimOrder(d *intent.Declaration, e intent.Endpoint, hosts []store.Host) []string {
	region := d.RegionOf(e.Zone)
	live := slices.DeleteFunc(slices.Clone(hosts), func(h store.Host) bool {
		return h.State == store.HostLeaving
	})
	slices.SortFunc(live, func(a, b store.Host) int {
		return cmp.Or(
			cmp.Compare(nearness(b, e.Zone, region), nearness(a, e.Zone, region)),
			cmp.Compare(hash(b.Name, e.Name), hash(a.Name, e.Name)),
		)
	})
	s := make([]string, len(live))
	for i, h := range live {
		s[i] = h.Name
	}
	return s
}

// nearestHosts returns the hosts of the zone, else those of the region, else all,
// ordered by name. Leaving hosts are left out.
func nearestHosts(hosts []store.Host, zone, region string) []string {
	s := []string{}
	best := 0
	for _, h := range hosts {
		n := nearness(h, zone, region)
		if h.State == store.HostLeaving || n < best {
			continue
		}
		if n > best {
			s, best = s[:0], n
		}
		s = append(s, h.Name)
	}
	slices.Sort(s)
	return s
}

// endpointsIn returns the names of the zone's endpoints that are not leaving.
func endpointsIn(d *intent.Declaration, zone string) []string {
	s := []string{}
	for _, u := range d.Upstreams {
		for _, e := range u.Endpoints {
			if e.Zone == zone && !e.Leaving {
				s = append(s, e.Name)
			}
		}
	}
	slices.Sort(s)
	return s
}

func hash(host, endpoint string) uint64 {
	return xxhash.Sum64String(host + "\x00" + endpoint)
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
