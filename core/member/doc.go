// Package member decides which hosts are alive, with a failure detector in the
// manner of SWIM.
//
// It corrects the platform's list of hosts, which is updated late, by probes
// between daemons: in each period a daemon probes one other daemon, first directly
// and then through a few relays, and the messages carry gossip about other hosts.
// A host that does not answer is suspected first and declared dead later; a
// suspected host that receives the gossip refutes the suspicion with a higher
// incarnation. The number of messages that a daemon sends in a period does not
// depend on the number of hosts.
//
// The package is a pure state machine: the caller passes in the time and events.
package member
