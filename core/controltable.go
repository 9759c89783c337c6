package core

import (
	"maps"
	"slices"

	"heatherford/core/intent"
	"heatherford/core/lookup"
	"heatherford/core/settings"
	"heatherford/core/store"
)

// tableInputs are what a table of look-ups was built from. Grants are renewed
// several times a second, and the table does not depend on that.
type tableInputs struct {
	version *intent.Version
	// signed counts the changes of the signs that endpoints are leaving.
	signed uint64
	hosts  []store.Host
	owners map[string]string
	// loads is the number of loads that were ever learned.
	loads  uint64
	shares []lookup.Share
}

func (t tableInputs) equal(o tableInputs) bool {
	return t.version == o.version && t.signed == o.signed && t.loads == o.loads && slices.Equal(t.hosts, o.hosts) && slices.Equal(t.shares, o.shares) && maps.Equal(t.owners, o.owners)
}

// lookupTable returns the table of look-ups, the same one while its inputs stay.
func (c *control) lookupTable(owners map[string]string) *lookup.Table {
	t := tableInputs{
		version: c.version,
		signed:  c.signed,
		hosts:   c.nameable(),
		owners:  owners,
		loads:   c.kernel.loads.learnedSoFar(),
		shares:  c.shares(),
	}
	if c.table != nil && t.equal(c.tableInputs) {
		return c.table
	}
	c.tableInputs = t
	c.table = lookup.New(lookup.Options{
		Declaration: c.declaration(),
		Blocks:      c.blocks,
		Hosts:       t.hosts,
		Owners:      owners,
		Loads:       c.kernel.loads.table(),
		Shares:      t.shares,
		Everyone:    c.kernel.Settings.Policy == settings.PolicyIndependent,
		Self:        c.kernel.Settings.Host,
		Zone:        c.kernel.Settings.Zone,
	})
	return c.table
}
