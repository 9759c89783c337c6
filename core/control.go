package core

import (
	"time"

	"heatherford/core/config"
	"heatherford/core/drain"
	"heatherford/core/grant"
	"heatherford/core/intent"
	"heatherford/core/lookup"
	"heatherford/core/member"
	"heatherford/core/shift"
	"heatherford/core/snapshot"
	"heatherford/core/store"
)

// control is the control state. Only the control goroutine uses it.
type control struct {
	kernel *Kernel
	// version only grows; it is nil before the first declaration is known.
	version *intent.Version
	// bundle is the version with its parts; it is never nil.
	bundle *config.Bundle
	// takenAt is when the version came in force here.
	takenAt time.Time
	// view is what is known of all hosts.
	view *member.View
	// hosts are this host and all others that are not dead, as traffic uses
	// them. Hosts that take no new work have the state HostLeaving.
	hosts []store.Host
	// blocks are those of version.
	blocks *lookup.Blocks
	// suspects are the names of hosts that may be dead.
	suspects map[string]bool
	// isCutOff is true while this host takes itself for cut off.
	isCutOff bool
	// signs say what is leaving, besides the declaration.
	signs *drain.Signs
	// signed counts the changes of signs.
	signed uint64
	// drains is the progress of all drains.
	drains *drain.Tracker
	// stopping is true once a planned stop has begun.
	stopping bool
	// grants is this host's part in the grants of endpoints.
	grants *grant.Machine
	// granted is the revision of the grants that was published last.
	granted uint64
	// ramps hold the shares of the declared shifts, by the shift's name.
	ramps     map[string]*shift.Ramp
	nextShift time.Time
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
		bundle: config.Empty(),
		view:   newView(k),
		signs:  drain.New(),
		drains: drain.NewTracker(),
	}
	tick := time.NewTicker(grantTick)
	defer tick.Stop()
	c.updateHosts()
	c.publish()
	for {
		select {
		case f := <-k.events:
			f(c)
		case <-tick.C:
			c.tickGrants()
			c.stepShifts()
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
		Config:   c.bundle,
		TakenAt:  c.takenAt,
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
