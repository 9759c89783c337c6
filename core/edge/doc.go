// Package edge serves callers' requests on a host before endpoints that register
// themselves.
//
// One goroutine owns the control state: what the host knows of the platform's
// records and of the other hosts. It changes by events, one at a time, and after
// each publishes an immutable View, by which other goroutines serve requests:
// they find the route, choose an endpoint, send, and decide on another sending or
// on the final answer.
//
// An Edge reaches the platform, other hosts and endpoints by the functions of
// Seams only.
package edge
