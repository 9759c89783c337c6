package lookup

import "net/netip"

// ZoneName returns the name of the caller's availability zone, or an empty string
// if the declaration has no zones.
func (t *Table) ZoneName(caller netip.Addr) string {
	z := t.ZoneIndex(caller)
	if z >= len(t.blocks.names) {
		return ""
	}
	return t.blocks.names[z]
}
