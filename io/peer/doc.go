// Package peer speaks to other daemons: twirp for control, plain HTTP for the
// one hop of a request.
package peer
