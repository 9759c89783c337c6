// Package core is the kernel of a heatherford daemon.
//
// One goroutine owns the control state: the declaration in force, the hosts and
// the owners of endpoints. It changes the state by events, one at a time, and
// after each publishes an immutable snapshot, by which other goroutines carry
// traffic. Plug-ins under heatherford/io register themselves and connect the
// kernel to callers, upstreams, operators, peers and the platform.
package core
