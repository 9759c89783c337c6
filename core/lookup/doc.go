// Package lookup answers look-ups: it names the hosts to which a caller should
// send its requests of a kind. It prefers the hosts nearest to the caller and
// spills over to farther ones as the nearer ones reach their capacity.
package lookup
