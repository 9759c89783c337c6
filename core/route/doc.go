// Package route holds a declaration of routes and finds the route of a request.
//
// A declaration is what an operator wants as one version: routes with their
// ranks, deadlines and regions, the upstreams that they lead to, and the limits
// on what callers may send. Values are immutable once they are published.
package route
