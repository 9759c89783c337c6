package core

import (
	"reflect"

	"github.com/go-kit/log/level"

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
	hosts   []store.Host
	// changed is true if the state differs from the published snapshot.
	changed bool
}

func (k *Kernel) control() error {
	c := &control{
		kernel: k,
	}
	for {
		select {
		case f := <-k.events:
			f(c)
			c.publish()
		case <-k.tomb.Dying():
			return nil
		}
	}
}

func (c *control) offerVersion(v *intent.Version) {
	if c.version != nil && v.Number <= c.version.Number {
		return
	}
	c.version = v
	c.changed = true
	level.Info(c.kernel.Log).Log("msg", "config: version in force", "version", v.Number)
}

func (c *control) offerHosts(hosts []store.Host) {
	if reflect.DeepEqual(hosts, c.hosts) {
		return
	}
	c.hosts = hosts
	c.changed = true
	level.Info(c.kernel.Log).Log("msg", "member: hosts changed", "hosts", len(hosts))
}

func (c *control) publish() {
	if !c.changed {
		return
	}
	c.changed = false
	s := &snapshot.Snapshot{
		Version: c.version,
		Hosts:   map[string]store.Host{},
		Owners:  map[string]string{},
		Owned:   map[string][]intent.Endpoint{},
	}
	for _, h := range c.hosts {
		s.Hosts[h.Name] = h
	}
	if c.version != nil {
		c.assign(s)
		s.Table = lookup.New(lookup.Options{
			Declaration: c.version.Declaration,
			Hosts:       c.hosts,
			Owners:      s.Owners,
			Zone:        c.kernel.Settings.Zone,
		})
	}
	c.kernel.current.Store(s)
}

// assign fills in the owners of all endpoints.
func (c *control) assign(s *snapshot.Snapshot) {
	d := c.version.Declaration
	for _, u := range d.Upstreams {
		for _, e := range u.Endpoints {
			h := grant.Prefer(d, e, c.hosts)
			s.Owners[e.Name] = h
			if h == c.kernel.Settings.Host {
				s.Owned[u.Name] = append(s.Owned[u.Name], e)
			}
		}
	}
}
