package reach

import (
	"cmp"
	"slices"

	"heatherford/core/registry"
)

// maxProbes is the most endpoints that a round tries. With one packet in ten lost each
// way, five handshakes fail together about once in 4,000 rounds, and in two rounds in a row
// about once in 16 million.
const maxProbes = 5

// Targets returns the endpoints that a round probes: of each availability zone one, then
// a second one, up to maxProbes. They change with the round, so that no endpoint has to
// bear all probes.
func Targets(endpoints []registry.Endpoint, round int) []registry.Endpoint {
	zones := map[string][]registry.Endpoint{}
	names := []string{}
	for _, e := range endpoints {
		if zones[e.Zone] == nil {
			names = append(names, e.Zone)
		}
		zones[e.Zone] = append(zones[e.Zone], e)
	}
	slices.Sort(names)
	for _, s := range zones {
		slices.SortFunc(s, func(a, b registry.Endpoint) int {
			return cmp.Compare(a.ID, b.ID)
		})
	}
	t := []registry.Endpoint{}
	for i := 0; len(t) < min(maxProbes, len(endpoints)); i++ {
		s := zones[names[(round+i)%len(names)]]
		if n := i / len(names); n < len(s) {
			t = append(t, s[(round+n)%len(s)])
		}
	}
	return t
}
