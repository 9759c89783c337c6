package core

import (
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
	// stopping is true once a planned stop has begun.
	stopping bool
	// changed is true if the state differs from the published snapshot.
	changed bool
}

// control runs the control goroutine: one event at a time, and after
// each a snapshot if the state has changed.
func (k *Kernel) control() error {
	c := &control{
		kernel: k,
	}
	for {
		select {
		case f := <-k.events:
			f(c)
		case <-k.tomb.Dying():
			return nil
		}
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
		s.Table = lookup.New(lookup.Options{
			Declaration: c.version.Declaration,
			Hosts:       c.hosts,
			Owners:      s.Owners,
			Zone:        c.kernel.Settings.Zone,
		})
	}
	c.kernel.current.Store(s)
}
