package core

import (
	"fmt"
	"reflect"

	"github.com/go-kit/log/level"

	"heatherford/core/store"
	"heatherford/core/timeline"
)

// offerHosts takes the platform's list of hosts.
func (c *control) offerHosts(hosts []store.Host) {
	if reflect.DeepEqual(hosts, c.hosts) {
		return
	}
	c.hosts = hosts
	c.grants.SetHosts(hosts, c.kernel.Now())
	c.changed = true
	c.kernel.loads.forget(func(host string) bool {
		for _, h := range hosts {
			if h.Name == host {
				return true
			}
		}
		return false
	})
	level.Info(c.kernel.Log).Log("msg", "member: hosts changed", "hosts", len(hosts))
	c.kernel.Record(timeline.Event{
		Kind: timeline.KindMember,
		Text: fmt.Sprintf("the platform lists %d hosts", len(hosts)),
	})
}
