// Package fleet tracks which hosts are alive and which host does which shared task.
//
// Within an availability zone, every host sends every other host several heartbeats a
// second; in large zones each host sends to some and the receivers gossip them on. The
// first live host of a zone, in an order that all hosts compute alike, is the zone's relay
// host, or relay for short: it reports its zone's live hosts to the relays of the other
// zones. One host of the fleet, the reader, reads the platform's records for all. The next
// hosts in the order take over if the reader's updates become stale.
//
// The package is a pure state machine: the caller passes in the time and the messages.
package fleet
