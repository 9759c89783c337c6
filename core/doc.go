// Package core is the kernel of a heatherford daemon.
//
// One goroutine, the control goroutine, owns the control state: the declaration in
// force, the hosts and the owners of endpoints. It handles one event at a time and
// publishes an immutable snapshot after each event that changed the state. The
// goroutines that handle requests read only the snapshot. Plug-ins under
// heatherford/io register themselves and connect the kernel to callers, upstreams,
// operators, peers and the platform.
package core
