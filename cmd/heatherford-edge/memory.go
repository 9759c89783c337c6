package main

import "runtime/debug"

// memoryShare is the part of the machine's memory that the Go runtime may use before it
// collects garbage at any cost. The rest is left to threads, and to bytes that connections
// have received.
const memoryShare = 0.7

// limitMemory has the runtime collect garbage early enough for a machine with so many
// bytes of memory. By itself it lets the heap grow to twice what is live, and the platform
// kills a process that exceeds the machine's memory. Zero bytes stand for no bound.
func limitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(bytes)))
	}
}
