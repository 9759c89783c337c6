package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"heatherford/standin/desk"
)

const (
	// foreignEntries is the number of long entries that another writer leaves at once, of
	// foreignBytes each.
	foreignEntries = 3000
	foreignBytes   = 20 << 10
	// rewrites is how often it rewrites an entry, at an interval of rewriteInterval.
	rewrites        = 100
	rewriteInterval = 10 * time.Millisecond
)

// foreign has another writer leave entries among those of the endpoints, many long ones at
// once, and rewrite one.
func (w *world) foreign(group *sync.WaitGroup) {
	w.note("foreign")
	addresses := []string{}
	for _, p := range w.processes {
		addresses = append(addresses, p.callers, p.lookups)
	}
	for i, v := range desk.ForeignEntries(addresses) {
		w.table.Put(desk.Table, fmt.Sprint("foreign-", i), v)
	}
	long := `{"left":"` + strings.Repeat("x", foreignBytes) + `"}`
	for i := range foreignEntries {
		w.table.Put(desk.Table, fmt.Sprint("long-", i), long)
	}
	group.Go(func() {
		for i := range rewrites {
			w.table.Put(desk.Table, "rewritten", fmt.Sprint(i))
			time.Sleep(rewriteInterval)
		}
	})
}
