package core

import (
	"sort"
	"sync"

	"gopkg.in/tomb.v2"

	"heatherford/core/code"
)

// Plugin connects the kernel to one peer or protocol.
type Plugin struct {
	// Name is unique among the plug-ins, such as "io/caller".
	Name string
	// Attach sets the functions in Kernel.PluginFuncs that the plug-in provides. It is
	// called once, before any plug-in starts, and must not block.
	Attach func(k *Kernel) error
	// Start starts the plug-in's goroutines in t. They end when t dies. Start is
	// called once, after all plug-ins are attached.
	Start func(k *Kernel, t *tomb.Tomb) error
}

var (
	registryMu sync.Mutex
	registry   = map[string]func() Plugin{}
)

// Register registers a plug-in under its name. Packages call it from init. It panics if
// the name is taken.
func Register(name string, newPlugin func() Plugin) {
	registryMu.Lock()
	defer registryMu.Unlock()
	if registry[name] != nil {
		panic("core: plug-in registered twice: " + name)
	}
	registry[name] = newPlugin
}

// Plugins returns a new instance of every registered plug-in, ordered by name.
func Plugins() []Plugin {
	registryMu.Lock()
	defer registryMu.Unlock()
	names := make([]string, 0, len(registry))
	for n := range registry {
		names = append(names, n)
	}
	sort.Strings(names)
	s := make([]Plugin, 0, len(names))
	for _, n := range names {
		s = append(s, registry[n]())
	}
	return s
}

// attach calls Attach of the plug-ins, in order, up to the first error.
func (k *Kernel) attach(plugins []Plugin) error {
	for _, p := range plugins {
		if p.Attach == nil {
			continue
		}
		if err := p.Attach(k); err != nil {
			return code.Wrap(code.Of(err), err, "core: cannot attach %s", p.Name)
		}
	}
	return nil
}
