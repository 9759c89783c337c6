// Package route holds an operator's declaration of routes and finds the route of
// a request.
//
// A declaration is one version of what the operator wants: routes with their
// ranks, deadlines and regions, the upstreams that serve them, and limits on what
// callers may send. Values are immutable once they are published.
package route
