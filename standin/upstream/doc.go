// Package upstream is a stand-in for an upstream's endpoint in tests and the
// demo: slots, service time, connection limit, lagging health and load, drain,
// cold start, shedding, cancellation and deadlines, with faults that can be
// switched on.
package upstream
