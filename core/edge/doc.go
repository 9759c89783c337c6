// Package edge serves callers' requests on a host: it routes them to endpoints that
// register themselves.
//
// One goroutine owns the control state: what the host knows of the platform's records
// and of the other hosts. It handles events one at a time and publishes an immutable
// View. Other goroutines serve requests by the newest View: they find the route,
// choose an endpoint, send the request, and decide whether to retry or to return the
// answer.
//
// An Edge reaches the platform, other hosts and endpoints only by the functions of
// Transport.
package edge
