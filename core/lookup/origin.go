package lookup

import "net/netip"

// Zone returns the availability zone that the caller is near.
func (t *Table) Zone(caller netip.Addr) string {
	i := t.zoneOf(caller)
	for n, j := range t.zones {
		if i == j {
			return n
		}
	}
	return ""
}
