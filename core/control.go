package core

import (
	"time"

	"heatherford/core/grant"
	"heatherford/core/intent"
	"heatherford/core/lookup"
	"heatherford/core/snapshot"
	"heatherford/core/store"
)

// control is the control state. Only the control goroutine uses it.
type control struct {
	kernel *Kernel
	// version only grows; it is nil before the first declaration is known.
	version *intent.Version
	// hosts is the platform's list of hosts as last read.
	hosts []store.Host
	// blocks are those of version.
	blocks *lookup.Blocks
	// stopping is true once a planned stop has begun.
	stopping bool
	// grants is this host's part in the grants of endpoints.
	grants *grant.Machine
	// granted is the revision of the grants that was published last.
	granted uint64
	// table is the newest table of look-ups, built from tableInputs.
	table       *lookup.Table
	tableInputs tableInputs
	// changed is true if the state differs from the published snapshot.
	changed bool
}

// control runs the control goroutine: one event at a time, and after
// each a snapshot if the state has changed.
func (k *Kernel) control() error {
	c := &control{
		kernel: k,
		grants: newGrants(k),
	}
	tick := time.NewTicker(grantTick)
	defer tick.Stop()
	for {
		select {
		case f := <-k.events:
			f(c)
		case <-tick.C:
			c.tickGrants()
		case <-k.tomb.Dying():
			return nil
		}
		c.carryOutGrants()
		c.publish()
	}
}

// publish makes the state visible to other goroutines if it has changed.
func (c *control) publish() {
	if !c.changed {
		return
	}
	c.changed = false
	s := &snapshot.Snapshot{
		Version:  c.version,
		Hosts:    map[string]store.Host{},
		Owners:   map[string]string{},
		Owned:    map[string][]snapshot.Own{},
		Stopping: c.stopping,
	}
	for _, h := range c.hosts {
		s.Hosts[h.Name] = h
	}
	if c.version != nil {
		c.publishGrants(s)
		s.Table = c.lookupTable(s.Owners)
	}
	c.kernel.current.Store(s)
	c.kernel.Dispatcher.Refresh()
}
