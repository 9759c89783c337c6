package store

import (
	"sort"
	"sync"
)

// Adapter returns a Store for the platform at a URL. It does not call the
// platform.
type Adapter func(url string) (Store, error)

var (
	adaptersMu sync.Mutex
	adapters   = map[string]Adapter{}
)

// Register makes an adapter available under the name that is used in the
// settings. Packages call it from init. It panics if the name is already
// registered.
func Register(name string, a Adapter) {
	adaptersMu.Lock()
	defer adaptersMu.Unlock()
	if adapters[name] != nil {
		panic("store: adapter registered twice: " + name)
	}
	adapters[name] = a
}

// Lookup returns the adapter with the name, or nil. It is safe for concurrent
// use.
func Lookup(name string) Adapter {
	adaptersMu.Lock()
	defer adaptersMu.Unlock()
	return adapters[name]
}

// Adapters returns the sorted names of all registered adapters. It is safe for
// concurrent use.
func Adapters() []string {
	adaptersMu.Lock()
	defer adaptersMu.Unlock()
	s := make([]string, 0, len(adapters))
	for n := range adapters {
		s = append(s, n)
	}
	sort.Strings(s)
	return s
}
