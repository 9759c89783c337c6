// Package ingress serves callers of an edge over HTTP/1.1: their requests, the
// look-up of hosts, and the question whether this host takes callers.
package ingress
