package main

import (
	"os"
	"runtime/debug"
)

const (
	// collectPercent lets the heap grow to five times what is live between two
	// collections. A daemon's live heap is small, and at the runtime's default
	// collecting takes a quarter of its processor time.
	collectPercent = 400
	// memoryLimit is where the runtime collects more often instead of growing.
	memoryLimit = 112 << 20
)

// tuneMemory sets the collector, unless the environment does.
func tuneMemory() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}
