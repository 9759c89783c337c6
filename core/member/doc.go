// Package member decides which hosts are alive.
//
// It corrects the platform's list, which lags, by probes between daemons: in each
// period a daemon probes one other, directly and then through a few more, and
// passes on what it knows in the same messages. A host that does not answer is
// suspected first and declared dead later; a suspected host that hears of it
// refutes the suspicion with a higher incarnation. The cost for each daemon does
// not depend on the number of hosts.
//
// The package is a pure state machine: time and events are passed in.
package member
