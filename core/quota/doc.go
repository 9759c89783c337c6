// Package quota divides the caps of a declaration over the endpoints that they limit, and
// counts the requests in flight against each endpoint's shares.
//
// An endpoint's shares of caps are part of its grant (package grant), so that the hosts
// which send to endpoints under one cap need not coordinate.
package quota
