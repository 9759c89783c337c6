package upstream

import (
	"fmt"

	"gopkg.in/tomb.v2"

	"heatherford/core"
	"heatherford/core/settings"
	"heatherford/core/timeline"
)

// Name is the plug-in's name.
const Name = "io/upstream"

func init() {
	core.Register(Name, func() core.Plugin {
		s := New()
		p := (*poller)(nil)
		return core.Plugin{
			Name: Name,
			Attach: func(k *core.Kernel) error {
				k.PluginFuncs.Send = s.Send
				p = newPoller(k)
				k.PluginFuncs.ReportedUse = p.reported
				s.Silent = func(endpoint string, siblings int) {
					k.Metrics.Counter("upstream_connections_silent").Inc(1)
					k.Record(timeline.Event{
						Kind:    timeline.KindUpstream,
						Subject: endpoint,
						Text:    fmt.Sprintf("silent connection closed with %d idle siblings", siblings),
					})
				}
				return nil
			},
			Start: func(k *core.Kernel, t *tomb.Tomb) error {
				if k.Settings.Policy == settings.PolicyIndependent {
					t.Go(func() error {
						return p.run(t)
					})
				}
				t.Go(func() error {
					<-t.Dying()
					s.Close()
					return nil
				})
				return nil
			},
		}
	})
}
