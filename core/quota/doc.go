// Package quota divides the caps of a declaration over the endpoints that they
// bound, and counts the requests in flight against the parts.
//
// A part travels with the grant of its endpoint (package grant), so that the
// hosts that send to endpoints under one cap need not talk to each other.
package quota
