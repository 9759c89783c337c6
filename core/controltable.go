package core

import (
	"maps"
	"slices"

	"heatherford/core/intent"
	"heatherford/core/lookup"
	"heatherford/core/settings"
	"heatherford/core/store"
)

// tableInputs are what a look-up table was built from. Renewals of grants, which happen
// several times a second, are not among them and don't cause a new table.
type tableInputs struct {
	version *intent.Version
	// noticeChanges counts the changes of the notices.
	noticeChanges uint64
	hosts         []store.Host
	owners        map[string]string
	// loadUpdates is the number of updates of loads so far.
	loadUpdates uint64
	shares      []lookup.Shift
}

func (t tableInputs) equal(o tableInputs) bool {
	return t.version == o.version && t.noticeChanges == o.noticeChanges && t.loadUpdates == o.loadUpdates && slices.Equal(t.hosts, o.hosts) && slices.Equal(t.shares, o.shares) && maps.Equal(t.owners, o.owners)
}

// lookupTable returns the look-up table. It builds a new one only if the inputs have
// changed.
func (c *control) lookupTable(owners map[string]string) *lookup.Table {
	t := tableInputs{
		version:       c.version,
		noticeChanges: c.noticeChanges,
		hosts:         c.lookupHosts(),
		owners:        owners,
		loadUpdates:   c.kernel.loads.updateCount(),
		shares:        c.shares(),
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
		Loads:       c.kernel.loads.all(),
		Shifts:      t.shares,
		AllHosts:    c.kernel.Settings.Policy == settings.PolicyIndependent,
		Self:        c.kernel.Settings.Host,
		Zone:        c.kernel.Settings.Zone,
	})
	return c.table
}
