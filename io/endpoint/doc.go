// Package endpoint sends requests to endpoints that register themselves, over
// HTTP/1.1 with one request in flight on a connection.
//
// The names of the headers are given, since they are the platform's. A request
// leaves a host at most once for each call of Send: whether it is sent again is
// its caller's decision.
package endpoint
