package lookup

import (
	"net/netip"

	"github.com/gaissmai/bart"

	"heatherford/core/intent"
)

// Blocks finds the availability zone of a caller's address. It depends on the
// declaration alone, so that tables for other loads and owners share it. It is
// immutable and safe for concurrent use.
type Blocks struct {
	table bart.Fast[int32]
	// names holds the declaration's zones; a zone is its position there.
	names []string
	zones map[string]int32
}

// NewBlocks returns the blocks of a declaration.
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

// zoneOf returns the zone of a caller, or home if no block covers it.
func (b *Blocks) zoneOf(caller netip.Addr, home int32) int32 {
	if z, ok := b.table.Lookup(caller.Unmap()); ok {
		return z
	}
	return home
}
