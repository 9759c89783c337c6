package lookup

import (
	"net/netip"

	"github.com/gaissmai/bart"

	"heatherford/core/intent"
)

// Blocks maps callers' addresses to availability zones by the declaration's
// address blocks. It depends on the declaration only, so that successive tables,
// which differ in loads and owners, can share it. It is immutable and safe for
// concurrent use.
type Blocks struct {
	table bart.Fast[int32]
	// names holds the zones in the declaration's order. Elsewhere in this package
	// a zone is its index in names.
	names []string
	// zones maps a zone's name to its index in names.
	zones map[string]int32
}

// NewBlocks returns the Blocks for a declaration.
func NewBlocks(d *intent.Declaration) *Blocks {
	b := &Blocks{
		zones: map[string]int32{},
	}
	for _, r := range d.Regions {
		for _, z := range r.Zones {
			b.zones[z] = int32(len(b.names))
			b.names = append(b.names, z)
		}
	}
	sites := map[string]int32{}
	for _, s := range d.Sites {
		sites[s.Name] = b.zones[s.Zone]
	}
	for _, k := range d.Blocks {
		b.table.Insert(k.Prefix, sites[k.Site])
	}
	return b
}

// zoneOf returns the zone of the most specific block that contains the caller's
// address, or home if there is none.
func (b *Blocks) zoneOf(caller netip.Addr, home int32) int32 {
	if z, ok := b.table.Lookup(caller.Unmap()); ok {
		return z
	}
	return home
}
