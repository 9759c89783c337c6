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
	// bundle is version with its parts; it is never nil.
	bundle *config.Bundle
	// inForceSince is when version came into force at this host.
	inForceSince time.Time
	// view is the membership state of all hosts.
	view *member.View
	// hosts are this host and all others that are not dead, as published in the
	// snapshot. Hosts that take no new work have the state HostLeaving.
	hosts []store.Host
	// blocks are the address blocks of version.
	blocks *lookup.Blocks
	// suspects holds the names of the suspected hosts, which may be dead.
	suspects map[string]bool
	// isCutOff is true while this host considers itself cut off: it has had no
	// contact with other hosts or the platform for long.
	isCutOff bool
	// notices are the hosts and endpoints that are leaving by other sources than
	// the declaration.
	notices *drain.Notices
	// noticeChanges counts the changes of notices.
	noticeChanges uint64
	// drains is the progress of all drains.
	drains *drain.Tracker
	// stopping is true once a planned stop has begun.
	stopping bool
	// grants decides which endpoints this host owns.
	grants *grant.Machine
	// grantRevision is the revision of grants that was last seen.
	grantRevision uint64
	// ramps holds the current shares of the declared shifts, by the shift's name.
	ramps map[string]*shift.Ramp
	// nextShiftStep is when ramps are updated next.
	nextShiftStep time.Time
	// table is the newest look-up table, built from tableInputs.
	table       *lookup.Table
	tableInputs tableInputs
	// changed is true if the state differs from the published snapshot.
	changed bool
}

// control runs the control goroutine. It handles one event at a time and publishes a
// snapshot after each event that changed the state.
func (k *Kernel) control() error {
	c := &control{
		kernel:  k,
		grants:  newGrants(k),
		bundle:  config.Empty(),
		view:    newView(k),
		notices: drain.New(),
		drains:  drain.NewTracker(),
	}
	tick := time.NewTicker(grantTickInterval)
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
		c.runGrantEffects()
		c.publish()
	}
}

// publish publishes a snapshot of the state if that has changed, and lets the
// dispatcher admit queued requests by it.
func (c *control) publish() {
	if !c.changed {
		return
	}
	c.changed = false
	s := &snapshot.Snapshot{
		Version:      c.version,
		Config:       c.bundle,
		InForceSince: c.inForceSince,
		Hosts:        map[string]store.Host{},
		Owners:       map[string]string{},
		Owned:        map[string][]snapshot.Own{},
		Stopping:     c.stopping,
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
